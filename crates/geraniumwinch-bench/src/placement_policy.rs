//! The placement policies under comparison.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::JobId;
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

/// A gigabyte in bytes.
const GIGABYTE: u64 = 1 << 30;

/// A task that a policy has started.
#[derive(Debug, Clone, Copy)]
pub struct StartedTask {
    /// The index of the task in the workload.
    pub index: usize,
    /// The attempt number of the task.
    pub attempt: u64,
}

/// A policy that decides when and on which worker tasks start.
pub trait PlacementPolicy {
    /// Adds a task to the queue.
    fn submit(&mut self, index: usize, team: usize, spec: &JobSpec, now: Instant);

    /// Releases the resources of a task that has ended.
    fn finish(&mut self, index: usize, now: Instant);

    /// Places queued tasks; returns the tasks that start now, and those that are preempted.
    fn decide(&mut self, now: Instant) -> (Vec<StartedTask>, Vec<usize>);
}

/// Returns the capacity of one worker.
fn worker_capacity() -> ResourceVector {
    ResourceVector { cpu_millis: 16_000, memory_bytes: 64 * GIGABYTE, accelerators: 0 }
}

/// Returns the total capacity of `workers` workers.
pub fn fleet_capacity(workers: usize) -> ResourceVector {
    let one = worker_capacity();
    let count = workers as u64;
    ResourceVector {
        cpu_millis: one.cpu_millis * count,
        memory_bytes: one.memory_bytes * count,
        accelerators: 0,
    }
}

/// The job scheduler of `geraniumwinch-core`.
pub struct SchedulerPolicy {
    scheduler: JobScheduler,
    ledger: TeamLedger,
    teams: Vec<TeamKey>,
    placements: HashMap<usize, (Name, TaskId)>,
    start: Instant,
}

impl SchedulerPolicy {
    /// Creates a scheduler with idle workers, and with teams of equal weight.
    pub fn new(workers: usize, teams: usize) -> Self {
        let start = Instant::now();
        let names: Vec<Name> =
            (0..teams).map(|team| format!("team-{team}").into()).collect();
        let policy = TeamPolicy { weight: 1.0, allowance: 1_000_000 };
        let policies: BTreeMap<Name, TeamPolicy> =
            names.iter().map(|name| (name.clone(), policy)).collect();
        let mut ledger = TeamLedger::default();
        ledger.set_policies(&policies);
        let teams = names.iter().map(|name| ledger.key_of(name)).collect();
        let mut scheduler = JobScheduler::new(1, Duration::from_secs(3600));
        let worker = |index: usize| WorkerSpec {
            name: format!("worker-{index}").into(),
            rack: format!("rack-{}", index / 8).into(),
            address: "127.0.0.1:1".into(),
            capacity: worker_capacity(),
            leaving: false,
        };
        let specs: Vec<WorkerSpec> = (0..workers).map(worker).collect();
        scheduler.set_workers(&specs);
        for spec in &specs {
            scheduler.inventory(&spec.name, &[], start, &mut ledger, start);
        }
        SchedulerPolicy { scheduler, ledger, teams, placements: HashMap::new(), start }
    }
}

impl PlacementPolicy for SchedulerPolicy {
    fn submit(&mut self, index: usize, team: usize, spec: &JobSpec, now: Instant) {
        let job = JobId { domain: "zone".into(), epoch: 1, serial: index as u64 };
        self.scheduler.submit(job, spec.clone(), self.teams[team], "queue".into(), now);
    }

    fn finish(&mut self, index: usize, now: Instant) {
        let Some((worker, task)) = self.placements.remove(&index) else { return };
        let report = TaskReport { task, state: ReportedState::Succeeded };
        self.scheduler.inventory(&worker, &[report], self.start, &mut self.ledger, now);
    }

    fn decide(&mut self, now: Instant) -> (Vec<StartedTask>, Vec<usize>) {
        let (mut started, mut stopped) = (Vec::new(), Vec::new());
        self.scheduler.place(&mut self.ledger, now);
        loop {
            let commands = self.scheduler.take_commands();
            if commands.is_empty() {
                return (started, stopped);
            }
            for command in commands {
                match command {
                    SchedulerCommand::Start { worker, task, .. } => {
                        self.scheduler.start_confirmed(&task, now);
                        let index = task.job.serial as usize;
                        started.push(StartedTask { index, attempt: task.attempt });
                        self.placements.insert(index, (worker, task));
                    }
                    SchedulerCommand::Stop { task, .. } => {
                        let index = task.job.serial as usize;
                        self.placements.remove(&index);
                        stopped.push(index);
                        self.scheduler.stop_confirmed(&task, now, &mut self.ledger, now);
                    }
                    SchedulerCommand::RecordJobEnd { job } => self.scheduler.remove(&job),
                    SchedulerCommand::RecordEnd { .. }
                    | SchedulerCommand::Acknowledge { .. } => {}
                }
            }
        }
    }
}

/// The baseline: first come, first served, on the first worker with enough free capacity.
pub struct FirstFitPolicy {
    free: Vec<ResourceVector>,
    waiting: VecDeque<(usize, ResourceVector)>,
    placements: HashMap<usize, (usize, ResourceVector)>,
}

impl FirstFitPolicy {
    /// Creates the policy with idle workers.
    pub fn new(workers: usize) -> Self {
        FirstFitPolicy {
            free: vec![worker_capacity(); workers],
            waiting: VecDeque::new(),
            placements: HashMap::new(),
        }
    }
}

impl PlacementPolicy for FirstFitPolicy {
    fn submit(&mut self, index: usize, _: usize, spec: &JobSpec, _: Instant) {
        self.waiting.push_back((index, spec.size));
    }

    fn finish(&mut self, index: usize, _: Instant) {
        if let Some((worker, size)) = self.placements.remove(&index) {
            self.free[worker].add(&size);
        }
    }

    fn decide(&mut self, _: Instant) -> (Vec<StartedTask>, Vec<usize>) {
        let mut started = Vec::new();
        while let Some(&(index, size)) = self.waiting.front() {
            let Some(worker) = self.free.iter().position(|free| size.fits(free)) else {
                break;
            };
            self.free[worker].subtract(&size);
            self.placements.insert(index, (worker, size));
            self.waiting.pop_front();
            started.push(StartedTask { index, attempt: 0 });
        }
        (started, Vec::new())
    }
}
