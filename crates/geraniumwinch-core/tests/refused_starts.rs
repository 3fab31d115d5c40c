//! Starts that workers refuse, or that can't be sent to them.

mod common;

use std::time::Duration;

use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskOutcome;
use test_case::test_case;

use self::common::CPU;
use self::common::ScheduledDomain;
use self::common::batch;

/// More workers than those on which a job has to fail before it is blamed.
const MANY_WORKERS: [&str; 5] =
    ["worker-a", "worker-b", "worker-c", "worker-d", "worker-e"];
/// The number of starts that are refused.
const REFUSALS: usize = 12;
/// Longer than a task waits before it is started again.
const RETRY_TIME: Duration = Duration::from_millis(600);

/// Creates a domain with many workers that run nothing, and starts a job.
fn start(kind: JobKind) -> (ScheduledDomain, Name, TaskId) {
    let mut domain = ScheduledDomain::new();
    domain.list_workers(&MANY_WORKERS);
    MANY_WORKERS.iter().for_each(|worker| {
        domain.report(worker, &[]);
    });
    domain.submit(JobSpec { kind, ..batch(CPU) });
    let (worker, task) = domain.starts().pop().expect("the task fits");
    (domain, worker, task)
}

/// Has the start of a task refused, and returns where it is started next.
fn refuse(domain: &mut ScheduledDomain, task: &TaskId) -> (Name, TaskId) {
    domain.scheduler.start_refused(task, &mut domain.ledger, domain.now);
    domain.wait(RETRY_TIME);
    MANY_WORKERS.iter().for_each(|worker| {
        domain.report(worker, &[]);
    });
    domain.starts().pop().expect("the task is started again")
}

// Guards against a job that is shown as failed although none of its tasks has ever begun (review/11, LOST).
#[test_case(JobKind::Batch; "batch")]
#[test_case(JobKind::Gang; "gang")]
#[test_case(JobKind::Service; "service")]
fn a_job_whose_starts_are_refused_goes_on(kind: JobKind) {
    let (mut domain, mut worker, mut task) = start(kind);
    for _ in 0..REFUSALS {
        (worker, task) = refuse(&mut domain, &task);
    }
    domain.scheduler.start_confirmed(&task, domain.now);
    domain.wait(RETRY_TIME);
    assert!(domain.report(&worker, &[(&task, ReportedState::Running)]));
}

// Guards against a start that is sent to the worker that has just refused it, while others have room.
#[test]
fn a_worker_that_has_refused_a_start_is_avoided() {
    let (mut domain, mut worker, mut task) = start(JobKind::Batch);
    for _ in 1..MANY_WORKERS.len() {
        let (next, retried) = refuse(&mut domain, &task);
        assert_ne!(next, worker, "the start was sent to the same worker again");
        (worker, task) = (next, retried);
    }
}

// Guards against a job that fails on many workers and is not blamed, since starts were refused in between.
#[test]
fn a_job_that_fails_between_refusals_is_given_up() {
    let (mut domain, mut worker, mut task) = start(JobKind::Batch);
    for _ in 0..MANY_WORKERS.len() {
        (worker, task) = refuse(&mut domain, &task);
        domain.scheduler.start_confirmed(&task, domain.now);
        domain.report(&worker, &[(&task, ReportedState::Failed)]);
        let failed = domain.commands().iter().any(|command| {
            matches!(
                command,
                SchedulerCommand::RecordEnd { end: TaskOutcome::Failed, .. }
            )
        });
        if failed {
            return;
        }
        domain.wait(RETRY_TIME);
        (worker, task) = domain.starts().pop().expect("the task is started again");
    }
    panic!("the job on {worker} is started again and again");
}
