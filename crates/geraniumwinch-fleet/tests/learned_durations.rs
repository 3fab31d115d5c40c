//! Durations that are learned from the ends of runs.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::EndedRun;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::SchedulerEvent;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerKey;

use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::task;

/// The ends after which a ratio is surely known.
const ENOUGH: u64 = 32;

/// Creates the record of a job with one task of 4 processors.
fn small_job() -> JobRecord {
    record(rules(1), vec![step(1, 4_000)])
}

/// Returns the learned ratio of the only queue for gangs or other tasks, and its number of ends.
fn learned(cell: &TestCell, gang: bool) -> (Option<f64>, u64) {
    let mut classes = cell.scheduler.learned_durations();
    let found = classes.find(|(class, ..)| class.gang == gang);
    found.map_or((None, 0), |(_, ratio, ends)| (ratio.map(|ratio| ratio.typical), ends))
}

/// Lets started runs of a worker go on for some time and reports them as done.
fn finish(cell: &mut TestCell, starts: &[RunStart], first: u64, millis: u64) {
    let runs = |starts: &[RunStart]| {
        starts.iter().map(|start| running(start.task.clone(), start.run)).collect()
    };
    cell.report(starts[0].worker, runs(starts), Vec::new());
    cell.now += Duration::from_millis(millis);
    let ends: Vec<EndedRun> = (first..)
        .zip(starts)
        .map(|(number, start)| {
            ended(number, start.task.clone(), start.run, RunOutcome::Done)
        })
        .collect();
    cell.report(starts[0].worker, Vec::new(), ends);
}

/// Runs jobs of one task one after the other on the only worker, each for some time.
fn run_jobs(cell: &mut TestCell, jobs: u64, millis: u64) {
    for number in 1..=jobs {
        cell.accept(&format!("taught-{number}"), small_job());
        let starts = cell.start_all();
        assert_eq!(starts.len(), 1);
        finish(cell, &starts, number, millis);
        cell.store_all();
    }
}

/// Accepts a backlog of jobs and returns the admission load of one more.
fn load_behind_backlog(cell: &mut TestCell) -> f64 {
    for number in 0..10 {
        cell.accept(&format!("waiting-{number}"), small_job());
    }
    cell.scheduler.update_waiting_load(UNIX_TIME);
    cell.scheduler.admission_load(&small_job())
}

/// Creates a cell with one worker that has finished jobs, each after some time.
fn taught_cell(jobs: u64, millis: u64) -> TestCell {
    let mut cell = TestCell::new(1);
    cell.add_workers(&["w"]);
    run_jobs(&mut cell, jobs, millis);
    cell
}

cases! {
    /// Load: a queue whose tasks take half as long again as their clients say.
    admission_counts_the_expected_work(cell) {
        cell.add_workers(&["w"]);
        let estimated = load_behind_backlog(&mut cell);
        let mut taught = taught_cell(ENOUGH, 3_000);
        let expected = load_behind_backlog(&mut taught);
        assert!(expected > estimated * 1.4, "{expected} {estimated}");
    }

    /// Load: a queue whose tasks take half of what their clients say.
    admission_takes_more_of_shorter_tasks(cell) {
        cell.add_workers(&["w"]);
        let estimated = load_behind_backlog(&mut cell);
        let mut taught = taught_cell(ENOUGH, 1_000);
        let expected = load_behind_backlog(&mut taught);
        assert!(expected < estimated * 0.7, "{expected} {estimated}");
    }

    /// Load: few ends. Everything is as without them.
    few_ends_change_nothing(cell) {
        cell.add_workers(&["w"]);
        let estimated = load_behind_backlog(&mut cell);
        let mut taught = taught_cell(5, 4_000);
        assert!((load_behind_backlog(&mut taught) - estimated).abs() < 1e-9);
        assert_eq!(learned(&taught, false), (None, 5));
    }

    /// Load: tasks that take three times their estimate. A job that can't be in time any more gives
    /// way to one that can.
    lateness_follows_the_expected_duration(cell) {
        cell.add_workers(&["w"]);
        run_jobs(&mut cell, ENOUGH * 2, 6_000);
        // The promise is 9 s after acceptance: 6 s before it, 2 s would do, but 6 s hardly do.
        let mut waiting = small_job();
        waiting.accepted = UNIX_TIME - Duration::from_millis(5_000);
        let wide = |tasks| StepPlan { estimate: Duration::from_millis(100), ..step(tasks, 16_000) };
        cell.accept("late", waiting);
        let other = QueueRules { queue: "other".into(), ..rules(1) };
        cell.accept("in-time", record(other, vec![wide(1)]));
        cell.scheduler.update_waiting_load(UNIX_TIME);
        assert_eq!(cell.place()[0].task, task("in-time", 0, 0));
    }

    /// Load: a change of load, which an operator should see.
    a_change_is_reported_once(cell) {
        cell.add_workers(&["w"]);
        run_jobs(&mut cell, ENOUGH * 2, 3_000);
        let events = cell.scheduler.take_events();
        let learned = |event: &&SchedulerEvent| {
            matches!(event, SchedulerEvent::DurationsLearned { .. })
        };
        assert_eq!(events.iter().filter(learned).count(), 1);
    }

    /// Load: gangs. Their members end together, and each gang counts once.
    a_gang_counts_once(cell) {
        cell.add_workers(&["w"]);
        let gang = StepPlan { gang: true, ..step(4, 4_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        let starts = cell.start_all();
        finish(&mut cell, &starts, 1, 2_000);
        assert_eq!(learned(&cell, true), (None, 1));
        assert_eq!(learned(&cell, false), (None, 0));
    }

    /// Load: gangs whose members start apart. Those that wait for others teach nothing.
    a_gang_that_waited_does_not_count(cell) {
        let [first, second]: [WorkerKey; 2] =
            cell.add_workers(&["w", "v"]).try_into().expect("two workers");
        let gang = StepPlan { gang: true, ..step(2, 12_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        let starts = cell.place();
        let start_of = |worker| starts.iter().find(|start| start.worker == worker);
        let prompt = start_of(first).expect("one member there");
        let delayed = start_of(second).expect("one member there");
        cell.outcome(prompt, StartOutcome::Started);
        cell.now += Duration::from_millis(1_500);
        let now = cell.now;
        cell.scheduler.start_unanswered(second, &delayed.task, delayed.run, now);
        cell.outcome(delayed, StartOutcome::Started);
        finish(&mut cell, std::slice::from_ref(prompt), 1, 2_000);
        assert_eq!(learned(&cell, true), (None, 0));
    }

    /// Load: preempted tasks that go on from a checkpoint. The rest of a task is no measure of it.
    a_resumed_run_does_not_count(cell) {
        cell.add_workers(&["w"]);
        cell.accept("job", small_job());
        let first = cell.start_all();
        let name = first[0].task.clone();
        let mut stopped = ended(1, name, first[0].run, RunOutcome::Stopped);
        stopped.checkpoint = Some("half".into());
        cell.report(first[0].worker, Vec::new(), vec![stopped]);
        let second = cell.start_all();
        assert!(second[0].checkpoint.is_some());
        finish(&mut cell, &second, 2, 1_000);
        assert_eq!(learned(&cell, false), (None, 0));
    }

    /// Failure: a worker is silent for a while. When its run ended is not known.
    a_run_around_a_silence_does_not_count(cell) {
        let worker = cell.add_workers(&["w"])[0];
        cell.accept("job", small_job());
        let starts = cell.start_all();
        cell.scheduler.mark_silent(worker, cell.now);
        finish(&mut cell, &starts, 1, 2_000);
        assert_eq!(learned(&cell, false), (None, 0));
    }

    /// Failure: failed runs. They say nothing about how long a task takes.
    a_failed_run_does_not_count(cell) {
        let worker = cell.add_workers(&["w"])[0];
        cell.accept("job", small_job());
        let starts = cell.start_all();
        cell.now += Duration::from_secs(1);
        let end = ended(1, starts[0].task.clone(), starts[0].run, RunOutcome::Failed);
        cell.report(worker, Vec::new(), vec![end]);
        assert_eq!(learned(&cell, false), (None, 0));
    }

    /// Failure: a takeover. The new owner knows nothing, goes by the clients' estimates, does not
    /// learn from runs whose start it has not seen, and has learned again after as many ends.
    a_new_owner_learns_anew(cell) {
        cell.add_workers(&["w"]);
        let estimated = load_behind_backlog(&mut cell);
        let mut former = taught_cell(ENOUGH, 3_000);
        former.accept("adopted", small_job());
        let start = former.start_all().remove(0);

        let mut successor = TestCell::new(2);
        successor.now = former.now;
        successor.scheduler.load_job("adopted".into(), small_job(), successor.now);
        successor.add_workers(&["w"]);
        finish(&mut successor, std::slice::from_ref(&start), 1, 3_000);
        assert_eq!(learned(&successor, false), (None, 0));
        assert!((load_behind_backlog(&mut successor) - estimated).abs() < 1e-9);

        let mut relearned = TestCell::new(2);
        relearned.add_workers(&["w"]);
        run_jobs(&mut relearned, ENOUGH, 3_000);
        assert!(load_behind_backlog(&mut relearned) > estimated * 1.4);
    }
}
