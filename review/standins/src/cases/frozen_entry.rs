//! A submission that its client has given up and cancelled runs, since the process that took it was
//! frozen meanwhile.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::cell::CLIENT_TIMEOUT;
use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const JOB: &str = "f02e000000000005";
/// How long the process is frozen.
const FREEZE: Duration = Duration::from_millis(4000);
/// After what time the client gives up: half of the objective of the slowest kind of request.
const PATIENCE: Duration = Duration::from_millis(500);
/// The bound `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3000);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 6, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let giver = || cell.order_giver();
    if !wait_for(Duration::from_secs(5), || giver().is_some()) {
        return Err("no process gives orders".to_owned());
    }
    let giver = giver().unwrap_or_default();
    let (entry, other) = ((giver + 1) % 3, (giver + 2) % 3);
    let job = json!({
        "spec": json!({ "work_ms": 12_000 }).to_string(),
        "steps": [{ "count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 12_000 }],
    });
    let body = job.to_string();
    if trouble {
        cell.signal(entry, Signal::SIGSTOP);
    }
    let frozen = record.now();
    cell.call(entry, "POST", JOB, &body, PATIENCE);
    let answer = cell.call(other, "DELETE", JOB, "", CLIENT_TIMEOUT);
    let acknowledged = record.now();
    if !matches!(answer, Some((200..=299 | 410, _))) {
        return Err(format!("the cancelling was not acknowledged: {answer:?}"));
    }
    thread::sleep((frozen + FREEZE).saturating_sub(record.now()));
    if trouble {
        cell.signal(entry, Signal::SIGCONT);
    }
    thread::sleep(Duration::from_secs(12));
    let runs = cell.runs(JOB);
    let late: Vec<_> =
        runs.iter().filter(|run| run.began > acknowledged + CANCEL).collect();
    for run in &late {
        let after = (run.began - acknowledged).as_secs_f64();
        record.note(&format!(
            "{} run {} started {after:.2} s after the cancelling was acknowledged",
            run.task, run.run
        ));
    }
    cell.state(other, JOB);
    Ok(!late.is_empty())
}
