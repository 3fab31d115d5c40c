//! Measures the cost of the owner's passes over a full cell, and how it grows with the backlog.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::EndedRun;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerRecord;
use geraniumwinch_fleet::WorkerReport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::sample_set::SampleSet;

/// The random seed of the workloads.
const SEED: u64 = 11;
/// The number of workers.
const WORKERS: usize = 350;
/// The number of passes per measurement.
const PASSES: usize = 60;
/// The number of runs that end between two passes.
const ENDS: usize = 10;
/// The time between two passes.
const PASS_INTERVAL: Duration = Duration::from_millis(20);
/// The number of long permission requests that can be sent in a pass.
const LONG_REQUESTS: usize = 9;
/// The wall-clock time, as time since the Unix epoch.
const UNIX_TIME: Duration = Duration::from_secs(1_800_000_000);
/// The incarnation of all workers.
const INCARNATION: u64 = 7;
/// The lease of a worker.
const LEASE: Duration = Duration::from_secs(6);

/// A cell with a full set of running tasks.
struct BenchCell {
    scheduler: FleetScheduler,
    rng: SmallRng,
    now: BootTime,
    running: Vec<RunStart>,
    ends: HashMap<WorkerKey, u64>,
    serial: usize,
}

/// Measures the passes for several backlogs and prints a CSV table.
pub fn run() {
    println!("measure,workers,waiting_jobs,mean_us,p50_us,p99_us,max_us");
    for waiting in [100, 1_000, 10_000] {
        measure(waiting);
    }
}

/// Measures passes with a number of waiting jobs.
fn measure(waiting: usize) {
    let mut cell = BenchCell::new();
    for _ in 0..waiting + 400 {
        cell.submit();
    }
    for _ in 0..20 {
        cell.pass(&mut SampleSet::default());
    }
    let [mut sweep, mut place, mut load, mut admit] =
        std::array::from_fn(|_| SampleSet::default());
    for _ in 0..PASSES {
        cell.end_some();
        cell.submit();
        let timer = Instant::now();
        cell.scheduler.sweep(cell.now);
        sweep.add(timer.elapsed());
        cell.pass(&mut place);
        let timer = Instant::now();
        cell.scheduler.update_waiting_load(cell.unix_time());
        load.add(timer.elapsed());
        let record = cell.record();
        let timer = Instant::now();
        std::hint::black_box(cell.scheduler.admission_load(&record));
        admit.add(timer.elapsed());
    }
    for (measure, samples) in
        [("sweep", sweep), ("place", place), ("load", load), ("admission", admit)]
    {
        print_row(measure, waiting, samples);
    }
}

/// Prints the CSV row of a measurement.
fn print_row(measure: &str, waiting: usize, mut samples: SampleSet) {
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    println!(
        "{measure},{WORKERS},{waiting},{:.1},{:.1},{:.1},{:.1}",
        micros(samples.mean()),
        micros(samples.quantile(0.5)),
        micros(samples.quantile(0.99)),
        micros(samples.quantile(1.0)),
    );
}

impl BenchCell {
    /// Creates a cell whose workers have reported that nothing runs.
    fn new() -> Self {
        let mut scheduler = FleetScheduler::new(1, LEASE);
        let now = Duration::from_secs(100);
        let infos: Vec<WorkerInfo> = (0..WORKERS).map(worker_info).collect();
        let keys = scheduler.set_workers(infos.clone(), now);
        let records: Vec<WorkerRecord> =
            infos.into_iter().map(WorkerRecord::unrestricted).collect();
        scheduler.worker_records_stored(&records);
        let mut cell = BenchCell {
            scheduler,
            rng: SmallRng::seed_from_u64(SEED),
            now,
            running: Vec::new(),
            ends: HashMap::new(),
            serial: 0,
        };
        keys.into_iter().for_each(|worker| cell.report(worker, Vec::new()));
        cell
    }

    /// Returns the wall-clock time, as time since the Unix epoch.
    fn unix_time(&self) -> Duration {
        UNIX_TIME + self.now
    }

    /// Passes a report with the given ends to the scheduler.
    fn report(&mut self, worker: WorkerKey, ended: Vec<EndedRun>) {
        let kept = self.running.iter().filter(|start| start.worker == worker);
        let running = kept
            .map(|start| RunningRun {
                task: start.task.clone(),
                run: start.run,
                checkpoint: None,
                percent: 10,
            })
            .collect();
        let report = WorkerReport {
            incarnation: INCARNATION,
            running,
            ended,
            ..WorkerReport::default()
        };
        self.scheduler.report(worker, &report, self.now, self.now);
    }

    /// Ends some running tasks.
    fn end_some(&mut self) {
        self.now += PASS_INTERVAL;
        for _ in 0..ENDS.min(self.running.len()) {
            let position = self.rng.random_range(0..self.running.len());
            let start = self.running.swap_remove(position);
            let number = self.ends.entry(start.worker).or_default();
            *number += 1;
            let ended = EndedRun {
                number: *number,
                task: start.task,
                run: start.run,
                outcome: RunOutcome::Done,
                checkpoint: None,
            };
            self.report(start.worker, vec![ended]);
        }
    }

    /// Runs a placement pass, has all starts succeed and answers all permission requests.
    fn pass(&mut self, samples: &mut SampleSet) {
        let unix_time = self.unix_time();
        let timer = Instant::now();
        let round = self.scheduler.place(unix_time, self.now, LONG_REQUESTS);
        samples.add(timer.elapsed());
        for start in round.starts {
            let (worker, task, run) = (start.worker, &start.task, start.run);
            self.scheduler.start_outcome(
                worker,
                task,
                run,
                StartOutcome::Started,
                self.now,
            );
            self.running.push(start);
        }
        round.requests.into_iter().for_each(|request| self.allow(request));
        self.scheduler.take_events();
        self.scheduler.take_stops();
    }

    /// Allows a step on a part of the named workers.
    fn allow(&mut self, request: PermissionRequest) {
        let until = self.now + Duration::from_secs(2);
        let share = [0.7, 0.3, 0.45][request.order.priority as usize % 3];
        let rng = &mut self.rng;
        let grants = request
            .workers
            .iter()
            .filter(|_| rng.random_bool(share))
            .map(|worker| PermissionGrant {
                worker: worker.clone(),
                ticket: "ticket".into(),
                until,
            })
            .collect();
        let now = self.now;
        self.scheduler.permission_response(&request.step, &request.workers, grants, now);
    }

    /// Creates the record of a random job: urgent, a gang or a wide batch job.
    fn record(&mut self) -> JobRecord {
        let priority = [0, 0, 0, 0, 0, 0, 1, 2, 2, 2][self.serial % 10];
        let (tasks, cpu_millis, estimate, call) =
            [(3, 2_500, 640, 9), (20, 4_500, 4_000, 455), (25, 1_700, 2_200, 104)]
                [priority];
        let gang = priority == 1;
        let plan = StepPlan {
            tasks,
            demand: ResourceVector {
                cpu_millis: self.rng.random_range(cpu_millis / 2..cpu_millis * 2),
                memory_bytes: 4 << 30,
                accelerators: 0,
            },
            estimate: Duration::from_millis(estimate),
            gang,
            saves_progress: true,
            ..StepPlan::default()
        };
        let rules = QueueRules {
            queue: format!("queue-{priority}").into(),
            service: "service".into(),
            priority: priority as u32,
            max_attempts: 4,
            stretch: 2.0,
            objective: Duration::from_secs(1),
            permission: Some(PermissionCost {
                base: Duration::from_millis(call),
                per_worker: Duration::from_micros(call * 14),
                validity: Duration::from_secs(2),
            }),
        };
        let request =
            JobRequest { spec: "spec".into(), steps: vec![plan], schedule: None };
        let account = format!("account-{}", self.serial % 20).into();
        JobRecord::new(rules, account, self.unix_time(), request)
    }

    /// Accepts a random job.
    fn submit(&mut self) {
        self.serial += 1;
        let record = self.record();
        let id = format!("job-{}", self.serial).into();
        self.scheduler.accept(id, record, self.now);
    }
}

/// Creates the entry of a worker with 16 cores and 64 GB in the platform's list.
fn worker_info(index: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("worker-{index:04}").into(),
        service: "service".into(),
        address: format!("127.0.0.1:{index}").into(),
        domain: format!("domain-{}", index % 3).into(),
        accepting: true,
        capacity: ResourceVector {
            cpu_millis: 16_000,
            memory_bytes: 64 << 30,
            accelerators: 0,
        },
        labels: vec![format!("rack-{}", index / 12).into()],
        rack: Some(format!("rack-{}", index / 12).into()),
        incarnation: INCARNATION,
    }
}
