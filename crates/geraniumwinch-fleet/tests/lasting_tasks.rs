//! Long-running tasks, which only a cancellation ends.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::UnitProgress;
use geraniumwinch_fleet::WorkerKey;
use test_case::test_case;

use self::common::LONG_REQUESTS;
use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::task;

/// The time after its last run within which a long-running task has to be at work again.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// The interval of passes in these tests, in milliseconds.
const PASS_MS: u64 = 100;

/// Creates a long-running step.
fn lasting(tasks: u32) -> StepPlan {
    StepPlan { long_running: true, ..step(tasks, 4_000) }
}

/// Creates the record of a job with one long-running task.
fn single() -> JobRecord {
    record(rules(1), vec![lasting(1)])
}

/// Has a run end.
fn end(cell: &mut TestCell, number: u64, start: &RunStart, outcome: RunOutcome) {
    let end = ended(number, start.task.clone(), start.run, outcome);
    cell.report(start.worker, Vec::new(), vec![end]);
}

/// Waits until a task starts, and returns the start and how long that took.
fn await_start(cell: &mut TestCell) -> (RunStart, Duration) {
    let began = cell.now;
    loop {
        if let Some(start) = cell.start_all().pop() {
            return (start, cell.now - began);
        }
        cell.wait(PASS_MS);
        assert!(cell.now - began < RESTART_TIME, "no start in time");
    }
}

/// Guards against long-running tasks that end and are never restarted (LOST, review/8).
#[test_case(RunOutcome::Done; "done")]
#[test_case(RunOutcome::Failed; "failed")]
#[test_case(RunOutcome::Stopped; "stopped")]
#[test_case(RunOutcome::LeaseExpired; "lapsed")]
#[test_case(RunOutcome::Broken; "broken")]
#[test_case(RunOutcome::Alone; "alone")]
fn a_long_running_task_is_restarted_however_it_ends(outcome: RunOutcome) {
    let mut cell = TestCell::new(1);
    cell.add_workers(&["w"]);
    cell.accept("job", single());
    let start = cell.start_all().remove(0);
    end(&mut cell, 1, &start, outcome);
    let (next, took) = await_start(&mut cell);
    assert!(next.run > start.run);
    assert!(took < Duration::from_millis(2 * PASS_MS), "restarted after {took:?}");
    assert_eq!(cell.scheduler.current_phase("job"), Some(JobPhase::Live));
}

cases! {
    a_gang_of_long_running_tasks_is_restarted_as_a_whole(cell) {
        let workers = cell.add_workers(&["w"]);
        let gang = StepPlan { gang: true, ..lasting(3) };
        cell.accept("job", record(rules(1), vec![gang]));
        assert_eq!(cell.start_all().len(), 3);
        let first = ended(1, task("job", 0, 0), 1, RunOutcome::Done);
        cell.report(workers[0], Vec::new(), vec![first]);
        assert_eq!(cell.place().len(), 0, "the others have not ended yet");
        assert_eq!(cell.scheduler.take_stops().len(), 2, "they can't go on alone");
        let others = (1..3).map(|index| {
            ended(u64::from(index) + 1, task("job", 0, index), 1, RunOutcome::Done)
        });
        cell.report(workers[0], Vec::new(), others.collect());
        let starts = cell.place();
        assert_eq!(starts.len(), 3);
        assert!(starts.iter().all(|start| start.run == starts[0].run && start.run > 1));
    }

    /// Guards against a completed job whose long-running tasks go on.
    a_job_completes_only_without_long_running_tasks(cell) {
        let workers = cell.add_workers(&["w"]);
        cell.accept("job", record(rules(1), vec![lasting(1), step(1, 4_000)]));
        assert_eq!(cell.start_all().len(), 2);
        let ends = (0..2).map(|step| {
            ended(u64::from(step) + 1, task("job", step, 0), 1, RunOutcome::Done)
        });
        cell.report(workers[0], Vec::new(), ends.collect());
        assert_eq!(cell.scheduler.current_phase("job"), Some(JobPhase::Live));
        let starts = cell.start_all();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].task, task("job", 0, 0));
    }

    /// The tasks of a long-running step are never all done.
    a_step_after_a_long_running_one_does_not_start(cell) {
        cell.add_workers(&["w"]);
        let after = StepPlan { after: vec![0], ..step(1, 4_000) };
        cell.accept("job", record(rules(1), vec![lasting(1), after]));
        let start = cell.start_all().remove(0);
        end(&mut cell, 1, &start, RunOutcome::Done);
        let starts = cell.start_all();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].task, task("job", 0, 0));
    }

    /// Guards against an owner that starts a task hundreds of times a second.
    a_task_that_ends_at_once_is_restarted_with_growing_delays(cell) {
        cell.add_workers(&["w"]);
        cell.accept("job", single());
        let mut start = cell.start_all().remove(0);
        let began = cell.now;
        let mut longest = Duration::ZERO;
        for number in 1..=20 {
            end(&mut cell, number, &start, RunOutcome::Done);
            let (next, took) = await_start(&mut cell);
            start = next;
            longest = longest.max(took);
        }
        assert!(longest < RESTART_TIME / 2, "restarted after {longest:?}");
        assert!(cell.now - began > RESTART_TIME * 4, "20 starts in {:?}", cell.now - began);
    }

    a_task_that_has_run_for_long_is_restarted_at_once(cell) {
        cell.add_workers(&["w"]);
        cell.accept("job", single());
        let mut start = cell.start_all().remove(0);
        for number in 1..=4 {
            end(&mut cell, number, &start, RunOutcome::Done);
            start = await_start(&mut cell).0;
        }
        cell.wait(6_000);
        end(&mut cell, 5, &start, RunOutcome::Done);
        let (_, took) = await_start(&mut cell);
        assert!(took < Duration::from_millis(2 * PASS_MS), "restarted after {took:?}");
    }

    /// Its next run follows anyway, so the end says nothing that a late copy of its start contradicts.
    the_end_of_a_run_is_acknowledged_whatever_became_of_its_start(cell) {
        cell.add_workers(&["w"]);
        cell.accept("job", single());
        let start = cell.place().remove(0);
        cell.scheduler.start_unanswered(start.worker, &start.task, start.run, cell.now);
        end(&mut cell, 1, &start, RunOutcome::Done);
        cell.store_all();
        assert_eq!(cell.scheduler.stored_ends(start.worker), 1);
    }

    a_cancelled_task_is_not_restarted(cell) {
        cell.add_workers(&["w"]);
        cell.accept("job", single());
        let start = cell.start_all().remove(0);
        cell.scheduler.cancel("job", cell.now);
        end(&mut cell, 1, &start, RunOutcome::Done);
        cell.wait(10_000);
        assert_eq!(cell.place().len(), 0);
        assert_eq!(cell.scheduler.current_phase("job"), Some(JobPhase::Cancelled));
    }

    /// Guards against restarts that wait behind all jobs that are in time: a job that lasts has no
    /// objective to miss.
    a_long_running_job_is_never_late(cell) {
        cell.add_workers(&["w"]);
        let whole = StepPlan { long_running: true, ..step(1, 16_000) };
        cell.accept("lasting", record(rules(1), vec![whole]));
        let mut later = record(rules(1), vec![step(1, 16_000)]);
        later.accepted = UNIX_TIME + Duration::from_secs(3_600);
        cell.accept("later", later);
        let unix_time = UNIX_TIME + Duration::from_secs(3_600);
        let starts = cell.scheduler.place(unix_time, cell.now, LONG_REQUESTS).starts;
        assert_eq!(starts.len(), 1);
        assert_eq!(&*starts[0].task.step.job, "lasting");
    }
}

/// Reads a job in a second epoch whose only task has ended in a run of the first one.
fn second_epoch(record: JobRecord) -> (TestCell, WorkerKey) {
    let mut cell = TestCell::new(2);
    let until = cell.now;
    cell.scheduler.load_job("job".into(), record, until);
    let workers = cell.list_workers(&["w"]);
    (cell, workers[0])
}

#[test]
fn a_new_owner_that_reads_the_end_restarts_the_task() {
    let (mut cell, worker) = second_epoch(single());
    let end = ended(1, task("job", 0, 0), 1, RunOutcome::Done);
    cell.report(worker, Vec::new(), vec![end]);
    assert_eq!(cell.place().len(), 1);
}

/// Guards against tasks that an earlier version has stored as done.
#[test]
fn a_long_running_task_that_is_stored_as_done_is_restarted() {
    let mut record = single();
    let progress = UnitProgress { done: vec![0], failed: Vec::new() };
    record.progress.insert(0, progress);
    let (mut cell, worker) = second_epoch(record);
    cell.report(worker, Vec::new(), Vec::new());
    assert_eq!(cell.place().len(), 1);
}

/// Guards against a gang that is stopped because a new owner reads the end of an earlier run.
#[test]
fn the_end_of_an_earlier_run_leaves_a_gang_its_present_one() {
    let gang = StepPlan { gang: true, ..lasting(2) };
    let (mut cell, worker) = second_epoch(record(rules(1), vec![gang]));
    let run = running(task("job", 0, 0), 2);
    cell.report_part(worker, vec![run], Vec::new());
    let run = running(task("job", 0, 0), 2);
    let end = ended(1, task("job", 0, 1), 1, RunOutcome::Done);
    cell.report(worker, vec![run], vec![end]);
    assert!(cell.scheduler.take_stops().is_empty(), "the second run goes on");
}
