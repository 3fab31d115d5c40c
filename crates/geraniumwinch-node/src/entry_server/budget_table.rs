//! The budgets for repeated attempts, by queue and client account.

use std::collections::HashMap;
use std::sync::Mutex;

use geraniumwinch_core::Name;
use geraniumwinch_core::RetryBudget;

use crate::shared_lock::lock;

/// The repeated attempts that a request earns.
const RATIO: f64 = 0.1;
/// The greatest number of repeated attempts that are saved up.
const BURST: f64 = 10.0;

/// The budgets by queue and team.
#[derive(Debug, Default)]
pub(crate) struct BudgetTable {
    budgets: Mutex<HashMap<(Name, Name), RetryBudget>>,
}

impl BudgetTable {
    /// Records a first attempt.
    pub(crate) fn earn(&self, key: &(Name, Name)) {
        let mut budgets = lock(&self.budgets);
        let budget =
            budgets.entry(key.clone()).or_insert_with(|| RetryBudget::new(RATIO, BURST));
        budget.earn();
    }

    /// Takes one repeated attempt out of a budget and returns whether it was granted.
    pub(crate) fn spend(&self, key: &(Name, Name)) -> bool {
        let mut budgets = lock(&self.budgets);
        budgets.get_mut(key).is_some_and(RetryBudget::spend)
    }
}
