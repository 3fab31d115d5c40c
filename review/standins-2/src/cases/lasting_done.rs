//! A task that lasts and ends `done`.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::bed::Bed;
use crate::bed::Verdict;
use crate::bed::ZONES;
use crate::record::Record;

use super::place;

const JOB: &str = "00000000000000b1";
/// How long the first run of the task works if it ends.
const TASK_MS: u64 = 2000;
/// A time beyond the end of the case.
const LASTING_MS: u64 = 600_000;
/// From when on after its last run a task that lasts has to be at work again, and for how long it may
/// be missing then.
const RESTART: Duration = Duration::from_secs(6);
const MISSING: Duration = Duration::from_secs(3);

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let places = vec![
        place("i-1", ZONES[0], "r1"),
        place("i-2", ZONES[1], "r2"),
        place("i-3", ZONES[2], "r3"),
    ];
    let bed = Bed::start(root, record, places)?;
    let time = if trouble { TASK_MS } else { LASTING_MS };
    let step = json!({
        "count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000, "long_running": true,
    });
    bed.submit(JOB, &json!({ "spec": format!("{time} done"), "steps": [step] }))?;
    let runs = || {
        let runs = bed.executors.iter().flat_map(|executor| executor.runs());
        runs.collect::<Vec<_>>()
    };
    let running =
        || bed.executors.iter().map(|executor| executor.running()).sum::<usize>();
    if !bed.wait_until(Duration::from_secs(5), || !runs().is_empty()) {
        return Err("the task has not started".to_owned());
    }
    if trouble && !bed.wait_until(Duration::from_secs(5), || running() == 0) {
        return Err("the first run has not ended".to_owned());
    }
    record.say("the first run has ended, or goes on without trouble");
    thread::sleep(RESTART);
    let again = bed.wait_until(MISSING, || running() > 0 || runs().len() > 1);
    let state = bed.state(JOB).unwrap_or_default();
    let runs = runs().len();
    record.say(&format!(
        "{runs} runs; at work again within {} s: {again}; shown as {state}",
        (RESTART + MISSING).as_secs()
    ));
    bed.record_logs(&[JOB]);
    Ok(again)
}
