//! Fault: a few wide submissions end one process after the other for want of memory.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;
use crate::worker::unix_ms;

/// The memory of a machine of the small deployments. The platform kills a process that exceeds it.
const MEMORY_MB: u64 = 260;
const PROCESSES: usize = 7;
const SUBMISSIONS: usize = 8;
/// The tasks of a submission, which are due together.
const WIDE: u32 = 65_000;
/// The widest step of the sites, for comparison.
const USUAL: u32 = 60;
/// How long after the first submission all are due.
const DUE_MS: u64 = 12_000;
const FINISH_MS: u64 = 14_000;
const WATCH: Duration = Duration::from_secs(60);

/// Returns the resident memory of a process in MB.
fn resident_mb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1024)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [&["a", "r1-1"]; 8];
    let mut cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, PROCESSES)?;
    let count = if trouble { WIDE } else { USUAL };
    let due = unix_ms() + DUE_MS;
    let due_ms = record.now_ms() + DUE_MS;
    let mut ids = Vec::new();
    for number in 0..SUBMISSIONS {
        let path = format!("/lohu930/00000000000014{number:02x}");
        let body = format!(
            r#"{{"spec":"200","steps":[{{"count":{count},"cpu":1000,"mem_mb":100,"estimate_ms":200}}],"repeats":1,"start_ms":{due},"interval_ms":1000}}"#
        );
        if cell.call(number % PROCESSES, "POST", &path, KEYS[0], &body).is_some_and(|(s, _)| s == 200) {
            ids.push(path);
        }
    }
    if ids.len() < SUBMISSIONS {
        record.line("not all submissions were accepted");
    }
    let (mut most, mut kills) = ([0; PROCESSES], [0; PROCESSES]);
    let began = Instant::now();
    while began.elapsed() < WATCH {
        for index in 0..PROCESSES {
            let resident = cell.pid(index).and_then(resident_mb).unwrap_or(0);
            most[index] = most[index].max(resident);
            if resident > MEMORY_MB {
                record.line(&format!("process {index} has {resident} MB of {MEMORY_MB}"));
                kills[index] += 1;
                cell.kill(index);
                cell.spawn(index)?;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let answered = ids.iter().filter(|path| cell.state(0, path, KEYS[0]).is_some()).count();
    let small = r#"{"spec":"200","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":200}]}"#;
    let taken = cell.call(1, "POST", "/lohu930/00000000000015aa", KEYS[1], small);
    record.line(&format!(
        "{} accepted, {answered} answered at the end; a small submission of another tenant gets {taken:?}; \
         most MB {most:?}, kills {kills:?}",
        ids.len()
    ));
    // The longest time without a running task, from `finish_s` after the last submission on.
    let mut times: Vec<u64> = cell.runs("").iter().map(|event| event.at_ms).collect();
    times.retain(|&at_ms| at_ms > due_ms + FINISH_MS);
    let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
    record.line(&format!("longest time in which no task began or ended: {gap} ms"));
    // "on a tenth of the machines in use (two at least) processes end by themselves three times"
    let often = kills.iter().filter(|&&kills| kills >= 3).count();
    Ok((often >= 2).then(|| {
        format!("Fault: {often} of {PROCESSES} machines lose their process three times or more ({kills:?})")
    }))
}
