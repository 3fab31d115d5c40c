//! Rate limiting of job submissions by client account.
//!
//! If one account submits many times its usual load, the jobs of the other accounts would wait
//! behind work beyond that account's share. The limiter detects such excess jobs.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;

/// The time over which an unused share accumulates; it bounds the burst of an account.
const BURST_WINDOW: Duration = Duration::from_millis(1000);

/// The token bucket of an account.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// The number of jobs that the account may submit at once.
    tokens: f64,
    /// The time of the last update.
    updated: BootTime,
}

/// A token bucket per client account, refilled each second with as many tokens as its weight.
#[derive(Debug, Default)]
pub struct ShareLimiter {
    buckets: HashMap<Name, TokenBucket>,
}

impl ShareLimiter {
    /// Takes a token for a job, and returns whether the job is within its account's share.
    pub fn try_take(&mut self, account: &Name, weight: u64, now: BootTime) -> bool {
        let rate = weight as f64;
        let burst = rate * BURST_WINDOW.as_secs_f64();
        let full = TokenBucket { tokens: burst, updated: now };
        let bucket = self.buckets.entry(account.clone()).or_insert(full);
        let earned = now.saturating_sub(bucket.updated).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + earned).min(burst);
        bucket.updated = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
