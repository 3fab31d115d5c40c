//! Hang: many occurrences due at once.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Cell;
use crate::cell::KEYS;
use crate::cell::Outcome;
use crate::cell::route;
use crate::record::Record;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome<Option<String>> {
    let labels: [&[&str]; 8] = [&["a", "r1-1"]; 8];
    let cell = Cell::start(record, vec![route("sort", "/lohu930/", 1)], &labels, 3)?;
    let n: u64 = std::env::var("N").ok().and_then(|n| n.parse().ok()).unwrap_or(40_000);
    let jobs: u64 = std::env::var("JOBS").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    for job in 0..if trouble { jobs } else { 0 } {
        let body = format!(
            r#"{{"spec":"200","steps":[{{"count":1,"cpu":4000,"mem_mb":100,"estimate_ms":200}}],"repeats":{n},"start_ms":{},"interval_ms":100}}"#,
            crate::worker::unix_ms() - n * 100
        );
        cell.call(0, "POST", &format!("/lohu930/00000000000016{job:02x}"), KEYS[0], &body);
    }
    let began = Instant::now();
    let mut i = 0;
    let mut slow = 0;
    while began.elapsed() < Duration::from_secs(25) {
        let t = Instant::now();
        let body = r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}"#;
        let a = cell.call(i % 3, "POST", &format!("/lohu930/00000000000017{:02x}", i % 256), KEYS[1], body);
        record.line(&format!("took {:?}", t.elapsed()));
        if a.is_none_or(|a| a.0 != 200) { slow += 1 }
        i += 1;
        thread::sleep(Duration::from_millis(300));
        for p in 0..3 {
            if let Some(pid) = cell.pid(p) {
                let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
                if let Some(l) = text.lines().find(|l| l.starts_with("VmRSS")) { record.line(&format!("p{p} {l}")); }
            }
        }
    }
    cell.record_logs(&["event=board", "event=owner ", "event=work ", "panicked", "owner-deposed"]);
    Ok((slow > 0).then(|| format!("{slow} of {i} bad")))
}
