//! Processor time, memory and threads of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// The unit of processor times in `/proc`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// The processor time since the process started.
    pub cpu: Duration,
    /// The resident memory in bytes.
    pub memory: u64,
    /// The number of threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process from `/proc`; all values are zero if it has exited.
    pub fn of(pid: u32) -> ProcessUsage {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let number = |index: usize| -> f64 {
            fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0.0)
        };
        // After the name, fields 11 and 12 are user and system time, and 17 is the thread count.
        let cpu = (number(11) + number(12)) / TICKS_PER_SECOND;
        let status =
            fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0);
        ProcessUsage {
            cpu: Duration::from_secs_f64(cpu),
            memory: kilobytes * 1024,
            threads: number(17) as u64,
        }
    }
}
