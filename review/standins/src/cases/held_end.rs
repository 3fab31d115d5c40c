//! A task whose end an executor has listed for seconds runs again after a crash of the executor,
//! since the answer to its start was lost long before.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::executor::Fate;
use crate::record::Record;

use super::CaseResult;
use super::wait_for;

const JOB: &str = "4e1d000000000003";
/// The number of tasks: one order in twenty is left without an answer.
const TASKS: usize = 20;
/// How long each task works.
const WORK_MS: u64 = 4000;
/// The time from the listing of the end to the crash, over `contact_ms`: no disruption is near the
/// listing.
const CRASH_DELAY: Duration = Duration::from_millis(5500);
/// With no disruption near, an end counts as taken note of this long after it was listed.
const COUNTS_AFTER: Duration = Duration::from_millis(100);
/// How long the executor is down.
const DOWN: Duration = Duration::from_millis(2000);
/// How long the job is watched after the crash.
const WATCH: Duration = Duration::from_secs(20);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 8, status_s: 120 };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let affected = format!("{JOB}.0.0.0");
    if trouble {
        let lost = Arc::new(AtomicBool::new(false));
        for executor in &cell.executors {
            let (affected, lost) = (affected.clone(), Arc::clone(&lost));
            executor.set_fate(Some(Box::new(move |call, body| {
                let chosen = call == "run-start" && body["task"] == affected.as_str();
                match chosen && !lost.swap(true, Ordering::Relaxed) {
                    true => Fate::AnswerLost,
                    false => Fate::Normal,
                }
            })));
        }
    }
    let job = json!({
        "spec": json!({ "work_ms": WORK_MS }).to_string(),
        "steps": [{ "count": TASKS, "cpu": 4000, "mem_mb": 512, "estimate_ms": WORK_MS }],
    });
    cell.submit(0, JOB, &job)?;
    let of_task = || -> Vec<_> {
        let runs = cell.runs(JOB);
        runs.into_iter().filter(|run| run.task == affected).collect()
    };
    let listed = || of_task().iter().any(|run| run.listed.is_some());
    if !wait_for(Duration::from_secs(15), listed) {
        return Err("the end of the task was not listed".to_owned());
    }
    let first = of_task().remove(0);
    let is_done = first.ended.is_some_and(|(_, how)| how == "done");
    let (Some(listed), true) = (first.listed, is_done) else {
        return Err("the first run of the task has not ended `done`".to_owned());
    };
    record.note(&format!(
        "the end `done` of {affected} is listed for the first time; the executor is up and \
         answers"
    ));
    thread::sleep(CRASH_DELAY);
    // Without the disruption, the crash comes as well: it alone breaks nothing.
    let executor = Arc::clone(&cell.executors[first.executor]);
    executor.crash();
    thread::sleep(DOWN);
    executor.begin_life();
    record.note(&format!("{} is back under its id", executor.id));
    let until = record.now() + WATCH;
    while record.now() < until {
        thread::sleep(Duration::from_millis(1000));
        let (_, state) = cell.state(1, JOB);
        let runs = of_task();
        let again = runs.iter().find(|run| run.began > listed + COUNTS_AFTER);
        if let Some(again) = again {
            let later = (again.began - listed).as_secs_f64();
            record.note(&format!(
                "{affected} has started again (run {}), {later:.1} s after its end `done` was \
                 listed",
                again.run
            ));
            return Ok(true);
        }
        if state == "completed" {
            break;
        }
    }
    Ok(false)
}
