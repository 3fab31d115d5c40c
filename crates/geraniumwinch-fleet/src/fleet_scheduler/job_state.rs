//! The scheduler's state of a job.
//!
//! A unit is one step of one occurrence of a job. The units of a job are numbered
//! `occurrence * steps + step`.

use std::ops::Range;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::scaled_time;

use crate::BootTime;
use crate::JobPhase;
use crate::JobRecord;
use crate::StepName;
use crate::StepPlan;
use crate::TaskCrash;
use crate::TaskName;
use crate::UnitProgress;
use crate::WaitTally;

use super::job_forecast::JobForecast;
use super::job_lateness::JobLateness;
use super::task_ref::TaskRef;
use super::unit_table::UnitTable;

/// The number of workers that a permission request is assumed to name when the critical path is
/// estimated.
const TYPICAL_REQUEST_WORKERS: usize = 30;

/// The most urgent priority of a queue.
pub(super) const URGENT_PRIORITY: u32 = 0;
/// The result of a job is still of some use until this many times its objective.
const LATE_FACTOR: u32 = 3;

/// The state of a job.
#[derive(Debug)]
pub(super) struct JobState {
    /// The identifier chosen by the client.
    pub(super) id: Name,
    /// The record. Its progress is updated from the units only when it is written.
    pub(super) record: JobRecord,
    /// The memory that is counted for the job in bytes.
    pub(super) memory_bytes: u64,
    /// The phase in the store.
    pub(super) stored_phase: JobPhase,
    /// The number of changes since the job was added to the scheduler.
    pub(super) version: u64,
    /// The version in the store.
    pub(super) stored_version: u64,
    /// Whether a write to the store is in flight.
    pub(super) writing: bool,
    /// The position in the order of acceptance.
    pub(super) serial: u64,
    /// When the job was accepted; `None` if it was read from the store by a new owner.
    pub(super) accepted_at: Option<BootTime>,
    /// When the end of the job was found to be in the store.
    pub(super) ended_by: Option<BootTime>,
    /// The version whose record is the first to hold all crashes under tasks, and until when these tasks
    /// wait for it.
    pub(super) crash_write: (u64, BootTime),
    /// Whether a worker has reported or confirmed a run of any task.
    pub(super) started: bool,
    /// Until when unplaced tasks may still be running on workers that have not reported.
    pub(super) uncertain_until: BootTime,
    /// When the job should be done, as time since the Unix epoch.
    pub(super) objective: Duration,
    /// How long the tasks are expected to take, by what is learned.
    pub(super) forecast: JobForecast,
    /// What the job has waited for.
    pub(super) waits: WaitTally,
    /// The units, by number.
    pub(super) units: UnitTable,
}

impl JobState {
    /// Creates the state of a job from its record.
    pub(super) fn new(
        id: Name,
        record: JobRecord,
        serial: u64,
        forecast: JobForecast,
    ) -> Self {
        let units = UnitTable::new(&record);
        let started = !record.progress.is_empty();
        let memory_bytes = record.memory_bytes();
        let stored_phase = record.phase;
        let objective = objective(&record);
        JobState {
            id,
            record,
            memory_bytes,
            stored_phase,
            version: 0,
            stored_version: 0,
            writing: false,
            serial,
            accepted_at: None,
            ended_by: None,
            crash_write: (0, BootTime::ZERO),
            started,
            uncertain_until: BootTime::ZERO,
            objective,
            forecast,
            waits: WaitTally::default(),
            units,
        }
    }

    /// Forgets what only a job that has not ended needs. The record in the store has it neither.
    pub(super) fn forget_progress(&mut self) {
        self.record.request.spec = "".into();
        self.record.progress.clear();
    }

    /// Returns the plan of a unit's step.
    pub(super) fn plan(&self, unit: u32) -> &StepPlan {
        &self.record.request.steps[self.step(unit) as usize]
    }

    /// Returns the position of a unit's step.
    fn step(&self, unit: u32) -> u32 {
        unit % self.record.request.steps.len() as u32
    }

    /// Returns the number of a unit's occurrence.
    pub(super) fn occurrence(&self, unit: u32) -> u32 {
        unit / self.record.request.steps.len() as u32
    }

    /// Returns the units whose occurrences are due at a time since the Unix epoch.
    pub(super) fn due_units(&self, unix_time: Duration) -> Range<u32> {
        let request = &self.record.request;
        let due = request.due_occurrences(unix_time) as usize;
        let units = due.saturating_mul(request.steps.len()).min(self.units.len());
        0..units as u32
    }

    pub(super) fn step_name(&self, unit: u32) -> StepName {
        let (occurrence, step) = (self.occurrence(unit), self.step(unit));
        StepName { job: self.id.clone(), occurrence, step }
    }

    pub(super) fn task_name(&self, task: TaskRef) -> TaskName {
        TaskName { step: self.step_name(task.unit), index: task.index }
    }

    /// Returns whether the job has not ended.
    pub(super) fn live(&self) -> bool {
        self.record.phase == JobPhase::Live
    }

    /// Returns whether the job's queue has the most urgent priority.
    pub(super) fn is_urgent(&self) -> bool {
        self.record.rules.priority == URGENT_PRIORITY
    }

    /// Returns whether any task is neither done nor placed.
    pub(super) fn has_waiting_tasks(&self) -> bool {
        self.units.iter().any(|unit| unit.waiting > 0)
    }

    /// Returns whether the job has long-running tasks, so that it ends only by a cancellation.
    pub(super) fn is_lasting(&self) -> bool {
        self.record.request.steps.iter().any(|plan| plan.long_running)
    }

    /// Returns how late the job would be if its waiting tasks were started now. Scheduled jobs, and
    /// jobs with long-running tasks, always count as in time.
    pub(super) fn lateness(&self, unix_time: Duration) -> JobLateness {
        let needed = if self.started { Duration::ZERO } else { self.forecast.path };
        let end = unix_time.saturating_add(needed);
        let allowed = self.objective.saturating_sub(self.record.accepted);
        let late = allowed.saturating_mul(LATE_FACTOR);
        let timeless = self.record.request.schedule.is_some() || self.is_lasting();
        if timeless || end <= self.objective {
            JobLateness::InTime
        } else if end <= self.record.accepted.saturating_add(late) {
            JobLateness::Late
        } else {
            JobLateness::Overdue
        }
    }

    /// Returns whether all steps that a unit depends on are done.
    pub(super) fn ready(&self, unit: u32) -> bool {
        let first = self.occurrence(unit) as usize * self.record.request.steps.len();
        let before = &self.plan(unit).after;
        before.iter().all(|&step| self.units[first + step as usize].remaining == 0)
    }

    /// Returns the crashes of workers under all tasks.
    fn task_crashes(&self) -> Vec<TaskCrash> {
        let mut crashes = Vec::new();
        for (unit, state) in self.units.touched() {
            for (index, task) in state.tasks.touched() {
                let of_task = task.crashes.iter();
                crashes.extend(of_task.map(|&crash| TaskCrash { unit, index, crash }));
            }
        }
        crashes
    }

    /// Copies the progress of the units into the record.
    pub(super) fn update_progress(&mut self) {
        self.record.crashes = self.task_crashes();
        self.record.lost_contacts = self.lost_contacts();
        for (number, unit) in self.units.touched() {
            let done: Vec<u32> = unit.tasks.done();
            let failed: Vec<(u32, u64)> = unit
                .tasks
                .touched()
                .flat_map(|(index, task)| {
                    task.failed_runs.iter().map(move |&run| (index, run))
                })
                .collect();
            if !done.is_empty() || !failed.is_empty() {
                let progress = UnitProgress { done, failed };
                self.record.progress.insert(number, progress);
            }
        }
    }
}

/// Returns when a job should be done, as time since the Unix epoch.
pub(super) fn objective(record: &JobRecord) -> Duration {
    let promised = critical_path(record, |plan| plan.estimate);
    let allowed = scaled_time(promised, record.rules.stretch);
    let allowed = allowed.saturating_add(record.rules.objective);
    record.accepted.saturating_add(allowed)
}

/// Returns the duration of a job's critical path, including one permission request for each step, if
/// the tasks of a step take as long as `duration` returns.
pub(super) fn critical_path(
    record: &JobRecord,
    duration: impl Fn(&StepPlan) -> Duration,
) -> Duration {
    let call_time = record
        .rules
        .permission
        .map_or(Duration::ZERO, |cost| cost.call_time(TYPICAL_REQUEST_WORKERS));
    let mut ends: Vec<Duration> = Vec::with_capacity(record.request.steps.len());
    for step in &record.request.steps {
        let before = step.after.iter().filter_map(|&before| ends.get(before as usize));
        let begin = before.max().copied().unwrap_or_default();
        let took = call_time.saturating_add(duration(step));
        ends.push(begin.saturating_add(took));
    }
    ends.into_iter().max().unwrap_or_default()
}
