//! TWICE: the late order of a former owner is carried out by the next life of its executor.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

use super::wait_until;

/// As many machines as the smallest deployment has.
const PROCESSES: usize = 7;
const TASK: &str = "00000000000012aa.0.0.0";
/// How long after the order the owner is killed and the executor crashes.
const KILL_AFTER: Duration = Duration::from_millis(250);
const CRASH_AFTER: Duration = Duration::from_millis(5000);
/// How long the executor is down.
const DOWN: Duration = Duration::from_millis(2060);
/// How long after its return the late order is carried out.
const LATE_AFTER: Duration = Duration::from_millis(20);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let mut labels: Vec<&[&str]> = vec![&["b", "r1-1"]; 8];
    labels[0] = &["a", "r1-1"];
    let mut cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, PROCESSES)?;
    let owner = cell.owner().ok_or("no owner")?;
    let other = (owner + 1) % PROCESSES;
    let worker = Arc::clone(&cell.workers[0]);
    let hand_in = |cell: &Cell, id: &str, work_ms: u32, count: u32, cpu: u32, label: &str| {
        let label = if label.is_empty() { String::new() } else { format!(r#","requirements":"{label}""#) };
        let body = format!(
            r#"{{"spec":"{work_ms}","steps":[{{"count":{count},"cpu":{cpu},"mem_mb":100,"estimate_ms":{work_ms}{label}}}]}}"#
        );
        let answer = cell.call(other, "POST", &format!("/lohu930/{id}"), KEYS[0], &body);
        let begun = || cell.runs(id).iter().filter(|event| event.what == "start").count() == count as usize;
        let answered = answer.is_some_and(|(status, _)| status == 200);
        if answered && (id == &TASK[..16] || wait_until(Duration::from_secs(3), begun)) {
            Ok(())
        } else {
            Err(format!("submission {id} wasn't accepted or didn't begin"))
        }
    };
    // Twenty orders that are answered; then what decides where the task goes, first and later.
    hand_in(&cell, "00000000000012a1", 200, 20, 500, "")?;
    hand_in(&cell, "00000000000012a2", 60_000, 1, 4500, "a")?;
    hand_in(&cell, "00000000000012a3", 60_000, 1, 8000, "b")?;
    thread::sleep(Duration::from_millis(500));
    hand_in(&cell, "00000000000012a4", 400, 1, 4000, "a")?;
    if trouble {
        worker.hold_order(TASK);
    }
    hand_in(&cell, &TASK[..16], 20_000, 1, 7500, "")?;
    if trouble {
        if !wait_until(Duration::from_secs(2), || worker.holds_order()) {
            return Err("the order went to another executor".to_owned());
        }
        thread::sleep(KILL_AFTER);
        cell.kill(owner);
        thread::sleep(CRASH_AFTER - KILL_AFTER);
        let id = worker.id().unwrap_or_default();
        worker.crash();
        thread::sleep(DOWN);
        worker.begin_life(&id, &["a", "r1-1"]).map_err(|e| e.to_string())?;
        thread::sleep(LATE_AFTER);
        worker.carry_out_held();
    }
    thread::sleep(Duration::from_secs(4));
    // The runs of the task as spans: from the start to its end, or until now.
    let events = cell.runs(TASK);
    let mut spans = Vec::new();
    for event in events.iter().filter(|event| event.what == "start") {
        let ended = events.iter().find(|end| {
            end.what != "start" && end.worker == event.worker && end.run == event.run && end.at_ms >= event.at_ms
        });
        spans.push((event.at_ms, ended.map_or(record.now_ms(), |end| end.at_ms), event));
    }
    let mut both = Vec::new();
    for (index, (began, ended, event)) in spans.iter().enumerate() {
        for (later_began, later_ended, later) in &spans[index + 1..] {
            let (from, to) = (*began.max(later_began), *ended.min(later_ended));
            if from < to {
                both.push(format!(
                    "run {} on {} and run {} on {} for {} ms",
                    event.run, event.worker, later.run, later.worker, to - from
                ));
            }
        }
    }
    cell.record_logs(&["event=orphan", "12aa", "ownership-taken"]);
    Ok((!both.is_empty()).then(|| format!("TWICE: {both:?}")))
}
