//! UNASKED: a task starts later than `cancel_ms` after its submission's cancelling was acknowledged.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

const JOB: &str = "00000000000013a1";
const PATH: &str = "/lohu930/00000000000013a1";
/// As many machines as the smallest deployment has.
const PROCESSES: usize = 7;
const CANCEL_MS: u64 = 3000;
/// How long the machine stands still: the longest freeze of the sites.
const FREEZE: Duration = Duration::from_millis(4000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 4] = [&["a", "r1-1"]; 4];
    let mut cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, PROCESSES)?;
    let owner = cell.owner().ok_or("no owner")?;
    let (frozen, other) = ((owner + 1) % PROCESSES, (owner + 2) % PROCESSES);
    let body = r#"{"spec":"1000","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1000}]}"#;
    if trouble {
        cell.signal(frozen, "STOP");
    }
    let submission = cell.send(frozen, "POST", PATH, KEYS[0], body);
    // The client leaves before its time budget and cancels at another machine.
    let waited = submission.and_then(|call| call.response(Duration::from_millis(500)));
    record.line(&format!("the submission is answered with {waited:?}"));
    let cancelled = cell.call(other, "DELETE", PATH, KEYS[0], "");
    if cancelled.is_none_or(|(status, _)| status != 200 && status != 410) {
        return Err("the cancelling wasn't acknowledged".to_owned());
    }
    let cancelled_ms = record.now_ms();
    if trouble {
        cell.kill(owner);
        let time = Duration::from_secs(4);
        if !wait_until(time, || cell.owner().is_some()) {
            return Err("no new owner".to_owned());
        }
        let since = Duration::from_millis(record.now_ms() - cancelled_ms);
        thread::sleep(FREEZE.saturating_sub(since + Duration::from_millis(500)));
        cell.signal(frozen, "CONT");
    }
    thread::sleep(Duration::from_secs(8));
    cell.state(other, PATH, KEYS[0]);
    let late: Vec<u64> = cell
        .runs(JOB)
        .iter()
        .filter(|event| event.what == "start" && event.at_ms > cancelled_ms + CANCEL_MS)
        .map(|event| event.at_ms - cancelled_ms)
        .collect();
    cell.record_logs(&["event=submit", "event=cancel", "ownership-taken"]);
    Ok((!late.is_empty()).then(|| {
        format!("UNASKED: starts {late:?} ms after the cancelling was acknowledged")
    }))
}
