//! LOST: a submission is shown as `failed` though none of its tasks has ended `failed`.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

const PATH: &str = "/lohu930/00000000000011a1";
const TASK: &str = "00000000000011a1.0.0.0";
const EXECUTORS: usize = 8;
/// How long a run lasts before its executor crashes.
const RUN_TIME: Duration = Duration::from_millis(2500);
/// How long a crashed executor is down: the longest of the sites.
const DOWN: Duration = Duration::from_millis(4500);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; EXECUTORS] = [&["a", "r1-1"]; EXECUTORS];
    let cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, 3)?;
    // One task of 9 s, as long as those of the sites at most.
    let body = r#"{"spec":"9000","steps":[{"count":1,"cpu":4500,"mem_mb":1000,"estimate_ms":9000}]}"#;
    let accepted = cell.call(0, "POST", PATH, KEYS[0], body);
    if accepted.is_none_or(|(status, _)| status != 200) {
        return Err("the submission wasn't accepted".to_owned());
    }
    if trouble {
        for wave in 0..2 {
            // One executor of eight crashes: an eighth, below the sites' share of 0.14.
            let on = || cell.workers.iter().position(|worker| worker.runs(TASK));
            if !wait_until(Duration::from_secs(15), || on().is_some()) {
                break;
            }
            thread::sleep(RUN_TIME);
            let Some(index) = on() else { break };
            let worker = Arc::clone(&cell.workers[index]);
            worker.crash();
            thread::spawn(move || {
                thread::sleep(DOWN);
                let _ = worker.begin_life(&format!("i-{index:04x}-{wave}"), &["a", "r1-1"]);
            });
        }
    }
    let mut state = None;
    wait_until(Duration::from_secs(40), || {
        thread::sleep(Duration::from_millis(480));
        state = cell.state(1, PATH, KEYS[0]);
        matches!(state.as_deref(), Some("completed" | "failed" | "cancelled"))
    });
    let ends = cell.runs(TASK);
    let failed = ends.iter().filter(|event| event.what == "failed").count();
    cell.record_logs(&["run-crashed", "job-given-up", "event=job-ended"]);
    record.line(&format!("shown as {state:?}; {failed} runs ended `failed`, 4 may"));
    Ok((state.as_deref() == Some("failed") && failed < 4).then(|| {
        format!("LOST: shown as `failed` after {failed} ends `failed` (max_attempts 4)")
    }))
}
