//! The retry budgets, by queue and team.

use std::collections::HashMap;
use std::sync::Mutex;

use geraniumwinch_core::Name;
use geraniumwinch_core::RetryBudget;

use crate::shared_lock::lock;

/// Number of retries that each request adds to its budget.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of unused retries in a budget.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The retry budgets by queue and team.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<(Name, Name), RetryBudget>>,
}

impl RetryBudgets {
    /// Adds [`RETRY_RATIO`] to the budget of a request, once per request.
    pub(crate) fn earn(&self, key: &(Name, Name)) {
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(key.clone())
            .or_insert_with(|| RetryBudget::new(RETRY_RATIO, MAX_SAVED_RETRIES));
        budget.earn();
    }

    /// Takes a retry from a budget and returns whether there was one.
    pub(crate) fn spend(&self, key: &(Name, Name)) -> bool {
        let mut budgets = lock(&self.budgets);
        budgets.get_mut(key).is_some_and(RetryBudget::spend)
    }
}
