//! How long the end of a job can be read.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::RunOutcome;

use self::common::TestCell;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;

/// How long the end of a job can be read.
const RETENTION: Duration = Duration::from_secs(120);
/// The interval at which expired jobs are removed.
const EXPIRE_INTERVAL_MS: u64 = 10_000;
/// The number of jobs that are removed at a time.
const LIMIT: usize = 200;

/// Runs the only task of a job for some time, until it is done and stored.
fn run_job(cell: &mut TestCell, run_time: Duration) {
    let worker = cell.add_workers(&["w"])[0];
    cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
    let start = cell.start_all().remove(0);
    let end = cell.now + run_time;
    let mut percent = 0;
    while cell.now < end {
        percent += 1;
        let mut run = running(start.task.clone(), start.run);
        run.percent = percent;
        cell.report(worker, vec![run], Vec::new());
        cell.wait(1000);
        assert!(cell.scheduler.expire_jobs(cell.now, RETENTION, LIMIT).is_empty());
    }
    let done = ended(1, start.task.clone(), start.run, RunOutcome::Done);
    cell.report(worker, Vec::new(), vec![done]);
    cell.store_all();
}

/// Returns how long the end of a job is known.
fn known_time(cell: &mut TestCell) -> Duration {
    let began = cell.now;
    while cell.scheduler.expire_jobs(cell.now, RETENTION, LIMIT).is_empty() {
        assert_eq!(cell.phase("job"), Some(JobPhase::Completed));
        cell.wait(EXPIRE_INTERVAL_MS);
    }
    assert_eq!(cell.phase("job"), None);
    cell.now - began
}

cases! {
    /// Guards against a job that is unknown soon after its end, since its retention counted from its
    /// acceptance (review/1).
    the_end_of_a_long_job_can_be_read_for_the_retention(cell) {
        run_job(&mut cell, RETENTION * 3);
        assert!(known_time(&mut cell) >= RETENTION);
    }

    the_end_of_a_short_job_is_not_kept_for_ever(cell) {
        run_job(&mut cell, Duration::from_secs(1));
        let known = known_time(&mut cell);
        assert!(known >= RETENTION);
        assert!(known <= RETENTION + Duration::from_millis(2 * EXPIRE_INTERVAL_MS));
    }

    /// Guards against a new owner that removes the end of a long job which the former one has stored.
    a_new_owner_keeps_the_end_of_a_job_for_the_retention(cell) {
        let mut stored = record(rules(1), vec![step(1, 4_000)]);
        stored.phase = JobPhase::Completed;
        cell.scheduler.load_job("job".into(), stored, cell.now);
        assert!(known_time(&mut cell) >= RETENTION);
    }
}
