//! A scheduler of one failure domain with workers that a test speaks for.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::JobId;
use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobScheduler;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskReport;
use geraniumwinch_core::TeamKey;
use geraniumwinch_core::TeamLedger;
use geraniumwinch_core::TeamPolicy;
use geraniumwinch_core::WorkerSpec;

/// How long a task runs without a lease renewal.
pub const LEASE: Duration = Duration::from_secs(3);
/// How long after it was sent a start may be carried out, with the difference of clocks.
pub const START_LIFETIME: Duration = Duration::from_millis(2500);
/// The CPU capacity of each worker in thousandths of a core.
pub const CPU: u64 = 4000;
/// The workers, in the order of their names.
pub const WORKERS: [&str; 2] = ["worker-a", "worker-b"];
/// The epoch of the scheduler under test.
pub const EPOCH: u64 = 2;

/// A scheduler of the second owner of a domain, and the time that it is told.
pub struct ScheduledDomain {
    pub scheduler: JobScheduler,
    pub ledger: TeamLedger,
    pub team: TeamKey,
    pub jobs: u64,
    pub now: Instant,
}

impl ScheduledDomain {
    /// Creates a scheduler that knows two workers, which have not reported yet.
    pub fn new() -> Self {
        let mut ledger = TeamLedger::default();
        let policy = TeamPolicy { weight: 1.0, allowance: 100 };
        ledger.set_policies(&[("team".into(), policy)].into());
        let team = ledger.key_of(&"team".into());
        let scheduler = JobScheduler::new(EPOCH, LEASE);
        let mut domain =
            ScheduledDomain { scheduler, ledger, team, jobs: 0, now: Instant::now() };
        domain.list_workers(&WORKERS);
        domain
    }

    /// Replaces the list of workers.
    pub fn list_workers(&mut self, names: &[&str]) {
        self.set_workers(names, false);
    }

    /// Lists workers that are about to be removed.
    pub fn list_leaving(&mut self, names: &[&str]) {
        self.set_workers(names, true);
    }

    fn set_workers(&mut self, names: &[&str], leaving: bool) {
        let spec = |name: &&str| WorkerSpec {
            name: Name::from(*name),
            rack: "rack".into(),
            address: format!("{name}:1").into(),
            capacity: size(CPU),
            leaving,
        };
        let specs: Vec<WorkerSpec> = names.iter().map(spec).collect();
        self.scheduler.set_workers(&specs);
    }

    /// Restores a job with one task that a former owner accepted.
    pub fn restore(&mut self) -> JobId {
        self.restore_job(batch(CPU))
    }

    /// Restores a job with one task of a former owner.
    pub fn restore_job(&mut self, spec: JobSpec) -> JobId {
        let job = self.next_job();
        self.scheduler.restore(job.clone(), spec, self.team, "queue".into(), self.now);
        job
    }

    /// Submits a job with one task.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let job = self.next_job();
        self.scheduler.submit(job.clone(), spec, self.team, "queue".into(), self.now);
        job
    }

    /// Submits a job with one task to workers that run nothing, and returns where it is started.
    pub fn start(&mut self, spec: JobSpec) -> (Name, TaskId) {
        for worker in WORKERS {
            self.report(worker, &[]);
        }
        self.submit(spec);
        self.starts().pop().expect("the task fits")
    }

    /// Confirms a stop that was sent at the given time.
    pub fn confirm_stop(&mut self, task: &TaskId, sent: Instant) {
        self.scheduler.stop_confirmed(task, sent, &mut self.ledger, self.now);
    }

    /// Returns the identifier of a further job.
    pub fn next_job(&mut self) -> JobId {
        self.jobs += 1;
        JobId { domain: "zone".into(), epoch: EPOCH - 1, serial: self.jobs }
    }

    /// Answers a heartbeat with an inventory, and returns whether it was as expected.
    pub fn report(&mut self, worker: &str, tasks: &[(&TaskId, ReportedState)]) -> bool {
        let report = |&(task, state): &(&TaskId, ReportedState)| TaskReport {
            task: task.clone(),
            state,
        };
        let reports: Vec<TaskReport> = tasks.iter().map(report).collect();
        let worker = Name::from(worker);
        self.scheduler.heartbeat_sent(&worker, self.now);
        self.scheduler.inventory(&worker, &reports, self.now, &mut self.ledger, self.now)
    }

    /// Lets time pass without any report.
    pub fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// Runs the scheduler and returns its commands.
    pub fn commands(&mut self) -> Vec<SchedulerCommand> {
        self.scheduler.tick(&mut self.ledger, self.now);
        self.scheduler.place(&mut self.ledger, self.now);
        self.scheduler.take_commands()
    }

    /// Runs the scheduler and returns the starts with their workers.
    pub fn starts(&mut self) -> Vec<(Name, TaskId)> {
        let starts = self.commands().into_iter().filter_map(|command| match command {
            SchedulerCommand::Start { worker, task, .. } => Some((worker, task)),
            _ => None,
        });
        starts.collect()
    }
}

/// Returns a task size with the given CPU requirement.
pub fn size(cpu_millis: u64) -> ResourceVector {
    ResourceVector { cpu_millis, memory_bytes: 1000, accelerators: 0 }
}

/// Returns a job with one task.
pub fn batch(cpu_millis: u64) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        tasks: 1,
        size: size(cpu_millis),
        run_time_ms: 0,
        urgent: false,
        checkpointable: false,
    }
}
