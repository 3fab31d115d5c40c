//! Start commands without a response that the next incarnation of their worker may execute.

mod common;

use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::WorkerReport;

use self::common::INCARNATION;
use self::common::LONG_REQUESTS;
use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::worker_info;

/// The time after which the lease of a silent worker has expired.
const LEASE_OVER_MS: u64 = 6400;
/// The time after which no delayed command is executed any more.
const DELAY_OVER_MS: u64 = 13_000;

/// Starts the only task of a job on one of two workers, where a copy of the command gets no response.
fn start_unanswered(cell: &mut TestCell) -> RunStart {
    cell.add_workers(&["w", "v"]);
    cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
    let start = cell.place().remove(0);
    cell.scheduler.extend_lease(start.worker, cell.now);
    cell.scheduler.start_unanswered(start.worker, &start.task, start.run, cell.now);
    start
}

/// Has the next incarnation of a worker report its runs.
fn restart(cell: &mut TestCell, start: &RunStart, running: Vec<RunningRun>) {
    let incarnation = INCARNATION + 1;
    let report = WorkerReport { incarnation, running, ..WorkerReport::default() };
    cell.scheduler.report(start.worker, &report, cell.now, cell.now);
}

/// Has a worker respond to a stop command and report that nothing runs.
fn confirm_stop(cell: &mut TestCell, start: &RunStart) {
    cell.scheduler.stop_response(start.worker, &start.task, start.run, cell.now);
    cell.wait(5);
}

cases! {
    /// Guards against running a task twice: its worker stayed silent until its lease had ended, and
    /// executed the start after a restart (found while analysing issue 19).
    a_silent_worker_that_may_execute_a_start_keeps_its_task(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Unknown);
        cell.scheduler.mark_silent(start.worker);
        cell.wait(LEASE_OVER_MS);
        assert_eq!(cell.place().len(), 0, "the next incarnation may execute the start");
        restart(&mut cell, &start, vec![running(start.task.clone(), start.run)]);
        assert_eq!(cell.place().len(), 0);
        cell.wait(700);
        assert!(cell.scheduler.take_stops().is_empty(), "the run is the task's");
    }

    a_silent_worker_keeps_its_task_no_longer_than_needed(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Unknown);
        cell.scheduler.mark_silent(start.worker);
        cell.wait(DELAY_OVER_MS);
        assert_eq!(cell.place().len(), 0, "a start that was just executed has a lease");
        cell.wait(LEASE_OVER_MS);
        assert_eq!(cell.place().len(), 1);
    }

    a_worker_that_is_gone_keeps_its_task_no_longer_than_commands_are_delayed(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Unknown);
        let info = cell.scheduler.worker_info(start.worker).expect("the worker is known");
        let remaining = if &*info.id == "w" { "v" } else { "w" };
        cell.scheduler.set_workers(vec![worker_info(remaining)], cell.now);
        cell.scheduler.mark_silent(start.worker);
        cell.wait(LEASE_OVER_MS);
        assert_eq!(cell.place().len(), 0);
        cell.wait(DELAY_OVER_MS - LEASE_OVER_MS);
        assert_eq!(cell.place().len(), 1);
    }

    /// Guards against running a task twice: its worker restarted during the run, and executed the
    /// first copy of the start again (found while analysing issue 19).
    a_restarted_worker_excludes_a_delayed_copy_before_its_task_is_placed(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Started);
        cell.wait(5);
        restart(&mut cell, &start, Vec::new());
        assert_eq!(cell.place().len(), 0, "the new incarnation may execute the first copy");
        assert_eq!(cell.scheduler.take_stops().len(), 1);
        confirm_stop(&mut cell, &start);
        restart(&mut cell, &start, Vec::new());
        assert_eq!(cell.place().len(), 1);
    }

    /// Guards against running a task twice: the former incarnation of its worker had answered the
    /// stop, and the next one executed the start (found while analysing issue 19).
    a_stop_does_not_outlive_the_incarnation_that_confirmed_it(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Unknown);
        cell.wait(700);
        assert_eq!(cell.scheduler.take_stops().len(), 1);
        confirm_stop(&mut cell, &start);
        restart(&mut cell, &start, Vec::new());
        assert_eq!(cell.place().len(), 0, "the new incarnation has not seen the stop");
        assert_eq!(cell.scheduler.take_stops().len(), 1);
        confirm_stop(&mut cell, &start);
        restart(&mut cell, &start, Vec::new());
        assert_eq!(cell.place().len(), 1);
    }

    /// Guards against running a task twice: the start of a released run was executed after its worker
    /// had restarted (found while analysing issue 19).
    a_restarted_worker_excludes_the_starts_of_released_runs(cell) {
        let start = start_unanswered(&mut cell);
        cell.outcome(&start, StartOutcome::Unknown);
        cell.wait(700);
        cell.scheduler.take_stops();
        confirm_stop(&mut cell, &start);
        cell.report(start.worker, Vec::new(), Vec::new());
        assert_eq!(cell.place().len(), 1);
        restart(&mut cell, &start, Vec::new());
        let stops = cell.scheduler.take_stops();
        assert_eq!(stops.len(), 1);
        assert_eq!((stops[0].worker, stops[0].run), (start.worker, start.run));
    }

    /// Guards against running a task again after it was done: its end was reported before the start
    /// command had timed out, and its worker restarted (platform soak, seeds 306 and 309).
    a_start_that_times_out_after_the_end_of_its_run_is_excluded(cell) {
        cell.add_workers(&["w", "v"]);
        cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
        let start = cell.place().remove(0);
        let done = ended(1, start.task.clone(), start.run, RunOutcome::Done);
        cell.report(start.worker, Vec::new(), vec![done]);
        assert!(!cell.scheduler.wants_start(start.worker, &start.task, start.run));
        cell.scheduler.start_unanswered(start.worker, &start.task, start.run, cell.now);
        assert_eq!(cell.scheduler.take_stops().len(), 1, "it may have restarted already");
        restart(&mut cell, &start, Vec::new());
        assert_eq!(cell.scheduler.take_stops().len(), 1);
    }

    a_start_with_a_ticket_is_not_executed_by_the_next_incarnation(cell) {
        let workers = cell.add_workers(&["w", "v"]);
        let mut permitted = rules(1);
        permitted.permission = Some(PermissionCost {
            base: Duration::ZERO,
            per_worker: Duration::ZERO,
            validity: Duration::from_secs(60),
        });
        cell.accept("job", record(permitted, vec![step(1, 4_000)]));
        let mut round = cell.scheduler.place(UNIX_TIME, cell.now, LONG_REQUESTS);
        let request = round.requests.remove(0);
        let until = cell.now + Duration::from_secs(60);
        let grant = |worker: &Name| {
            PermissionGrant { worker: worker.clone(), ticket: "ticket".into(), until }
        };
        let grants = request.workers.iter().map(grant).collect();
        cell.scheduler.permission_response(&request.step, &request.workers, grants);
        let start = cell.place().remove(0);
        cell.scheduler.extend_lease(start.worker, cell.now);
        cell.scheduler.start_unanswered(start.worker, &start.task, start.run, cell.now);
        cell.outcome(&start, StartOutcome::Unknown);
        cell.scheduler.mark_silent(start.worker);
        cell.wait(LEASE_OVER_MS);
        let starts = cell.place();
        assert_eq!(starts.len(), 1);
        assert!(workers.contains(&starts[0].worker) && starts[0].worker != start.worker);
    }
}
