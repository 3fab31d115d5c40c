//! Jobs on the scheduler.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use slotmap::new_key_type;

use crate::BootTime;
use crate::JobPhase;
use crate::JobRecord;
use crate::PermissionGrant;
use crate::StepName;
use crate::StepPlan;
use crate::TaskName;

use super::WorkerKey;
use super::room_claim::RoomClaim;

/// The workers that a question for permission names in the longest chain of work.
const CHAIN_WORKERS: usize = 30;

/// Up to this many times its objective a job's result is of some use.
const LATE_FACTOR: u32 = 3;

new_key_type! {
    /// Names a job of the scheduler.
    pub(super) struct JobKey;
}

/// A task of a job: the unit's number and the position in its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskRef {
    /// The job.
    pub(super) job: JobKey,
    /// The unit: a step of one occurrence.
    pub(super) unit: u32,
    /// The position of the task in the step.
    pub(super) index: u32,
}

/// How late a job is; the order is that of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JobLateness {
    /// It can be done within its objective.
    InTime,
    /// It can be done while its result is of some use.
    Late,
    /// Its result is of little use by then.
    Overdue,
}

/// How far the order for a placed task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacePhase {
    /// The order to start it is on its way.
    Starting,
    /// The worker has said that it runs.
    Running,
    /// No answer to the order came.
    Unknown,
    /// It is to stop; the time is that of the worker's answer to the order.
    Stopping(Option<BootTime>),
}

/// Where a task runs or may run.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskPlace {
    /// The worker.
    pub(super) worker: WorkerKey,
    /// The number of the run.
    pub(super) run: u64,
    /// How far the order has come.
    pub(super) phase: PlacePhase,
    /// When the phase began.
    pub(super) since: BootTime,
    /// The last known progress in percent.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) progressed: BootTime,
}

/// A task.
#[derive(Debug, Default)]
pub(super) struct TaskSlot {
    /// Whether its work is done; a gang's other members may run on for a moment.
    pub(super) done: bool,
    /// Where it may run.
    pub(super) place: Option<TaskPlace>,
    /// The runs that ended in failure; a gang's stand at its first task.
    pub(super) failed_runs: Vec<u64>,
    /// The highest number of a run.
    pub(super) last_run: u64,
    /// The newest checkpoint.
    pub(super) checkpoint: Option<Name>,
    /// Whether it was stopped for a more urgent job.
    pub(super) preempted: bool,
}

impl TaskSlot {
    /// Returns whether the task waits for a worker.
    pub(super) fn waits(&self) -> bool {
        !self.done && self.place.is_none()
    }
}

/// A step of one occurrence.
#[derive(Debug)]
pub(super) struct UnitSlot {
    /// The occurrence.
    pub(super) occurrence: u32,
    /// The step.
    pub(super) step: u32,
    /// The tasks.
    pub(super) tasks: Vec<TaskSlot>,
    /// The tasks that are not done.
    pub(super) remaining: u32,
    /// The tasks that are not done and have no place.
    pub(super) waiting: u32,
    /// What the permission service has said of workers: a proof, or none if they may not run it.
    pub(super) permissions: HashMap<Name, Option<PermissionGrant>>,
    /// The open questions to the permission service.
    pub(super) open_requests: usize,
    /// Before this time the permission service is not asked again.
    pub(super) retry_after: BootTime,
    /// The room that is kept for a gang.
    pub(super) claim: Option<RoomClaim>,
    /// Before this time no workers are searched for a gang that doesn't fit.
    pub(super) clear_after: BootTime,
}

/// A job.
#[derive(Debug)]
pub(super) struct JobSlot {
    /// The identifier that the caller chose.
    pub(super) id: Name,
    /// What the store keeps of it, but for the progress, which is in the units.
    pub(super) record: JobRecord,
    /// The state that the store holds.
    pub(super) shown: JobPhase,
    /// The number of changes since it was put on the scheduler.
    pub(super) version: u64,
    /// The last change that the store holds.
    pub(super) stored: u64,
    /// Whether a change is on its way to the store.
    pub(super) writing: bool,
    /// The order of acceptance.
    pub(super) serial: u64,
    /// When it was put on the scheduler after its acceptance; none for a former owner's job.
    pub(super) accepted_at: Option<BootTime>,
    /// Whether a worker has said that it runs or ran a task.
    pub(super) started: bool,
    /// Until when tasks without a place may still run on a worker that has not reported.
    pub(super) uncertain_until: BootTime,
    /// Until when it should be done, since 1970.
    pub(super) objective: Duration,
    /// The longest chain of estimated work.
    pub(super) chain: Duration,
    /// The steps of all occurrences.
    pub(super) units: Vec<UnitSlot>,
}

impl JobSlot {
    /// Creates the state of a job.
    pub(super) fn new(id: Name, record: JobRecord, serial: u64) -> Self {
        let units = create_units(&record);
        let started = !record.progress.is_empty();
        let shown = record.phase;
        let chain = longest_chain(&record);
        let allowed = chain.mul_f64(record.rules.stretch.max(0.0));
        let objective = record.accepted + allowed + record.rules.objective;
        JobSlot {
            id,
            record,
            shown,
            version: 0,
            stored: 0,
            writing: false,
            serial,
            accepted_at: None,
            started,
            uncertain_until: BootTime::ZERO,
            objective,
            chain,
            units,
        }
    }

    /// Returns the step of a unit.
    pub(super) fn plan(&self, unit: u32) -> &StepPlan {
        &self.record.request.steps[self.units[unit as usize].step as usize]
    }

    /// Returns the name of a unit's step.
    pub(super) fn step_name(&self, unit: u32) -> StepName {
        let slot = &self.units[unit as usize];
        StepName { job: self.id.clone(), occurrence: slot.occurrence, step: slot.step }
    }

    /// Returns the name of a task.
    pub(super) fn task_name(&self, task: TaskRef) -> TaskName {
        TaskName { step: self.step_name(task.unit), index: task.index }
    }

    /// Returns whether the job still wants its tasks run.
    pub(super) fn live(&self) -> bool {
        self.record.phase == JobPhase::Live
    }

    /// Returns how late the job is if its waiting tasks were started now.
    pub(super) fn lateness(&self, wall: Duration) -> JobLateness {
        let needed = if self.started { Duration::ZERO } else { self.chain };
        let end = wall + needed;
        let allowed = self.objective.saturating_sub(self.record.accepted);
        if self.record.request.schedule.is_some() || end <= self.objective {
            JobLateness::InTime
        } else if end <= self.record.accepted + allowed * LATE_FACTOR {
            JobLateness::Late
        } else {
            JobLateness::Overdue
        }
    }

    /// Returns whether the steps before a unit are done.
    pub(super) fn ready(&self, unit: u32) -> bool {
        let slot = &self.units[unit as usize];
        let first = slot.occurrence as usize * self.record.request.steps.len();
        let before = &self.record.request.steps[slot.step as usize].after;
        before.iter().all(|&step| self.units[first + step as usize].remaining == 0)
    }

    /// Writes the progress of the units into the record.
    pub(super) fn collect_progress(&mut self) {
        for (number, unit) in self.units.iter().enumerate() {
            let tasks = || unit.tasks.iter().enumerate();
            let done: Vec<u32> = tasks()
                .filter(|(_, task)| task.done)
                .map(|(index, _)| index as u32)
                .collect();
            let failed: Vec<(u32, u64)> = tasks()
                .flat_map(|(index, task)| {
                    task.failed_runs.iter().map(move |&run| (index as u32, run))
                })
                .collect();
            if !done.is_empty() || !failed.is_empty() {
                let progress = crate::UnitProgress { done, failed };
                self.record.progress.insert(number as u32, progress);
            }
        }
    }
}

/// Returns the longest chain of a job's estimated work, with one question for permission a step.
pub(super) fn longest_chain(record: &JobRecord) -> Duration {
    let call_time = record
        .rules
        .permission
        .map_or(Duration::ZERO, |cost| cost.call_time(CHAIN_WORKERS));
    let mut ends: Vec<Duration> = Vec::with_capacity(record.request.steps.len());
    for step in &record.request.steps {
        let before = step.after.iter().filter_map(|&before| ends.get(before as usize));
        let begin = before.max().copied().unwrap_or_default();
        ends.push(begin + call_time + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Creates the units of a job from its record; an ended job has none.
fn create_units(record: &JobRecord) -> Vec<UnitSlot> {
    if record.phase != JobPhase::Live {
        return Vec::new();
    }
    let steps = &record.request.steps;
    let mut units = Vec::with_capacity(steps.len());
    for occurrence in 0..record.request.occurrences() {
        for (step, plan) in steps.iter().enumerate() {
            let number = units.len() as u32;
            units.push(create_unit(record, occurrence, step as u32, plan, number));
        }
    }
    units
}

/// Creates a unit with the progress that the record holds.
fn create_unit(
    record: &JobRecord,
    occurrence: u32,
    step: u32,
    plan: &StepPlan,
    number: u32,
) -> UnitSlot {
    let mut tasks: Vec<TaskSlot> = Vec::new();
    tasks.resize_with(plan.tasks as usize, TaskSlot::default);
    let mut remaining = plan.tasks;
    if let Some(progress) = record.progress.get(&number) {
        for &index in &progress.done {
            if let Some(task) = tasks.get_mut(index as usize)
                && !task.done
            {
                task.done = true;
                remaining -= 1;
            }
        }
        for &(index, run) in &progress.failed {
            if let Some(task) = tasks.get_mut(index as usize) {
                task.failed_runs.push(run);
                task.last_run = task.last_run.max(run);
            }
        }
    }
    UnitSlot {
        occurrence,
        step,
        tasks,
        remaining,
        waiting: remaining,
        permissions: HashMap::new(),
        open_requests: 0,
        retry_after: BootTime::ZERO,
        claim: None,
        clear_after: BootTime::ZERO,
    }
}
