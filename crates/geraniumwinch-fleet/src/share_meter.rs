//! The rate at which client accounts hand in jobs, against their shares.
//!
//! It answers the pattern of one account that sends many times its usual: the others' jobs would
//! wait behind work that the account has no claim to.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;

/// The time over which an account may save up its share.
const SAVING: Duration = Duration::from_millis(1000);

/// What an account has left.
#[derive(Debug, Clone, Copy)]
struct ShareTokens {
    /// The jobs that it may hand in at once.
    left: f64,
    /// When that was true.
    at: BootTime,
}

/// Tokens of client accounts: each earns as many a second as its weight says.
#[derive(Debug, Default)]
pub struct ShareMeter {
    tokens: HashMap<Name, ShareTokens>,
}

impl ShareMeter {
    /// Counts a job and returns whether it is within its account's share.
    pub fn take(&mut self, account: &Name, weight: u64, now: BootTime) -> bool {
        let rate = weight as f64;
        let most = rate * SAVING.as_secs_f64();
        let full = ShareTokens { left: most, at: now };
        let tokens = self.tokens.entry(account.clone()).or_insert(full);
        let earned = now.saturating_sub(tokens.at).as_secs_f64() * rate;
        tokens.left = (tokens.left + earned).min(most);
        tokens.at = now;
        if tokens.left < 1.0 {
            return false;
        }
        tokens.left -= 1.0;
        true
    }
}
