//! The order of an owner that is gone is carried out late, by the next life of its executor.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::bed::Bed;
use crate::bed::Verdict;
use crate::bed::ZONES;
use crate::judge::double_starts;
use crate::record::Record;

use super::place;

/// A submission of 40 tasks, which fill the first executors, and one of a single task.
const FIRST_JOB: &str = "0000000000000091";
const JOB: &str = "0000000000000092";
/// A task that leaves the first of the free executors the least room while it works, and one that leaves
/// another the least room after that.
const SHORT_JOB: &str = "0000000000000093";
const LONG_JOB: &str = "0000000000000094";
const SHORT_MS: u64 = 1500;
/// How long after the start of the short task the single task is submitted.
const SUBMIT: Duration = Duration::from_millis(1300);
const EXECUTORS: usize = 8;
/// How long the tasks work.
const TASK_MS: u64 = 40_000;
/// The times of the faults, from the order that gets no answer on.
const KILL: Duration = Duration::from_millis(150);
const CRASH: Duration = Duration::from_secs(5);
const RETURN: Duration = Duration::from_secs(7);

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let places = (1..=EXECUTORS).map(|number| {
        place(&format!("i-{number}"), ZONES[number % ZONES.len()], &format!("r{number}"))
    });
    let bed = Bed::start(root, record, places.collect())?;
    let submit = |id: &str, millis: u64, count: u64, cpu: u64, label: &str| {
        let mut step = json!({
            "count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": millis,
        });
        if !label.is_empty() {
            step["requirements"] = json!(label);
        }
        bed.submit(id, &json!({ "spec": format!("{millis} done"), "steps": [step] }))
    };
    let started =
        || bed.executors.iter().map(|executor| executor.running()).sum::<usize>();
    let await_starts = |count: usize| {
        let all = bed.wait_until(Duration::from_secs(10), || started() == count);
        if all {
            Ok(())
        } else {
            Err(format!("{} of {count} tasks have started", started()))
        }
    };
    submit(FIRST_JOB, TASK_MS, 40, 2000, "")?;
    await_starts(40)?;
    let free: Vec<_> = bed.executors.iter().filter(|e| e.running() == 0).collect();
    let [target, other, ..] = free.as_slice() else {
        return Err("too few executors are free".to_owned());
    };
    submit(LONG_JOB, TASK_MS, 1, 1000, &other.place().labels[1])?;
    submit(SHORT_JOB, SHORT_MS, 1, 2000, &target.place().labels[1])?;
    await_starts(42)?;
    thread::sleep(SUBMIT);
    if trouble {
        target.delay_order();
    }
    submit(JOB, TASK_MS, 1, 12_000, "")?;
    let task = format!("{JOB}.0.0.0");
    let arrived = || {
        let runs = target.runs();
        target.has_delayed_order() || runs.iter().any(|run| run.task == task)
    };
    if !bed.wait_until(Duration::from_secs(3), arrived) {
        return Err("the executor got no order".to_owned());
    }
    target.answer_orders();
    thread::sleep(KILL);
    let owner = bed.owner().ok_or("no process owns the cell")?;
    bed.kill_node(owner);
    thread::sleep(CRASH - KILL);
    target.crash();
    thread::sleep(RETURN - CRASH);
    target.restart();
    bed.start_node(owner)?;
    thread::sleep(Duration::from_secs(4));
    bed.record_logs(&["event=ownership", "event=takeover", &task]);
    let double: Vec<String> = double_starts(&bed.executors);
    record.say(&format!("{} starts of a task that was at work or done", double.len()));
    for line in &double {
        record.say(line);
    }
    Ok(double.is_empty())
}
