//! The memory that jobs take, and what is counted for it.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::JobSchedule;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::UnitProgress;
use test_case::test_case;

use self::common::LEASE;
use self::common::UNIX_TIME;
use self::common::rules;

/// The size of a page of memory in bytes, at least.
const PAGE_BYTES: u64 = 4096;

/// Returns the memory that the process uses in bytes.
fn used_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("the system says it");
    let pages =
        text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}

/// Returns a step of small tasks.
fn step(tasks: u32) -> StepPlan {
    let demand =
        ResourceVector { cpu_millis: 100, memory_bytes: 1 << 20, accelerators: 0 };
    let estimate = Duration::from_millis(500);
    StepPlan { tasks, demand, estimate, ..StepPlan::default() }
}

/// Returns the record of a job of one step.
fn record(spec_bytes: usize, steps: Vec<StepPlan>, repeats: u32) -> JobRecord {
    let schedule = (repeats > 0).then(|| JobSchedule {
        repeats,
        first: UNIX_TIME,
        interval: Duration::from_secs(60),
    });
    let request = JobRequest { spec: "s".repeat(spec_bytes).into(), steps, schedule };
    JobRecord::new(rules(0), "account".into(), UNIX_TIME, request)
}

/// Returns the record of a job of whose units all but the last are done, and of the last all tasks but one.
fn nearly_done(mut record: JobRecord) -> JobRecord {
    let tasks = record.request.steps[0].tasks;
    let units = record.request.occurrences() * record.request.steps.len() as u32;
    let unit = |number: u32| {
        let count = if number + 1 == units { tasks - 1 } else { tasks };
        (number, UnitProgress { done: (0..count).collect(), failed: Vec::new() })
    };
    record.progress = (0..units).map(unit).collect::<BTreeMap<u32, UnitProgress>>();
    record
}

/// Guards against jobs that take more memory than is counted for them, so that an owner accepts more than it
/// has room for (review/14, Fault).
#[test_case(20_000, || record(100, vec![step(1)], 0); "many small jobs")]
#[test_case(5_000, || record(4_000, vec![step(1)], 0); "long specifications")]
#[test_case(3, || record(100, vec![step(1); 4_000], 0); "many steps")]
#[test_case(20, || nearly_done(record(100, vec![step(1); 4_000], 0)); "many steps that are nearly done")]
#[test_case(40, || record(100, vec![step(65_000)], 0); "wide steps")]
#[test_case(40, || record(100, vec![step(1)], 5_000); "schedules of which a part is due")]
#[test_case(40, || nearly_done(record(100, vec![step(65_000)], 0)); "wide steps that are nearly done")]
#[test_case(40, || record(100, vec![step(1)], 43_200); "long schedules")]
#[test_case(10, || nearly_done(record(100, vec![step(2)], 43_200)); "long schedules that are nearly done")]
fn jobs_take_no_more_memory_than_is_counted(jobs: u32, create: fn() -> JobRecord) {
    let mut scheduler = FleetScheduler::new(2, LEASE);
    let counted = create().memory_bytes() * u64::from(jobs);
    let before = used_memory();
    for number in 0..jobs {
        let id = format!("{number:016x}").into();
        scheduler.load_job(id, create(), Duration::ZERO);
    }
    // All is due, nothing fits, and the jobs are tried again and again.
    for minute in 0..10 {
        let now = Duration::from_secs(minute * 60);
        let unix_time = UNIX_TIME + Duration::from_secs(30 * 24 * 3600 + minute);
        scheduler.update_stranded_steps(unix_time);
        assert!(scheduler.place(unix_time, now, 9).starts.is_empty());
    }
    let used = used_memory() - before;
    println!(
        "{} bytes a job, {} counted",
        used / u64::from(jobs),
        counted / u64::from(jobs)
    );
    assert!(used <= counted, "{used} bytes are used and {counted} are counted");
}
