//! A submission whose tasks fill is accepted, stopped and never started again, since a task that serves
//! is at work on each executor.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const FILLING_JOB: &str = "f111000000000003";
const SERVING_JOB: &str = "5e1e000000000004";
const EXECUTORS: usize = 6;
/// The number of serving tasks without the disruption.
const FEW_TASKS: usize = 3;
/// How long a filling task works.
const WORK_MS: u64 = 8000;
/// How long the submission is watched after the last one was handed in: `finish_s` and more.
const WATCH: Duration = Duration::from_secs(30);
/// The bound `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// For how long a submission may have nothing running while its turn has come.
const IDLE: Duration = Duration::from_secs(3);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: EXECUTORS, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let filling = json!({
        "spec": json!({ "work_ms": WORK_MS }).to_string(),
        "steps": [{
            "count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": WORK_MS, "fill_ratio": true,
            "image": "report",
        }],
    });
    let tasks = if trouble { EXECUTORS } else { FEW_TASKS };
    let serving = json!({
        "spec": json!({ "lasting": true }).to_string(),
        "steps": [{
            "count": tasks, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000,
            "long_running": true, "target_ms": 200, "max_per_server": 1, "image": "shop",
        }],
    });
    cell.submit(0, FILLING_JOB, &filling)?;
    if !wait_for(Duration::from_secs(8), || !cell.runs(FILLING_JOB).is_empty()) {
        return Err("no filling task has started".to_owned());
    }
    cell.submit(1, SERVING_JOB, &serving)?;
    let handed_in = record.now();
    if !wait_for(Duration::from_secs(8), || cell.runs(SERVING_JOB).len() == tasks) {
        return Err("the serving tasks have not started".to_owned());
    }
    record.note(&format!(
        "{tasks} serving tasks are at work on {EXECUTORS} executors; 2 of 16 cores and 1 of 64 \
         GB of each are in use there"
    ));
    let mut idle_since = None;
    while record.now() < handed_in + WATCH {
        thread::sleep(Duration::from_millis(1000));
        let (_, state) = cell.state(2, FILLING_JOB);
        if state == "completed" {
            return Ok(false);
        }
        let idle = cell.runs(FILLING_JOB).iter().all(|run| run.ended.is_some());
        let due = record.now() >= handed_in + FINISH;
        let since = (idle && due).then(|| idle_since.unwrap_or(record.now()));
        idle_since = since;
    }
    let idle = idle_since.map(|since| record.now() - since).unwrap_or_default();
    record.note(&format!(
        "from `finish_s` after the last submission on, the accepted submission has had nothing \
         running for {:.1} s",
        idle.as_secs_f64()
    ));
    Ok(idle > IDLE)
}
