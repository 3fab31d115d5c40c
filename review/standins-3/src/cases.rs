//! The cases. Each returns what was seen of a broken rule, or `None`.

mod bounced;
mod former_order;
mod relabelled;
mod wide_steps;
mod withdrawn;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Outcome;
use crate::record::Record;

/// Runs a case, with its disruption if `trouble` is set.
pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    match case {
        "bounced" => bounced::run(record, trouble),
        "former-order" => former_order::run(record, trouble),
        "withdrawn" => withdrawn::run(record, trouble),
        "wide-steps" => wide_steps::run(record, trouble),
        "relabelled" => relabelled::run(record, trouble),
        _ => Err(format!("no case {case:?}")),
    }
}

/// Waits until a condition holds, for at most `time`; returns whether it does.
fn wait_until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
