//! LOST: an accepted submission that fills never begins beside tasks that serve.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [&["a", "r1-1"]; 8];
    let cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, 3)?;
    let count = if trouble { 8 } else { 7 };
    let serving = format!(r#"{{"spec":"100000","steps":[{{"count":{count},"cpu":1000,"mem_mb":100,"estimate_ms":1000,"long_running":true,"target_ms":200,"max_per_server":1}}]}}"#);
    cell.call(0, "POST", "/lohu930/00000000000015a1", KEYS[0], &serving);
    thread::sleep(Duration::from_millis(1500));
    let fill = r#"{"spec":"500","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":500,"fill_ratio":1}]}"#;
    let got = cell.call(0, "POST", "/lohu930/00000000000015a2", KEYS[0], fill);
    thread::sleep(Duration::from_secs(30));
    let state = cell.state(0, "/lohu930/00000000000015a2", KEYS[0]);
    let begun = cell.runs("00000000000015a2").len();
    Ok((begun == 0).then(|| format!("{got:?} {state:?} begun {begun}")))
}
