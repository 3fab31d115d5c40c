//! Tests of services, which run until they are cancelled.

mod common;

use std::time::Duration;

use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskOutcome;

use self::common::CPU;
use self::common::EPOCH;
use self::common::LEASE;
use self::common::ScheduledDomain;
use self::common::WORKERS;
use self::common::batch;

/// A time after which a task that has ended by itself is restarted.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Creates the description of a service with one task.
fn service() -> JobSpec {
    JobSpec { kind: JobKind::Service, ..batch(CPU) }
}

/// Returns whether any of the commands records the end of a task.
fn records_end(commands: &[SchedulerCommand]) -> bool {
    let end = |command: &SchedulerCommand| {
        matches!(command, SchedulerCommand::RecordEnd { .. })
    };
    commands.iter().any(end)
}

// Guards against a service that ends by itself and is never restarted.
#[test]
fn a_service_that_succeeds_is_restarted() {
    let mut domain = ScheduledDomain::new();
    let (worker, task) = domain.start(service());
    domain.report(&worker, &[(&task, ReportedState::Running)]);
    domain.report(&worker, &[(&task, ReportedState::Succeeded)]);
    assert!(!records_end(&domain.commands()));
    domain.wait(RESTART_TIME);
    let starts = domain.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].1.attempt > task.attempt);
}

#[test]
fn a_cancelled_service_is_not_restarted() {
    let mut domain = ScheduledDomain::new();
    let (worker, task) = domain.start(service());
    domain.report(&worker, &[(&task, ReportedState::Running)]);
    domain.scheduler.cancel(&task.job, &mut domain.ledger, domain.now);
    domain.report(&worker, &[(&task, ReportedState::Succeeded)]);
    domain.wait(RESTART_TIME);
    assert_eq!(domain.starts(), []);
}

// Guards against a new owner that takes the success of an earlier attempt for the end of a service.
#[test]
fn a_new_owner_restarts_a_service_that_has_succeeded() {
    let mut domain = ScheduledDomain::new();
    let job = domain.restore_job(service());
    let task = TaskId { job: job.clone(), index: 0, attempt: ((EPOCH - 1) << 32) | 1 };
    // Earlier versions have recorded such an end.
    domain.scheduler.restore_end(&job, 0, TaskOutcome::Succeeded);
    domain.report(WORKERS[0], &[(&task, ReportedState::Succeeded)]);
    domain.report(WORKERS[1], &[]);
    domain.wait(LEASE * 3);
    for worker in WORKERS {
        domain.report(worker, &[]);
    }
    assert_eq!(domain.starts().len(), 1);
}
