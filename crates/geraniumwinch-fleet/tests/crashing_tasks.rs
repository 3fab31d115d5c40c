//! Tasks that crash the workers that start them.

mod common;

use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::SchedulerEvent;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerReport;

use self::common::TestCell;
use self::common::record;
use self::common::rules;
use self::common::step;

/// The number of starts that the platform allows: three that crash their workers, and two more.
const MAX_STARTS: usize = 5;
/// How long a worker that crashed does not respond.
const DOWNTIME_MS: u64 = 3000;

/// Has the worker of a start crash some time after it, and report again with nothing running.
fn crash(cell: &mut TestCell, start: &RunStart, age_ms: u64, incarnation: u64) {
    cell.scheduler.extend_lease(start.worker, cell.now);
    cell.wait(age_ms);
    cell.scheduler.mark_silent(start.worker, cell.now);
    cell.wait(DOWNTIME_MS);
    let report = WorkerReport { incarnation, ..WorkerReport::default() };
    cell.scheduler.report(start.worker, &report, cell.now, cell.now);
}

/// Crashes the worker of the first task of each placement pass until the job has ended, and returns
/// the number of starts; at most twenty.
fn crash_until_given_up(cell: &mut TestCell, age_ms: u64) -> usize {
    for starts in 0..20 {
        let placed = cell.start_all();
        let Some(start) = placed.iter().find(|start| start.task.index == 0) else {
            return starts;
        };
        crash(cell, start, age_ms, 100 + starts as u64);
    }
    20
}

/// Returns whether a scheduler has given up a job.
fn given_up(cell: &mut TestCell) -> bool {
    let failed = JobPhase::Failed.as_str();
    cell.scheduler.take_events().iter().any(|event| {
        matches!(event, SchedulerEvent::JobEnded { phase, .. } if *phase == failed)
    })
}

cases! {
    /// Guards against a task that crashes worker after worker without an end (issue 28, BUDGET).
    a_task_that_crashes_its_workers_at_once_is_given_up(cell) {
        cell.add_workers(&["v", "w", "x", "y"]);
        cell.accept("job", record(rules(1), vec![step(1, 1_000)]));
        let starts = crash_until_given_up(&mut cell, 12);
        assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
        assert!(given_up(&mut cell));
    }

    /// Guards against the same by a task that works for a while before it crashes its worker.
    a_task_that_crashes_its_workers_after_a_while_is_given_up(cell) {
        cell.add_workers(&["v", "w", "x", "y"]);
        cell.accept("job", record(rules(1), vec![step(1, 1_000)]));
        let starts = crash_until_given_up(&mut cell, 1800);
        assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
        assert!(given_up(&mut cell));
    }

    /// Guards against the same by a member of a gang (issue 28).
    a_gang_whose_member_crashes_its_workers_is_given_up(cell) {
        cell.add_workers(&["v", "w", "x", "y"]);
        let gang = StepPlan { gang: true, ..step(3, 9_000) };
        cell.accept("job", record(rules(1), vec![gang]));
        for starts in 0..20 {
            let placed = cell.start_all();
            let Some(first) = placed.iter().find(|start| start.task.index == 0) else {
                assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
                break;
            };
            crash(&mut cell, first, 12, 100 + starts as u64);
            // The other members are stopped, and their workers report that nothing runs.
            for stop in cell.scheduler.take_stops() {
                cell.scheduler.stop_response(stop.worker, &stop.task, stop.run, cell.now);
            }
            cell.wait(1);
            for start in placed.iter().filter(|start| start.worker != first.worker) {
                cell.report(start.worker, Vec::new(), Vec::new());
            }
        }
        assert!(given_up(&mut cell));
    }

    /// Guards against the same by a task that runs until it is cancelled, whose failures have no
    /// limit (issue 28).
    a_long_running_task_that_crashes_its_workers_is_given_up(cell) {
        cell.add_workers(&["v", "w", "x", "y"]);
        let lasting = StepPlan { long_running: true, ..step(1, 1_000) };
        cell.accept("job", record(rules(1), vec![lasting]));
        let starts = crash_until_given_up(&mut cell, 12);
        assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
        assert!(given_up(&mut cell));
    }
}
