//! Measures the cost of a scheduling decision, and how it grows with workers, teams and queue length.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::EndpointSpec;
use geraniumwinch_core::GrantHolder;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobScheduler;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::QueuePolicy;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::SlotAllocator;
use geraniumwinch_core::SlotRequest;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskReport;
use geraniumwinch_core::TeamKey;
use geraniumwinch_core::TeamLedger;
use geraniumwinch_core::TeamPolicy;
use geraniumwinch_core::WorkerSpec;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::sample_set::SampleSet;

/// The random seed of the workloads.
const SEED: u64 = 7;
/// The number of decisions per measurement.
const DECISIONS: usize = 20_000;
/// A gigabyte in bytes.
const GIGABYTE: u64 = 1 << 30;

/// The size of the simulated failure domain.
#[derive(Debug, Clone, Copy)]
struct DomainSize {
    workers: usize,
    teams: usize,
    queued: usize,
}

/// Measures placements and grants for every domain size and prints a CSV table.
pub fn run() {
    println!(
        "measure,workers,teams,queued,decisions_per_s,mean_us,p50_us,p99_us,p999_us"
    );
    let full = DomainSize { workers: 190, teams: 270, queued: 20_000 };
    let sizes = [
        full,
        DomainSize { workers: 95, ..full },
        DomainSize { workers: 380, ..full },
        DomainSize { teams: 90, ..full },
        DomainSize { queued: 5_000, ..full },
        DomainSize { queued: 80_000, ..full },
    ];
    for size in sizes {
        measure_placements(size);
    }
    for endpoints in [25, 50, 100] {
        measure_grants(endpoints, 270);
    }
    measure_grants(50, 90);
}

/// Prints the CSV row of a measurement.
fn print_row(measure: &str, size: DomainSize, samples: &mut SampleSet) {
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    let mean = micros(samples.mean());
    println!(
        "{measure},{},{},{},{:.0},{mean:.2},{:.2},{:.2},{:.2}",
        size.workers,
        size.teams,
        size.queued,
        1e6 / mean,
        micros(samples.quantile(0.5)),
        micros(samples.quantile(0.99)),
        micros(samples.quantile(0.999)),
    );
}

/// Creates a ledger with `teams` teams of equal weight, and returns it with the teams' keys.
fn create_ledger(teams: usize) -> (TeamLedger, Vec<TeamKey>) {
    let names: Vec<Name> =
        (0..teams).map(|index| format!("team-{index:03}").into()).collect();
    let policy = TeamPolicy { weight: 1.0, allowance: 100_000 };
    let policies: BTreeMap<Name, TeamPolicy> =
        names.iter().map(|name| (name.clone(), policy)).collect();
    let mut ledger = TeamLedger::default();
    ledger.set_policies(&policies);
    let keys = names.iter().map(|name| ledger.key_of(name)).collect();
    (ledger, keys)
}

/// Measures the placement of a queued task after each end of a running task in a full domain.
fn measure_placements(size: DomainSize) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let (mut ledger, teams) = create_ledger(size.teams);
    let mut scheduler = JobScheduler::new(1, Duration::from_secs(10));
    let workers: Vec<WorkerSpec> = (0..size.workers).map(worker_spec).collect();
    scheduler.set_workers(&workers);
    let start = Instant::now();
    for spec in &workers {
        scheduler.inventory(&spec.name, &[], start, &mut ledger, start);
    }
    let mut serial = 0;
    let mut submit = |scheduler: &mut JobScheduler, rng: &mut SmallRng, now| {
        serial += 1;
        let job = JobId { domain: "zone".into(), epoch: 1, serial };
        let team = teams[rng.random_range(0..teams.len())];
        scheduler.submit(job, random_task(rng), team, "queue".into(), now);
    };
    let initial_tasks = size.workers * 16;
    for _ in 0..size.queued + initial_tasks {
        submit(&mut scheduler, &mut rng, start);
    }
    scheduler.place(&mut ledger, start);
    let mut running = take_started_tasks(&mut scheduler);
    let mut samples = SampleSet::default();
    for step in 0..DECISIONS {
        let now = start + Duration::from_millis(step as u64);
        if running.is_empty() {
            break;
        }
        let (name, id) = running.swap_remove(rng.random_range(0..running.len()));
        scheduler.start_confirmed(&id, now);
        let report = TaskReport { task: id, state: ReportedState::Succeeded };
        let timer = Instant::now();
        scheduler.inventory(&name, &[report], start, &mut ledger, now);
        scheduler.place(&mut ledger, now);
        samples.add(timer.elapsed());
        running.extend(take_started_tasks(&mut scheduler));
        submit(&mut scheduler, &mut rng, now);
    }
    print_row("placement", size, &mut samples);
}

/// Takes the pending commands of the scheduler and returns the tasks that they start.
fn take_started_tasks(scheduler: &mut JobScheduler) -> Vec<(Name, TaskId)> {
    let commands = scheduler.take_commands().into_iter();
    let started = commands.filter_map(|command| match command {
        SchedulerCommand::Start { worker, task, .. } => Some((worker, task)),
        _ => None,
    });
    started.collect()
}

/// Creates the specification of a worker with 16 cores and 64 GB, with eight workers to a rack.
fn worker_spec(index: usize) -> WorkerSpec {
    WorkerSpec {
        name: format!("worker-{index:04}").into(),
        rack: format!("rack-{}", index / 8).into(),
        address: "127.0.0.1:1".into(),
        capacity: ResourceVector {
            cpu_millis: 16_000,
            memory_bytes: 64 * GIGABYTE,
            accelerators: 0,
        },
        leaving: false,
    }
}

/// Creates the specification of a batch job with one task of random size.
fn random_task(rng: &mut SmallRng) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        tasks: 1,
        size: ResourceVector {
            cpu_millis: rng.random_range(1..=8) * 500,
            memory_bytes: rng.random_range(1..=16) * GIGABYTE,
            accelerators: 0,
        },
        run_time_ms: 60_000,
        urgent: false,
        checkpointable: false,
    }
}

/// Measures the grant of a slot after each release of another one, with all slots in use.
fn measure_grants(endpoints: usize, teams: usize) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let (mut ledger, keys) = create_ledger(teams);
    let mut allocator: SlotAllocator<usize> = SlotAllocator::new(1, None);
    let spec = |index| EndpointSpec {
        name: format!("executor-{index}").into(),
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        leaving: false,
    };
    allocator.set_endpoints(&(0..endpoints).map(spec).collect::<Vec<_>>());
    let policy = QueuePolicy {
        service: "service".into(),
        max_waiting: 10_000,
        default_deadline: Duration::from_secs(10),
        max_deadline: Duration::from_secs(60),
    };
    allocator.set_queues(&BTreeMap::from([("queue".into(), policy)]));
    let start = Instant::now();
    let mut serial = 0;
    let mut create_request = |rng: &mut SmallRng, now: Instant| {
        serial += 1;
        SlotRequest {
            id: serial,
            queue: "queue".into(),
            team: Some(keys[rng.random_range(0..keys.len())]),
            holder: GrantHolder::Member,
            deadline: now + Duration::from_secs(60),
            excluded: Vec::new(),
            context: 0,
        }
    };
    let waiting = 1000;
    for _ in 0..endpoints * 8 + waiting {
        allocator.submit(create_request(&mut rng, start), &ledger, start);
    }
    let mut held = Vec::new();
    let mut samples = SampleSet::default();
    for outcome in allocator.allocate(&mut ledger, start) {
        held.extend(outcome.result.ok());
    }
    for step in 0..DECISIONS {
        let now = start + Duration::from_micros(step as u64 * 10);
        let request = create_request(&mut rng, now);
        let offer = held.swap_remove(rng.random_range(0..held.len()));
        let timer = Instant::now();
        allocator.release(offer.ticket, &mut ledger, now);
        allocator.submit(request, &ledger, now);
        let outcomes = allocator.allocate(&mut ledger, now);
        samples.add(timer.elapsed());
        held.extend(outcomes.into_iter().filter_map(|outcome| outcome.result.ok()));
    }
    let size = DomainSize { workers: endpoints, teams, queued: waiting };
    print_row("grant", size, &mut samples);
}
