//! What preemption costs: the tasks that lose the least are stopped, no more than are needed, and
//! within a budget.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::PreemptionBudget;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StepPlan;

use self::common::LONG_REQUESTS;
use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::task;

/// Creates a step of tasks that write checkpoints.
fn saving(tasks: u32, cpu_millis: u64) -> StepPlan {
    let estimate = Duration::from_secs(20);
    StepPlan { saves_progress: true, estimate, ..step(tasks, cpu_millis) }
}

/// Returns the jobs of the tasks that are being stopped.
fn stopped(cell: &mut TestCell) -> Vec<String> {
    let stops = cell.scheduler.take_stops().into_iter();
    stops.map(|stop| stop.task.step.job.to_string()).collect()
}

cases! {
    /// Load: urgent bursts on a cell full of bulk work. A run that has just started loses less than
    /// one of a less urgent job that is about to be done.
    the_run_that_loses_least_is_preempted(cell) {
        cell.add_workers(&["w"]);
        cell.accept("old", record(rules(3), vec![saving(2, 4_000)]));
        cell.start_all();
        cell.wait(2000);
        cell.accept("new", record(rules(2), vec![saving(2, 4_000)]));
        cell.start_all();
        cell.accept("urgent", record(rules(0), vec![step(1, 4_000)]));
        cell.place();
        assert_eq!(stopped(&mut cell), ["new"]);
    }

    /// Load: urgent bursts on a cell full of bulk work, some of which ends by itself at once.
    a_run_that_ends_soon_is_not_preempted(cell) {
        let workers = cell.add_workers(&["w"]);
        cell.accept("bulk", record(rules(2), vec![saving(1, 16_000)]));
        cell.start_all();
        cell.wait(2000);
        let nearly_done = RunningRun { percent: 90, ..running(task("bulk", 0, 0), 1) };
        cell.report(workers[0], vec![nearly_done], vec![]);
        cell.accept("urgent", record(rules(0), vec![step(1, 4_000)]));
        cell.place();
        assert!(stopped(&mut cell).is_empty());
    }

    /// Load: urgent tasks of many cores beside tasks of few cores.
    no_more_tasks_are_preempted_than_needed(cell) {
        cell.add_workers(&["w"]);
        cell.accept("wide", record(rules(2), vec![saving(1, 12_000)]));
        cell.start_all();
        cell.wait(200);
        cell.accept("narrow", record(rules(2), vec![saving(4, 1_000)]));
        cell.start_all();
        cell.accept("urgent", record(rules(0), vec![step(1, 12_000)]));
        cell.place();
        assert_eq!(stopped(&mut cell), ["wide"]);
    }

    /// Load: several urgent jobs at once. Each preempts for itself, and does so once.
    urgent_jobs_do_not_count_on_the_same_capacity(cell) {
        cell.add_workers(&["w", "v"]);
        cell.accept("bulk", record(rules(2), vec![saving(8, 4_000)]));
        cell.start_all();
        cell.accept("a", record(rules(0), vec![step(1, 4_000)]));
        cell.accept("b", record(rules(0), vec![step(1, 4_000)]));
        cell.place();
        assert_eq!(stopped(&mut cell).len(), 2);
        cell.wait(50);
        cell.place();
        assert!(stopped(&mut cell).is_empty(), "the first victims are still stopping");
    }

    /// Load: bulk work that takes what is freed for urgent tasks while their permissions have
    /// expired.
    permissions_are_renewed_for_preempted_capacity(cell) {
        cell.add_workers(&["w"]);
        let (base, per_worker) = (Duration::ZERO, Duration::from_millis(1));
        let validity = Duration::from_secs(2);
        let permission = Some(PermissionCost { base, per_worker, validity });
        cell.accept("bulk", record(rules(2), vec![saving(4, 4_000)]));
        cell.start_all();
        cell.accept("urgent", record(QueueRules { permission, ..rules(0) }, vec![step(1, 4_000)]));
        let request = cell.scheduler.place(UNIX_TIME, cell.now, LONG_REQUESTS).requests.remove(0);
        let until = cell.now + Duration::from_millis(100);
        let grant = PermissionGrant { worker: "w".into(), ticket: "ticket".into(), until };
        cell.scheduler.permission_response(&request.step, &request.workers, vec![grant]);
        cell.wait(200);
        let round = cell.scheduler.place(UNIX_TIME, cell.now, LONG_REQUESTS);
        assert_eq!(round.requests.len(), 1, "the permission is renewed at once");
        assert_eq!(stopped(&mut cell), ["bulk"]);
    }

    /// Load: wide gangs on a cell full of long runs whose work would be lost.
    a_gang_does_not_preempt_beyond_the_budget(cell) {
        cell.add_workers(&["w"]);
        cell.accept("bulk", record(rules(2), vec![saving(4, 4_000)]));
        cell.start_all();
        cell.wait(2000);
        let gang = StepPlan { gang: true, ..step(2, 4_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        cell.place();
        assert!(stopped(&mut cell).is_empty(), "nothing was done yet");
    }

    /// The promise of an urgent job goes before the budget, but not while the job can wait.
    an_urgent_job_preempts_beyond_the_budget_only_when_pressed(cell) {
        cell.add_workers(&["w"]);
        cell.accept("bulk", record(rules(2), vec![saving(4, 4_000)]));
        cell.start_all();
        cell.wait(2000);
        let tight = QueueRules { stretch: 1.0, ..rules(0) };
        cell.accept("urgent", record(tight, vec![step(1, 4_000)]));
        cell.place();
        assert!(stopped(&mut cell).is_empty(), "it can wait for a second");
        let later = UNIX_TIME + Duration::from_millis(600);
        cell.scheduler.place(later, cell.now, LONG_REQUESTS);
        assert_eq!(stopped(&mut cell), ["bulk"]);
    }
}

#[test]
fn the_budget_is_a_tenth_of_the_recent_work() {
    let mut budget = PreemptionBudget::default();
    let at = Duration::from_secs;
    budget.add_done(1000.0, at(10));
    budget.add_preempted(40.0, at(20));
    assert_eq!(budget.left(at(20)).round(), 60.0);
    budget.add_preempted(90.0, at(21));
    assert_eq!(budget.left(at(21)), 0.0);
    budget.add_done(2000.0, at(45));
    assert_eq!(budget.left(at(45)).round(), 70.0, "the first work is out of the window");
}
