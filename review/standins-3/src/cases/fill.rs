//! LOST: an accepted submission whose tasks fill never begins, since each executor has a task that serves.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

const EXECUTORS: usize = 8;
const SERVING: &str = "00000000000015a1";
const FILLING: &str = "00000000000015a2";
/// `finish_s`, and the 3 s for which nothing runs.
const WATCH: Duration = Duration::from_secs(14 + 3);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; EXECUTORS] = [&["a", "r1-1"]; EXECUTORS];
    let cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, 3)?;
    // A task that serves on each executor, of a quarter of its processors; without the trouble, on all but one.
    let count = if trouble { EXECUTORS } else { EXECUTORS - 1 };
    let serving = format!(
        r#"{{"spec":"100000","steps":[{{"count":{count},"cpu":4000,"mem_mb":1000,"estimate_ms":1000,"long_running":true,"target_ms":200,"max_per_server":1}}]}}"#
    );
    let filling = r#"{"spec":"500","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":500,"fill_ratio":true}]}"#;
    for (id, body) in [(SERVING, serving.as_str()), (FILLING, filling)] {
        let accepted = cell.call(0, "POST", &format!("/lohu930/{id}"), KEYS[0], body);
        if accepted.is_none_or(|(status, _)| status != 200) {
            return Err("a submission wasn't accepted".to_owned());
        }
        if !wait_until(Duration::from_secs(5), || cell.runs(SERVING).len() == count) {
            return Err("the tasks that serve don't start".to_owned());
        }
    }
    thread::sleep(WATCH);
    let state = cell.state(1, &format!("/lohu930/{FILLING}"), KEYS[0]);
    let begun = cell.runs(FILLING).iter().filter(|event| event.what == "start").count();
    record.line(&format!("the submission that fills: {begun} of 4 tasks begun, shown as {state:?}"));
    Ok((begun == 0).then(|| {
        format!("LOST: nothing has begun of a submission 17 s after its acceptance, shown as {state:?}; a quarter of the capacity is in use")
    }))
}
