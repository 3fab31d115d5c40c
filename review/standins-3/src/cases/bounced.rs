//! LOST: submissions that never began anywhere are shown as `failed`.

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
/// The executors of the kind that the submissions require, all of one rack: an eighth of all.
const RACK: usize = 6;
const EXECUTORS: usize = 48;
/// How long the rack is down: the longest of the sites.
const DOWN: Duration = Duration::from_millis(4500);
/// How long after the crash the owner is killed.
const KILL_AFTER: Duration = Duration::from_millis(500);
/// The clients that hand in a submission at the same time.
const CLIENTS: usize = 8;
/// The crashes at most. The kinds of disturbance may come more than once.
const WAVES: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let kind = |index: usize| -> &[&str] {
        if index < RACK { &["a", "r1-1"] } else { &["b", "r1-2"] }
    };
    let labels: Vec<&[&str]> = (0..EXECUTORS).map(kind).collect();
    let mut cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, PROCESSES)?;
    let mut lost = Vec::new();
    for wave in 0..WAVES {
        let owner = cell.owner().ok_or("no owner")?;
        let other = (owner + 1) % PROCESSES;
        // Work that keeps the rack busy: runs of some 0.1 s, eight at once on each executor.
        let busy = format!("/lohu930/00000000000{wave:x}20fa");
        let body = r#"{"spec":"100 varied","steps":[{"count":4000,"cpu":1000,"mem_mb":100,"estimate_ms":5,"requirements":"a","max_per_server":8}]}"#;
        if cell.call(other, "POST", &busy, KEYS[0], body).is_none_or(|(status, _)| status != 200) {
            return Err("the work wasn't accepted".to_owned());
        }
        let before = cell.runs(&busy[9..]).len();
        wait_until(Duration::from_secs(3), || cell.runs(&busy[9..]).len() > before + 400);
        let ids = hand_in(&cell, other, wave, trouble);
        if trouble {
            for (index, worker) in cell.workers[..RACK].iter().enumerate() {
                let worker = Arc::clone(worker);
                thread::spawn(move || {
                    thread::sleep(DOWN);
                    let _ = worker.begin_life(&format!("i-{index:04x}-{wave}"), &["a", "r1-1"]);
                });
            }
            thread::sleep(KILL_AFTER);
            cell.kill(owner);
        }
        thread::sleep(DOWN + Duration::from_secs(3));
        if trouble {
            cell.spawn(owner)?;
        }
        for path in &ids {
            let mut state = None;
            wait_until(Duration::from_secs(5), || {
                state = cell.state(other, path, KEYS[1]);
                matches!(state.as_deref(), Some("completed" | "failed"))
            });
            let events = cell.runs(&path[9..]);
            let count = |what: &str| events.iter().filter(|event| event.what == what).count();
            if state.as_deref() == Some("failed") && count("failed") < 4 {
                lost.push(format!(
                    "{} ({} starts, {} ends `failed`)",
                    &path[9..],
                    count("start"),
                    count("failed")
                ));
            }
        }
        record.line(&format!("wave {wave}: {} accepted, {} shown as failed", ids.len(), lost.len()));
        if !lost.is_empty() {
            break;
        }
        cell.call(other, "DELETE", &busy, KEYS[0], "");
    }
    cell.record_logs(&["run-crashed task=00000000000f", "job-given-up", "ownership-taken"]);
    Ok((!lost.is_empty()).then(|| {
        format!("LOST: {} submissions are shown as `failed`: {lost:?}", lost.len())
    }))
}

/// Hands in a submission for each client at the same time, and returns those that were accepted. With the
/// trouble, the rack loses its executors at the moment of the first answer.
fn hand_in(cell: &Cell, other: usize, wave: usize, trouble: bool) -> Vec<String> {
    let body = r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"requirements":"a"}]}"#;
    let (answered, answers) = std::sync::mpsc::channel();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let answered = answered.clone();
            scope.spawn(move || {
                let path = format!("/lohu930/00000000000f{wave:02x}{client:02x}");
                let answer = cell.call(other, "POST", &path, KEYS[1], body);
                if answer.is_some_and(|(status, _)| status == 200) {
                    let _ = answered.send(path);
                }
            });
        }
        drop(answered);
        let mut accepted: Vec<String> = answers.recv().into_iter().collect();
        if trouble {
            for worker in &cell.workers[..RACK] {
                worker.crash();
            }
        }
        accepted.extend(answers.iter());
        accepted
    })
}
