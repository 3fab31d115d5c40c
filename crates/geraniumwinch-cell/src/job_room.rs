//! The room for jobs in the owner's memory.

/// The range of an account's weight relative to the average one. Whatever its weight, an account that is alone
/// can use a third of the memory for jobs, and leaves a third to others.
const MIN_WEIGHT_RATIO: f64 = 0.5;
const MAX_WEIGHT_RATIO: f64 = 2.0;

/// The room for the jobs of a client account in the owner's memory, in bytes.
///
/// An account may use as much as is left for all others, times its weight relative to the average one. So there is
/// always room for an account that uses little.
#[derive(Debug, Clone, Copy)]
pub struct JobRoom {
    /// The memory for the jobs of all accounts.
    pub limit: u64,
    /// The memory that is counted for the jobs of all accounts.
    pub total: u64,
    /// The memory that is counted for the jobs of the account.
    pub own: u64,
    /// The account's weight relative to the average one.
    pub weight_ratio: f64,
}

impl JobRoom {
    /// Returns whether there is room for a further job.
    pub fn takes(&self, bytes: u64) -> bool {
        let left = self.limit.saturating_sub(self.total.saturating_add(bytes));
        let ratio = self.weight_ratio.clamp(MIN_WEIGHT_RATIO, MAX_WEIGHT_RATIO);
        self.own.saturating_add(bytes) as f64 <= left as f64 * ratio
    }
}
