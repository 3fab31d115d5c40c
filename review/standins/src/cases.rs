//! The cases.

mod cancelled_orders;
mod forgotten_job;
mod held_end;
mod late_order;
mod starved_filler;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// The result of a case: whether the rule was broken, or why the case couldn't run.
pub type CaseResult = Result<bool, String>;

/// Runs a case.
pub fn run(name: &str, record: Arc<Record>, trouble: bool) -> CaseResult {
    match name {
        "forgotten-job" => forgotten_job::run(record, trouble),
        "late-order" => late_order::run(record, trouble),
        "held-end" => held_end::run(record, trouble),
        "starved-filler" => starved_filler::run(record, trouble),
        "cancelled-orders" => cancelled_orders::run(record, trouble),
        name => Err(format!("no case `{name}`")),
    }
}

/// Waits until a condition holds, for at most `limit`.
fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let steps = limit.as_millis() / 20;
    for _ in 0..steps {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}
