//! Runs whose progress is seen seldom, since they last long.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StepPlan;

use self::common::TestCell;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;

/// The interval of the worker's reports.
const REPORT_MS: u64 = 1_000;
/// The number of runs after which a task should have ended at the latest.
const MAX_RUNS: u64 = 12;

/// Has a worker run the only task of a job until it is done. `percent` is the progress of a run after a
/// number of seconds. Returns the number of runs, or `None` if the task does not end.
fn runs_until_done(
    cell: &mut TestCell,
    estimate: Duration,
    percent: impl Fn(u32) -> u32,
) -> Option<u64> {
    let worker = cell.add_workers(&["w"])[0];
    cell.accept("job", record(rules(1), vec![StepPlan { estimate, ..step(1, 1_000) }]));
    for number in 1..=MAX_RUNS {
        let start = loop {
            if let Some(start) = cell.start_all().pop() {
                break start;
            }
            cell.report(worker, Vec::new(), Vec::new());
            cell.wait(REPORT_MS);
        };
        for percent in (0..).map(&percent) {
            if percent >= 100 {
                let done = ended(number, start.task.clone(), start.run, RunOutcome::Done);
                cell.report(worker, Vec::new(), vec![done]);
                cell.store_all();
                return Some(number);
            }
            let run = running(start.task.clone(), start.run);
            cell.report(worker, vec![RunningRun { percent, ..run }], Vec::new());
            cell.wait(REPORT_MS);
            if !cell.scheduler.take_stops().is_empty() {
                break;
            }
        }
        let stopped = ended(number, start.task, start.run, RunOutcome::Stopped);
        cell.report(worker, Vec::new(), vec![stopped]);
        cell.store_all();
    }
    None
}

cases! {
    /// Guards against a task that never ends, since each of its runs counts as stalled while its whole
    /// percents change seldom (issue 47, point 5).
    a_task_of_many_minutes_without_an_estimate_ends(cell) {
        let runs = runs_until_done(&mut cell, Duration::ZERO, |second| second / 18);
        assert!(runs.is_some(), "the task does not end");
        assert_eq!(cell.phase("job"), Some(JobPhase::Completed));
    }

    /// Guards against the same for a task whose estimate is far too low.
    a_task_that_takes_far_longer_than_estimated_ends(cell) {
        let estimate = Duration::from_secs(10);
        let runs = runs_until_done(&mut cell, estimate, |second| second / 36);
        assert!(runs.is_some(), "the task does not end");
    }

    /// Guards against a run that is stopped although it goes on at about the rate that it has shown.
    a_run_that_goes_on_at_about_its_rate_is_not_stopped(cell) {
        let estimate = Duration::from_secs(20);
        let percent = |second: u32| second.saturating_sub(6).div_euclid(12) + second.min(6) / 6;
        assert_eq!(runs_until_done(&mut cell, estimate, percent), Some(1));
    }
}
