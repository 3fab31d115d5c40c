//! ROUTE: a start on an executor without the label in `requirements`.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

const JOB: &str = "00000000000012a1";
/// How long the executor is down.
const DOWN: Duration = Duration::from_millis(1000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [
        &["a", "r1-1"], &["a", "r1-1"], &["b", "r1-1"], &["b", "r1-1"],
        &["b", "r1-2"], &["b", "r1-2"], &["b", "r1-2"], &["b", "r1-2"],
    ];
    let cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, 3)?;
    // Twelve tasks for the kind `a`, of which the two executors of that kind hold six.
    let body = r#"{"spec":"4000","steps":[{"count":12,"cpu":4500,"mem_mb":1000,"estimate_ms":4000,"requirements":"a"}]}"#;
    let accepted = cell.call(0, "POST", &format!("/lohu930/{JOB}"), KEYS[0], body);
    if accepted.is_none_or(|(status, _)| status != 200) {
        return Err("the submission wasn't accepted".to_owned());
    }
    let started = || cell.runs(JOB).len() >= 6;
    if !wait_until(Duration::from_secs(5), started) {
        return Err("the tasks don't start".to_owned());
    }
    thread::sleep(Duration::from_millis(700));
    let worker = &cell.workers[0];
    let id = worker.id().unwrap_or_default();
    if trouble {
        worker.crash();
        thread::sleep(DOWN);
        // It starts again under its id; its new life is of another kind, and listed as such at once.
        worker.begin_life(&id, &["b", "r1-1"]).map_err(|e| e.to_string())?;
    }
    thread::sleep(Duration::from_secs(6));
    let wrong: Vec<String> = cell
        .runs(JOB)
        .iter()
        .filter(|event| event.what == "start" && !event.labels.iter().any(|l| l == "a"))
        .map(|event| format!("{} run {} on {}", event.task, event.run, event.worker))
        .collect();
    Ok((!wrong.is_empty()).then(|| {
        format!("ROUTE: {} starts without the label `a`: {wrong:?}", wrong.len())
    }))
}
