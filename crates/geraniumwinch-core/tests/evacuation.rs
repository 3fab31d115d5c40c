//! The evacuation of a failure domain: what runs goes on, and nothing starts until it is taken back.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::EndpointSpec;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantHolder;
use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::QueuePolicy;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::SlotAllocator;
use geraniumwinch_core::SlotRequest;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TeamLedger;
use test_case::test_case;

use self::common::CPU;
use self::common::ScheduledDomain;
use self::common::WORKERS;
use self::common::batch;

/// Longer than any backoff, reservation or interval between two placement passes.
const LONG: Duration = Duration::from_secs(1);

/// Starts or ends the evacuation of a domain.
fn set_evacuated(domain: &mut ScheduledDomain, evacuated: bool) {
    domain.scheduler.set_evacuated(evacuated, &mut domain.ledger);
}

/// Lets the first worker run a task, and returns it.
fn run_task(domain: &mut ScheduledDomain) -> (String, TaskId) {
    let (worker, task) = domain.start(batch(CPU));
    domain.scheduler.start_confirmed(&task, domain.now);
    domain.report(&worker, &[(&task, ReportedState::Running)]);
    (worker.to_string(), task)
}

#[test_case(JobKind::Batch, 1, false; "a batch task")]
#[test_case(JobKind::Batch, 1, true; "an urgent task")]
#[test_case(JobKind::Gang, 2, false; "a gang")]
#[test_case(JobKind::Service, 2, false; "a service")]
fn what_is_submitted_waits_until_the_domain_is_taken_back(
    kind: JobKind,
    tasks: u32,
    urgent: bool,
) {
    let mut domain = ScheduledDomain::new();
    WORKERS.iter().for_each(|worker| assert!(domain.report(worker, &[])));
    set_evacuated(&mut domain, true);
    let job = domain.submit(JobSpec { kind, tasks, urgent, ..batch(CPU) });
    domain.wait(LONG);
    assert_eq!(domain.starts(), [], "nothing starts in an evacuated domain");
    let view = domain.scheduler.view(&job, &domain.ledger, domain.now).expect("a job");
    let reason = view.waits_for.expect("a reason");
    assert!(reason.contains("evacuation"), "{reason}");
    set_evacuated(&mut domain, false);
    assert_eq!(domain.starts().len(), tasks as usize, "the backlog starts at once");
}

#[test]
fn what_runs_goes_on_and_its_repeats_wait() {
    let mut domain = ScheduledDomain::new();
    let (worker, task) = run_task(&mut domain);
    set_evacuated(&mut domain, true);
    domain.wait(LONG);
    domain.report(&worker, &[(&task, ReportedState::Running)]);
    assert_eq!(domain.commands(), [], "a running task is left alone");
    domain.report(&worker, &[(&task, ReportedState::Failed)]);
    domain.wait(LONG);
    assert_eq!(domain.starts(), [], "a failed task is not started again");
    set_evacuated(&mut domain, false);
    assert_eq!(domain.starts().len(), 1);
}

// Guards against the start of a task that was placed before the evacuation and waits for another to
// leave its worker.
#[test]
fn a_task_that_waits_for_preempted_ones_is_queued_again() {
    let mut domain = ScheduledDomain::new();
    domain.list_workers(&WORKERS[..1]);
    let (worker, task) = run_task(&mut domain);
    let job = domain.submit(JobSpec { urgent: true, ..batch(CPU) });
    let commands = domain.commands();
    assert!(matches!(&commands[..], [SchedulerCommand::Stop { .. }]), "{commands:?}");
    set_evacuated(&mut domain, true);
    domain.confirm_stop(&task, domain.now);
    domain.report(&worker, &[]);
    domain.wait(LONG);
    assert_eq!(domain.starts(), [], "the reserved task does not start");
    let view = domain.scheduler.view(&job, &domain.ledger, domain.now).expect("a job");
    assert_eq!((view.waiting, view.running), (1, 0));
    set_evacuated(&mut domain, false);
    let starts = domain.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job, job, "the urgent task starts first");
}

#[test]
fn an_owner_that_takes_an_evacuated_domain_over_starts_nothing() {
    let mut domain = ScheduledDomain::new();
    set_evacuated(&mut domain, true);
    domain.restore();
    assert_eq!(domain.scheduler.unlocated_tasks(), 1, "the task may still run");
    for _ in 0..10 {
        domain.wait(LONG);
        WORKERS.iter().for_each(|worker| assert!(domain.report(worker, &[])));
        assert_eq!(domain.starts(), []);
    }
    assert_eq!(domain.scheduler.unlocated_tasks(), 0);
    set_evacuated(&mut domain, false);
    assert_eq!(domain.starts().len(), 1);
}

/// Creates an allocator with one endpoint of one slot.
fn allocator() -> SlotAllocator<u32> {
    let mut allocator = SlotAllocator::new(1, None);
    allocator.set_endpoints(&[EndpointSpec {
        name: "endpoint".into(),
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        leaving: false,
    }]);
    let policy = QueuePolicy {
        service: "service".into(),
        max_waiting: 10,
        default_deadline: Duration::from_secs(10),
        max_deadline: Duration::from_secs(10),
    };
    allocator.set_queues(&BTreeMap::from([("queue".into(), policy)]));
    allocator
}

/// Creates a request.
fn request(number: u32, now: Instant) -> SlotRequest<u32> {
    SlotRequest {
        id: u128::from(number),
        queue: "queue".into(),
        team: None,
        holder: GrantHolder::Member,
        deadline: now + Duration::from_secs(10),
        excluded: Vec::new(),
        context: number,
    }
}

#[test]
fn requests_that_wait_and_new_ones_are_refused_and_granted_slots_stay() {
    let now = Instant::now();
    let mut ledger = TeamLedger::default();
    let mut allocator = allocator();
    assert!(allocator.submit(request(1, now), &ledger, now).is_none());
    let granted = allocator.allocate(&mut ledger, now).pop().expect("a free slot");
    let ticket = granted.result.expect("a grant").ticket;
    assert!(allocator.submit(request(2, now), &ledger, now).is_none());

    let refused = allocator.set_evacuated(true);
    assert_eq!(refused.len(), 1, "the request that waits is refused");
    assert_eq!(refused[0].context, 2);
    let refused = allocator.submit(request(3, now), &ledger, now).expect("a refusal");
    let (kind, retry_after) = refused.result.expect_err("a refusal");
    assert_eq!(kind, ErrorKind::DomainEvacuated);
    assert!(retry_after.is_some(), "the refusal says when to come back");
    assert_eq!(allocator.active_grants(), 1, "the granted slot is in use");
    assert!(allocator.release(ticket, &mut ledger, now));
    assert!(allocator.allocate(&mut ledger, now).is_empty());
    let loads: Vec<_> = allocator.queue_load().map(|load| (load.1, load.2)).collect();
    assert_eq!(loads, [(0, 0)], "other domains see no slots");

    assert!(allocator.set_evacuated(false).is_empty());
    assert!(allocator.submit(request(4, now), &ledger, now).is_none());
    assert_eq!(allocator.allocate(&mut ledger, now).len(), 1);
}
