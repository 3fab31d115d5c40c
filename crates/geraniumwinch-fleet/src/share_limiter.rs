//! The rate at which client accounts hand in jobs, against their shares.
//!
//! It answers the pattern of one account that sends many times its usual: the others' jobs would
//! wait behind work that the account has no claim to.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;

/// The time over which an account may save up its share.
const BURST_WINDOW: Duration = Duration::from_millis(1000);

/// What an account has left.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// The jobs that it may hand in at once.
    tokens: f64,
    /// When that was true.
    updated: BootTime,
}

/// Tokens of client accounts: each earns as many a second as its weight says.
#[derive(Debug, Default)]
pub struct ShareLimiter {
    buckets: HashMap<Name, TokenBucket>,
}

impl ShareLimiter {
    /// Counts a job and returns whether it is within its account's share.
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
