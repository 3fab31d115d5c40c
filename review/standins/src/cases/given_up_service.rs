//! A lasting submission and an ordinary one, each of which meets two crashes of executors.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const LASTING_JOB: &str = "1a57000000000001";
const ORDINARY_JOB: &str = "0bd1000000000002";
/// How long a run works before its executor crashes.
const FIRST_AGE: Duration = Duration::from_millis(5000);
const SECOND_AGE: Duration = Duration::from_millis(4000);
/// How long an executor that crashed is down.
const DOWN: Duration = Duration::from_millis(3000);
/// The maximum time until a task starts again on one of the other executors, all of which are idle.
const RESTART: Duration = Duration::from_secs(16);
/// How long the submissions are watched after the second crash.
const WATCH: Duration = Duration::from_secs(14);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 8, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let lasting = json!({
        "spec": json!({ "lasting": true }).to_string(),
        "steps": [{
            "count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 1000, "long_running": true,
        }],
    });
    let ordinary = json!({
        "spec": json!({ "work_ms": 9000 }).to_string(),
        "steps": [{ "count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 9000 }],
    });
    let lasting = follow(&cell, LASTING_JOB, &lasting, trouble)?;
    cell.call(0, "DELETE", LASTING_JOB, "", Duration::from_secs(3));
    let ordinary = follow(&cell, ORDINARY_JOB, &ordinary, trouble)?;
    Ok(lasting || ordinary)
}

/// Submits a job, crashes the executor of its first and of its second run, and watches the job.
/// Returns whether it is shown as failed although no run ended `failed`, or has nothing running.
fn follow(cell: &Cell, id: &str, job: &Value, trouble: bool) -> CaseResult {
    let record = &cell.record;
    cell.submit(0, id, job)?;
    for (number, age) in [FIRST_AGE, SECOND_AGE].into_iter().enumerate() {
        let started = || cell.runs(id).len() > number;
        if !wait_for(RESTART, started) {
            return Err(format!("run {} of {id} has not started", number + 1));
        }
        thread::sleep(age);
        if !trouble {
            break;
        }
        let executor = Arc::clone(&cell.executors[cell.runs(id)[number].executor]);
        executor.crash();
        thread::spawn(move || {
            thread::sleep(DOWN);
            executor.begin_life("a");
        });
    }
    let until = record.now() + WATCH;
    let mut idle_since = None;
    while record.now() < until {
        thread::sleep(Duration::from_millis(500));
        let (_, state) = cell.state(1, id);
        let runs = cell.runs(id);
        let failed =
            runs.iter().any(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
        if state == "failed" && !failed {
            record
                .note(&format!("{id} is shown as failed, and no run has ended `failed`"));
            return Ok(true);
        }
        if state == "completed" {
            return Ok(false);
        }
        let idle = runs.iter().all(|run| run.ended.is_some());
        let since = idle.then(|| idle_since.unwrap_or(record.now()));
        idle_since = since;
    }
    let idle =
        idle_since.is_some_and(|since| record.now() - since >= Duration::from_secs(9));
    if idle {
        record.note(&format!("{id} has had nothing running for 9 s"));
    }
    Ok(idle)
}
