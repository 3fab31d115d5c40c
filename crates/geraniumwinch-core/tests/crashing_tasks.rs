//! Tasks that crash the workers that start them.

mod common;

use std::time::Duration;

use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskOutcome;
use test_case::test_case;

use self::common::CPU;
use self::common::ScheduledDomain;
use self::common::WORKERS;
use self::common::batch;

/// The number of starts that crash their workers before the task has to be given up.
const MAX_STARTS: usize = 5;
/// How long a worker that crashed does not respond.
const DOWNTIME: Duration = Duration::from_millis(800);

/// Confirms a start, has the worker report the task, and then that nothing runs there any more.
fn crash(domain: &mut ScheduledDomain, worker: &str, task: &TaskId, age: Duration) {
    domain.scheduler.start_confirmed(task, domain.now);
    domain.wait(age);
    domain.report(worker, &[(task, ReportedState::Running)]);
    domain.scheduler.heartbeat_failed(&worker.into());
    domain.wait(DOWNTIME);
    domain.report(worker, &[]);
}

/// Returns whether the scheduler has recorded the failure of a task.
fn has_failed(commands: &[SchedulerCommand]) -> bool {
    commands.iter().any(|command| {
        matches!(command, SchedulerCommand::RecordEnd { end: TaskOutcome::Failed, .. })
    })
}

// Guards against a task that crashes worker after worker without an end (issue 28).
#[test_case(JobKind::Batch, 10; "batch, at once")]
#[test_case(JobKind::Batch, 900; "batch, after a while")]
#[test_case(JobKind::Service, 10; "service, at once")]
#[test_case(JobKind::Gang, 10; "gang, at once")]
fn a_task_that_crashes_its_workers_is_given_up(kind: JobKind, age_ms: u64) {
    let mut domain = ScheduledDomain::new();
    let (mut worker, mut task) = domain.start(JobSpec { kind, ..batch(CPU) });
    for starts in 1..20 {
        crash(&mut domain, &worker, &task, Duration::from_millis(age_ms));
        let commands = domain.commands();
        if has_failed(&commands) {
            assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
            return;
        }
        (worker, task) = start_of(commands);
    }
    panic!("the task is started again and again");
}

/// Returns the only start among commands.
fn start_of(commands: Vec<SchedulerCommand>) -> (geraniumwinch_core::Name, TaskId) {
    let mut starts = commands.into_iter().filter_map(|command| match command {
        SchedulerCommand::Start { worker, task, .. } => Some((worker, task)),
        _ => None,
    });
    starts.next().expect("the task starts again")
}

// Guards against giving up a task for restarts of its worker that are long apart.
#[test]
fn a_long_run_clears_a_task_of_a_crash() {
    let mut domain = ScheduledDomain::new();
    let (mut worker, mut task) = domain.start(batch(CPU));
    for _ in 0..8 {
        for age in [10, 61_000] {
            crash(&mut domain, &worker, &task, Duration::from_millis(age));
            (worker, task) = start_of(domain.commands());
        }
    }
}

// Guards against taking the planned restart of a VM for a crash.
#[test]
fn a_worker_that_leaves_has_not_crashed() {
    let mut domain = ScheduledDomain::new();
    let (mut worker, mut task) = domain.start(batch(CPU));
    for _ in 0..6 {
        domain.scheduler.start_confirmed(&task, domain.now);
        domain.list_leaving(&WORKERS);
        domain.wait(Duration::from_millis(10));
        domain.report(&worker, &[]);
        domain.list_workers(&WORKERS);
        (worker, task) = start_of(domain.commands());
    }
}
