//! Tasks of a cancelled submission are started seconds after the cancelling was acknowledged, since
//! their orders waited behind orders without an answer.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::executor::Fate;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const JOB: &str = "ca9ce11ed0000004";
/// The number of tasks; all fit on one executor.
const TASKS: usize = 64;
/// The bounds `cancel_ms` and `ack_timeout_ms`.
const CANCEL: Duration = Duration::from_millis(3000);
const ACK_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long the disruption lasts.
const TROUBLE_TIME: Duration = Duration::from_millis(5000);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 6, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let began = record.now();
    if trouble {
        record
            .note("half of the orders get no answer and are carried out 2 to 12 s later");
        for executor in &cell.executors {
            let mut orders = 0;
            executor.set_fate(Some(Box::new(move |call, _| {
                if call == "hold" {
                    return Fate::Normal;
                }
                orders += 1;
                // The first order is answered, so that no more than half of them are not.
                match orders % 2 {
                    1 => Fate::Normal,
                    _ => Fate::Late(Duration::from_millis(2000 + orders * 1700 % 10_000)),
                }
            })));
        }
    }
    let job = json!({
        "spec": json!({ "work_ms": 20_000 }).to_string(),
        "steps": [{ "count": TASKS, "cpu": 250, "mem_mb": 256, "estimate_ms": 20_000 }],
    });
    cell.submit(0, JOB, &job)?;
    if !wait_for(Duration::from_secs(8), || !cell.runs(JOB).is_empty()) {
        return Err("no task has started".to_owned());
    }
    let answer = cell.call(1, "DELETE", JOB, "", ACK_TIMEOUT);
    if !matches!(answer, Some((200..=299, _))) {
        return Err(format!("the cancelling was not acknowledged: {answer:?}"));
    }
    let acknowledged = record.now();
    let end = began + TROUBLE_TIME;
    thread::sleep(end.saturating_sub(record.now()));
    cell.executors.iter().for_each(|executor| executor.set_fate(None));
    record.note("the disruption is over");
    thread::sleep(Duration::from_secs(8));
    let runs = cell.runs(JOB);
    let late: Vec<_> = runs
        .iter()
        .filter(|run| !run.late && run.began > acknowledged + CANCEL)
        .collect();
    record.note(&format!(
        "{} starts, {} of them carried out at once over 3 s after the cancelling was \
         acknowledged",
        runs.len(),
        late.len()
    ));
    for run in &late {
        let after = (run.began - acknowledged).as_secs_f64();
        record
            .note(&format!("{} run {} started {after:.2} s after it", run.task, run.run));
    }
    Ok(!late.is_empty())
}
