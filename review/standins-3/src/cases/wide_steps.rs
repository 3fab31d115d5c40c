//! Fault, LOST: processes exceed the memory of their machine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

const MEMORY_MB: u64 = 260;
const PROCESSES: usize = 3;

/// Returns the resident memory of a process in MB.
fn resident_mb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1000)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [&["a", "r1-1"]; 8];
    let mut cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, PROCESSES)?;
    let env = |name: &str, usual: usize| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(usual);
    let (jobs, count) = if trouble { (env("JOBS", 24), env("N", 20_000)) } else { (24, 20) };
    let mut ids = Vec::new();
    let mut most = [0; PROCESSES];
    let mut kills = 0;
    let began = Instant::now();
    let mut next = 0;
    while began.elapsed() < Duration::from_secs(60) {
        if next < jobs {
            let id = format!("/lohu930/00000000000014{next:02x}");
            let body = if std::env::var("SCHED").is_ok() { format!(
                r#"{{"spec":"20","steps":[{{"count":2,"cpu":100,"mem_mb":10,"estimate_ms":1}}],"repeats":{count},"start_ms":{},"interval_ms":1000}}"#,
                crate::worker::unix_ms() - 1000 * count as u64
            ) } else { format!(
                r#"{{"spec":"200","steps":[{{"count":{count},"cpu":1000,"mem_mb":100,"estimate_ms":200}}],"repeats":1,"start_ms":{},"interval_ms":1000}}"#,
                crate::worker::unix_ms() + 15_000 - 100 * next as u64
            ) };
            let answer = cell.call(next % PROCESSES, "POST", &id, KEYS[0], &body);
            if answer.is_some_and(|(status, _)| status == 200) {
                ids.push(id);
            }
            next += 1;
        }
        for index in 0..PROCESSES {
            let resident = cell.pid(index).and_then(resident_mb).unwrap_or(0);
            most[index] = most[index].max(resident);
            if resident > MEMORY_MB {
                // The platform kills a process that exceeds its memory, and starts it again.
                record.line(&format!("process {index} has {resident} MB"));
                kills += 1;
                cell.kill(index);
                cell.spawn(index)?;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("{} accepted; most MB {most:?}; {kills} kills", ids.len()));
    let known = ids.iter().filter(|id| cell.state(0, id, KEYS[0]).is_some()).count();
    record.line(&format!("{known} of {} are known at the end", ids.len()));
    Ok((kills > 0).then(|| format!("{kills} kills for memory, most MB {most:?}, {known} of {} known", ids.len())))
}
