//! The cases.

mod lasting_done;
mod many_ends;
mod moved_queue;
mod schedules;

use std::path::Path;
use std::sync::Arc;

use crate::bed::SERVICE;
use crate::bed::Verdict;
use crate::executor::Place;
use crate::record::Record;

/// Runs a case by its name.
pub fn run(case: &str, root: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "many-ends" => many_ends::run(root, record, trouble),
        "lasting-done" => lasting_done::run(root, record, trouble),
        "moved-queue" => moved_queue::run(root, record, trouble),
        "schedules" => schedules::run(root, record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns the place of an executor of 16 cores.
fn place(name: &str, zone: &str, rack: &str) -> Place {
    Place {
        name: name.to_owned(),
        service: SERVICE.to_owned(),
        zone: zone.to_owned(),
        cpu: 16_000,
        labels: vec!["a".to_owned(), rack.to_owned()],
    }
}
