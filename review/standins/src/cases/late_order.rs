//! An order to start a task that got no answer is carried out by the next life of its executor, while
//! the task runs elsewhere.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::executor::Fate;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const JOB: &str = "1a7e000000000002";
/// The number of tasks: two of 42 orders to start are left without an answer.
const TASKS: usize = 40;
const WORK_MS: u64 = 12_000;
/// When the order is carried out, counted from its arrival; 2 to 12 s are allowed.
const DELAY: Duration = Duration::from_millis(8000);
/// When the executor crashes and is back, counted from the same moment.
const CRASH_AT: Duration = Duration::from_millis(6000);
const BACK_AT: Duration = Duration::from_millis(7980);
/// How long the runs are watched after that.
const WATCH: Duration = Duration::from_secs(4);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 8, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let affected = format!("{JOB}.0.0.0");
    // The executor of the affected task, and when its first order arrived.
    let first: Arc<Mutex<Option<(usize, Duration)>>> = Arc::default();
    for executor in &cell.executors {
        let (affected, first) = (affected.clone(), Arc::clone(&first));
        let (record, index) = (Arc::clone(&record), executor.index);
        executor.set_fate(Some(Box::new(move |call, body| {
            let chosen = call == "run-start" && body["task"] == affected.as_str();
            if !trouble || !chosen || body["run"] != 1 {
                return Fate::Normal;
            }
            let mut first = first.lock().unwrap_or_else(|error| error.into_inner());
            let (_, arrived) = *first.get_or_insert((index, record.now()));
            record.note(&format!("an order to start {affected} run 1 gets no answer"));
            Fate::Late((arrived + DELAY).saturating_sub(record.now()))
        })));
    }
    let job = json!({
        "spec": json!({ "work_ms": WORK_MS }).to_string(),
        "steps": [{ "count": TASKS, "cpu": 2000, "mem_mb": 512, "estimate_ms": WORK_MS }],
    });
    cell.submit(0, JOB, &job)?;
    let of_task = || -> Vec<_> {
        let runs = cell.runs(JOB);
        runs.into_iter().filter(|run| run.task == affected).collect()
    };
    if !wait_for(Duration::from_secs(7), || !of_task().is_empty()) {
        return Err("the task has not started elsewhere".to_owned());
    }
    let first = *first.lock().unwrap_or_else(|error| error.into_inner());
    let (index, arrived) = first.unwrap_or((of_task()[0].executor, record.now()));
    thread::sleep((arrived + CRASH_AT).saturating_sub(record.now()));
    // Without the disruption, the crash comes as well.
    let executor = Arc::clone(&cell.executors[index]);
    executor.crash();
    thread::sleep((arrived + BACK_AT).saturating_sub(record.now()));
    executor.begin_life();
    record.note(&format!("{} is back under its id", executor.id));
    thread::sleep(WATCH);
    let runs = of_task();
    let mut broken = false;
    for (number, one) in runs.iter().enumerate() {
        for other in &runs[number + 1..] {
            let overlap = one.ended.is_none_or(|(ended, _)| other.began < ended);
            if overlap {
                record.note(&format!(
                    "{affected}: run {} on executor {} began at {:.3} s, while run {} went on on \
                     executor {}",
                    other.run,
                    other.executor,
                    other.began.as_secs_f64(),
                    one.run,
                    one.executor
                ));
            }
            broken |= overlap;
        }
    }
    Ok(broken)
}
