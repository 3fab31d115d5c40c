//! The budgets for repeated attempts, by queue and client account.

use std::collections::HashMap;
use std::sync::Mutex;

use geraniumwinch_core::Name;
use geraniumwinch_core::RetryBudget;

use crate::shared_lock::lock;

/// The repeated attempts that a request earns.
const RETRY_RATIO: f64 = 0.1;
/// The greatest number of repeated attempts that are saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The budgets by queue and team.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<(Name, Name), RetryBudget>>,
}

impl RetryBudgets {
    /// Records a first attempt.
    pub(crate) fn earn(&self, key: &(Name, Name)) {
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(key.clone())
            .or_insert_with(|| RetryBudget::new(RETRY_RATIO, MAX_SAVED_RETRIES));
        budget.earn();
    }

    /// Takes one repeated attempt out of a budget and returns whether it was granted.
    pub(crate) fn spend(&self, key: &(Name, Name)) -> bool {
        let mut budgets = lock(&self.budgets);
        budgets.get_mut(key).is_some_and(RetryBudget::spend)
    }
}
