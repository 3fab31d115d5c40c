//! A budget that keeps repeated attempts in proportion to first attempts.

/// Tokens that first attempts earn and repeated attempts spend.
///
/// With a ratio of 0.1, attempts stay below 1.1 per request in the long run, plus the burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` repeated attempts a request that saves up to `burst` of them.
    pub fn new(ratio: f64, burst: f64) -> Self {
        RetryBudget { tokens: burst, ratio, burst }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one repeated attempt out of the budget and returns whether it was granted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
