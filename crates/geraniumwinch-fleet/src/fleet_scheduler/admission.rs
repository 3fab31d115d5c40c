//! Admission control: estimates whether a new job can be done in time.
//!
//! Under overload, a job that would wait beyond its objective is refused while its client can still
//! submit it elsewhere. Only work that is served before the job counts, so urgent jobs are admitted
//! however many gangs wait.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::scaled_time;

use crate::JobRecord;
use crate::StepPlan;

use super::FleetScheduler;
use super::job_lateness::JobLateness;
use super::job_state::critical_path;
use super::waiting_calls::WaitingCalls;
use super::worker_state::WorkerState;

/// The maximum share of the workers' processors that tasks use, since gangs leave gaps.
const MAX_PACKED_SHARE: f64 = 0.85;
/// The minimum share of the workers' processors that the work of a priority and above is assumed
/// to get, by preempting other tasks.
const MIN_URGENT_SHARE: f64 = 0.1;
/// The minimum time that any job is assumed to be able to wait.
const MIN_SLACK: Duration = Duration::from_millis(50);

/// The load of the placed tasks of one priority.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PlacedLoad {
    /// The reserved processors in thousandths of a core.
    cpu_millis: u64,
    /// The processors times the tasks' estimated durations, in thousandths of core-seconds.
    work: f64,
}

impl PlacedLoad {
    /// Adds a placed task that is expected to take the given time.
    pub(super) fn add_task(&mut self, plan: &StepPlan, expected: Duration) {
        self.cpu_millis = self.cpu_millis.saturating_add(plan.reserved().cpu_millis);
        self.work += work(plan, expected);
    }

    /// Removes a task that is no longer placed and was added with the same expected time.
    pub(super) fn remove_task(&mut self, plan: &StepPlan, expected: Duration) {
        self.cpu_millis = self.cpu_millis.saturating_sub(plan.reserved().cpu_millis);
        self.work = (self.work - work(plan, expected)).max(0.0);
    }

    /// Returns the work that the tasks are expected to do within a time in seconds, in thousandths
    /// of core-seconds.
    ///
    /// Each task is assumed to end after an exponentially distributed time whose mean is the
    /// average estimated duration.
    fn work_within(&self, time: f64) -> f64 {
        let cpu = self.cpu_millis as f64;
        if cpu == 0.0 || self.work == 0.0 {
            return cpu * time;
        }
        let mean = self.work / cpu;
        self.work * (1.0 - (-time / mean).exp())
    }
}

/// Returns the work of a task that takes the given time, in thousandths of core-seconds.
fn work(plan: &StepPlan, time: Duration) -> f64 {
    plan.reserved().cpu_millis as f64 * time.as_secs_f64()
}

/// The load of waiting tasks.
#[derive(Debug, Default)]
pub(super) struct WaitingLoad {
    /// The processors that waiting tasks request, in thousandths of a core.
    demand: u64,
    /// The waiting work of jobs that can still meet their objective, by priority, in thousandths of
    /// core-seconds.
    work: BTreeMap<u32, f64>,
}

impl FleetScheduler {
    /// Recomputes the load of waiting tasks; `unix_time` is the time since the Unix epoch.
    pub fn update_waiting_load(&mut self, unix_time: Duration) {
        self.refresh_forecasts();
        let mut load = WaitingLoad::default();
        let mut calls = WaitingCalls::default();
        for &(priority, _, key) in &self.open_jobs {
            let job = &self.jobs[key];
            let in_time = job.lateness(unix_time) == JobLateness::InTime;
            for unit in job.due_units(unix_time) {
                let waiting = job.units[unit as usize].waiting;
                if waiting == 0 {
                    continue;
                }
                let plan = job.plan(unit);
                if job.ready(unit) {
                    let demand =
                        plan.reserved().cpu_millis.saturating_mul(waiting.into());
                    load.demand = load.demand.saturating_add(demand);
                    calls.add(priority, in_time, self.waiting_call_time(key, unit));
                }
                if in_time {
                    *load.work.entry(priority).or_default() +=
                        f64::from(waiting) * work(plan, job.forecast.expected(plan));
                }
            }
        }
        self.waiting_load = load;
        self.waiting_calls = calls;
    }

    /// Adds a job that was accepted since the load was recomputed, unless it is not due yet.
    pub(super) fn count_accepted(&mut self, record: &JobRecord) {
        if !record.request.is_due(0, record.accepted) {
            return;
        }
        let forecast = self.forecast(record);
        let work_of =
            |plan: &StepPlan| f64::from(plan.tasks) * work(plan, forecast.expected(plan));
        let work: f64 = record.request.steps.iter().map(work_of).sum();
        *self.waiting_load.work.entry(record.rules.priority).or_default() += work;
        self.count_accepted_calls(record);
    }

    /// Returns the processors that waiting tasks request, relative to those of all workers.
    pub fn backlog(&self) -> f64 {
        self.waiting_load.demand as f64 / self.total_cpu_millis()
    }

    /// Returns the waiting work that is served before a new job, relative to the work that the
    /// workers can do within the time that the job's objective allows it to wait.
    ///
    /// A result above 1 means that the job would miss its objective.
    pub fn admission_load(&self, record: &JobRecord) -> f64 {
        let priority = record.rules.priority;
        let ahead: f64 =
            self.waiting_load.work.range(..=priority).map(|(_, work)| work).sum();
        ahead / self.capacity(priority, self.slack(record).as_secs_f64())
    }

    /// Returns how long a new job can wait without missing its objective.
    pub fn slack(&self, record: &JobRecord) -> Duration {
        let promised = critical_path(record, |plan| plan.estimate);
        let allowed = scaled_time(promised, record.rules.stretch.max(1.0));
        let allowed = allowed.saturating_add(record.rules.objective);
        allowed.saturating_sub(self.forecast(record).path).max(MIN_SLACK)
    }

    /// Returns the work of a priority and above that the workers can do within a time in seconds,
    /// in thousandths of core-seconds. Less urgent tasks keep their capacity until they end.
    fn capacity(&self, priority: u32, time: f64) -> f64 {
        let less_urgent = self.placed_load.range(priority.saturating_add(1)..);
        let placed_load: f64 =
            less_urgent.map(|(_, placed_load)| placed_load.work_within(time)).sum();
        let all = self.total_cpu_millis() * time;
        (all * MAX_PACKED_SHARE - placed_load).max(all * MIN_URGENT_SHARE)
    }

    /// Returns the processors of all tasks that are placed outside evacuated domains, in thousandths
    /// of a core.
    pub(super) fn placed_cpu_millis(&self) -> u64 {
        let amounts = self.placed_load.values().map(|load| load.cpu_millis);
        amounts.fold(0, u64::saturating_add)
    }

    /// Returns the processors of all workers outside evacuated domains in thousandths of a core, at
    /// least one core. Entries behind which no worker has responded for long do not count.
    fn total_cpu_millis(&self) -> f64 {
        let offers = |state: &&WorkerState| !state.evacuated && !state.is_unproven();
        let workers = self.workers.values().filter(offers);
        let total: ResourceVector = workers.map(|state| &state.info.capacity).sum();
        total.cpu_millis.max(1000) as f64
    }
}
