//! LOST, MIXED: clients of two tenants choose the same ID, each on the queue of its own tenant.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

const ID: &str = "0000000000001234";
const OTHER_ID: &str = "0000000000001235";

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [&["a", "r1-1"]; 8];
    let routes = vec![route("sort", "/lohu930/", 1), route("price", "/pule252/", 2)];
    let cell = Cell::start(record, routes, &labels, 3)?;
    let body = |spec: &str, count: u32| {
        format!(
            r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":1000,"mem_mb":100,"estimate_ms":1000}}]}}"#
        )
    };
    let first = format!("/lohu930/{ID}");
    let second = format!("/pule252/{}", if trouble { ID } else { OTHER_ID });
    let ok = |answer: &Option<(u16, String)>| answer.as_ref().is_some_and(|a| a.0 / 100 == 2);
    if !ok(&cell.call(0, "POST", &first, KEYS[0], &body("4000 first", 1))) {
        return Err("the first submission wasn't accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    let accepted = cell.call(1, "POST", &second, KEYS[1], &body("1000 second", 3));
    thread::sleep(Duration::from_millis(2000));
    let second_state = cell.state(2, &second, KEYS[1]);
    // The client of the second tenant cancels what it has handed in.
    cell.call(1, "DELETE", &second, KEYS[1], "");
    let mut first_state = None;
    wait_until(Duration::from_secs(10), || {
        thread::sleep(Duration::from_millis(400));
        first_state = cell.state(0, &first, KEYS[0]);
        matches!(first_state.as_deref(), Some("completed" | "failed" | "cancelled"))
    });
    let events = cell.runs("");
    let begun = |name: &str| {
        events.iter().filter(|e| e.what == "start" && e.spec.ends_with(name)).count()
    };
    let (first_begun, second_begun) = (begun("first"), begun("second"));
    record.line(&format!(
        "first: {first_begun} of 1 tasks begun, shown as {first_state:?}, never cancelled by its tenant; \
         second: accepted {}, {second_begun} of 3 tasks begun, shown as {second_state:?} before its cancelling",
        ok(&accepted)
    ));
    let mut broken = Vec::new();
    if first_state.as_deref() == Some("cancelled") {
        broken.push("the first tenant's submission is shown as `cancelled`, which only the other has asked for");
    }
    if ok(&accepted) && second_begun < 3 {
        broken.push("the second tenant's submission was accepted and its tasks never began");
    }
    Ok((!broken.is_empty()).then(|| format!("LOST: {}", broken.join("; "))))
}
