//! A scheduled submission that takes longer than twice `status_s` is unknown soon after its end.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;

use crate::cell::Cell;
use crate::cell::CellPlan;
use crate::record::Record;

use super::CaseResult;

const JOB: &str = "5c0e7a21d94b36f8";
/// The bound `status_s`; that of the sheets, 120, would make the case last for six minutes.
const STATUS_S: u64 = 30;
/// The time between the two occurrences, with the disruption and without.
const LONG_INTERVAL_MS: u64 = 63_000;
const SHORT_INTERVAL_MS: u64 = 10_000;
/// The interval of the client's requests.
const POLL: Duration = Duration::from_millis(1000);
/// The maximum time until the submission is shown as completed.
const MAX_WAIT: Duration = Duration::from_secs(85);

pub fn run(record: Arc<Record>, trouble: bool) -> CaseResult {
    let plan = CellPlan { nodes: 3, executors: 6, status_s: STATUS_S };
    let cell = Cell::start(Arc::clone(&record), plan)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let interval = if trouble { LONG_INTERVAL_MS } else { SHORT_INTERVAL_MS };
    let job = json!({
        "spec": json!({ "work_ms": 400 }).to_string(),
        "steps": [{ "count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 400 }],
        "repeats": 2, "start_ms": now.as_millis() as u64 + 500, "interval_ms": interval,
    });
    cell.submit(0, JOB, &job)?;
    let mut turn = 0;
    let mut ask = || {
        turn += 1;
        cell.state(turn % 3, JOB)
    };
    let completed = loop {
        thread::sleep(POLL);
        let (status, state) = ask();
        if status == 410 {
            record.note("an accepted submission that nobody has cancelled is unknown");
            return Ok(true);
        }
        if state == "completed" {
            break record.now();
        }
        if record.now() > MAX_WAIT {
            return Err("the submission is not completed in time".to_owned());
        }
    };
    record.note("the submission is shown as completed for the first time");
    // The state has to be shown for `status_s`; this asks for two thirds of that time.
    let until = completed + Duration::from_secs(STATUS_S * 2 / 3);
    while record.now() < until {
        thread::sleep(POLL);
        if ask().0 == 410 {
            let after = (record.now() - completed).as_secs_f64();
            record.note(&format!(
                "{after:.1} s after that, an accepted submission that nobody has cancelled is \
                 answered 410"
            ));
            return Ok(true);
        }
    }
    Ok(false)
}
