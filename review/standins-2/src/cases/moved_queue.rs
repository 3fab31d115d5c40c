//! A queue moves to another service, whose executors run it from then on, and the executor of the former
//! service is emptied and taken away.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::bed::Bed;
use crate::bed::Verdict;
use crate::bed::ZONES;
use crate::executor::Place;
use crate::record::Record;

use super::place;

const JOB: &str = "00000000000000f1";
/// A submission that comes after the change.
const LATER_JOB: &str = "00000000000000f2";
/// The service to which the queue moves, and its executors.
const NEW_SERVICE: &str = "new-service";
const NEW_EXECUTORS: usize = 15;
/// How long the leaving executor serves after its report: `drain_ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(4500);
/// How long after the change the submission may still lack what it needs, and how long it is watched
/// then.
const FINISH: Duration = Duration::from_secs(14);
const WATCH: Duration = Duration::from_secs(6);

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut places = vec![place("i-old", ZONES[0], "r1")];
    for number in 1..=NEW_EXECUTORS {
        let zone = ZONES[number % ZONES.len()];
        let place = place(&format!("i-new-{number}"), zone, "r2");
        places.push(Place { service: NEW_SERVICE.to_owned(), ..place });
    }
    let bed = Bed::start(root, record, places)?;
    let step = json!({ "count": 4, "cpu": 1000, "mem_mb": 100, "estimate_ms": 3000 });
    let next = json!({
        "count": 4, "cpu": 1000, "mem_mb": 100, "estimate_ms": 3000, "after": [0],
    });
    bed.submit(JOB, &json!({ "spec": "3000 done", "steps": [step, next] }))?;
    let old = &bed.executors[0];
    if !bed.wait_until(Duration::from_secs(5), || old.running() == 4) {
        return Err("the first step has not started".to_owned());
    }
    if trouble {
        bed.publish(2, NEW_SERVICE);
        record.say("the queue moves to the new service");
        thread::sleep(Duration::from_secs(1));
        old.drain();
        thread::sleep(DRAIN);
        old.leave();
        bed.submit(LATER_JOB, &json!({ "spec": "1000 done", "steps": [step] }))?;
        let state = bed.await_end(LATER_JOB, Duration::from_secs(8));
        record.say(&format!("a later submission is shown as {state}"));
    }
    thread::sleep(FINISH);
    let running =
        || bed.executors.iter().map(|executor| executor.running()).sum::<usize>();
    let works = bed.wait_until(WATCH, || running() > 0);
    let state = bed.state(JOB).unwrap_or_default();
    let runs = bed.executors.iter().flat_map(|executor| executor.runs());
    let name = format!("{JOB}.0.1.");
    let second = runs.filter(|run| run.task.starts_with(&name)).count();
    bed.record_logs(&["event=board"]);
    record.say(&format!(
        "{second} of 4 tasks of the second step have started; at work: {works}; shown as {state}"
    ));
    Ok(state == "completed" || works)
}
