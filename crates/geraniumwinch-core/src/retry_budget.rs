//! A budget that limits retries in proportion to requests.

/// A token bucket to which each first attempt adds a fraction of a token and from which each retry
/// takes one.
///
/// With a ratio of 0.1, the long-run average stays below 1.1 attempts per request; the burst comes on
/// top of it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries per request and accumulates at most `burst` of them.
    pub fn new(ratio: f64, burst: f64) -> Self {
        RetryBudget { tokens: burst, ratio, burst }
    }

    /// Adds the tokens of a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes the token of one retry and returns whether the retry is allowed.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
