//! Whether a new job can be done in time.
//!
//! It answers the pattern of more work than room: a job that would wait beyond its objective is
//! refused while its caller can still turn elsewhere. Only work that goes before the job counts, so
//! that urgent jobs are taken however many gangs wait.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::JobRecord;
use crate::StepPlan;

use super::FleetScheduler;
use super::job_slot::JobLateness;
use super::job_slot::longest_chain;

/// The part of the workers' processors that tasks take at most: gangs leave gaps.
const PACKED_SHARE: f64 = 0.85;
/// The part of them that the most urgent work is taken to get at least, by stopping other tasks.
const LEAST_SHARE: f64 = 0.1;
/// The least time that a job is taken to be able to wait.
const MIN_SLACK: Duration = Duration::from_millis(50);

/// What placed tasks of an urgency have.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct HeldRoom {
    /// The processors in thousandths of a core.
    cpu_millis: u64,
    /// The processors times the tasks' estimated durations, in thousandths of core-seconds.
    work: f64,
}

impl HeldRoom {
    /// Counts a task.
    pub(super) fn take(&mut self, plan: &StepPlan) {
        self.cpu_millis += plan.reserved().cpu_millis;
        self.work += work(plan);
    }

    /// Counts a task off.
    pub(super) fn give_back(&mut self, plan: &StepPlan) {
        self.cpu_millis = self.cpu_millis.saturating_sub(plan.reserved().cpu_millis);
        self.work = (self.work - work(plan)).max(0.0);
    }

    /// Returns the work that the tasks do within a time in thousandths of core-seconds, if each ends
    /// at a random time with the mean of their durations.
    fn work_within(&self, time: f64) -> f64 {
        let cpu = self.cpu_millis as f64;
        if cpu == 0.0 || self.work == 0.0 {
            return cpu * time;
        }
        let mean = self.work / cpu;
        self.work * (1.0 - (-time / mean).exp())
    }
}

/// Returns the work of a task in thousandths of core-seconds.
fn work(plan: &StepPlan) -> f64 {
    plan.reserved().cpu_millis as f64 * plan.estimate.as_secs_f64()
}

/// The work that waits.
#[derive(Debug, Default)]
pub(super) struct WaitingLoad {
    /// The processors that waiting tasks ask for, in thousandths of a core.
    demand: u64,
    /// The work of jobs that can still be in time, by urgency, in thousandths of core-seconds.
    work: BTreeMap<u32, f64>,
}

impl FleetScheduler {
    /// Adds up the work that waits.
    pub fn update_waiting_load(&mut self, wall: Duration) {
        let mut load = WaitingLoad::default();
        for &(priority, _, key) in &self.open {
            let job = &self.jobs[key];
            let in_time = job.lateness(wall) == JobLateness::InTime;
            for unit in 0..job.units.len() as u32 {
                let waiting = job.units[unit as usize].waiting;
                if waiting == 0 {
                    continue;
                }
                let plan = job.plan(unit);
                if job.ready(unit) {
                    load.demand += u64::from(waiting) * plan.reserved().cpu_millis;
                }
                if in_time {
                    *load.work.entry(priority).or_default() +=
                        f64::from(waiting) * work(plan);
                }
            }
        }
        self.load = load;
    }

    /// Counts a job that was accepted since the work was added up.
    pub(super) fn count_accepted(&mut self, record: &JobRecord) {
        let steps = record.request.steps.iter();
        let work: f64 = steps.map(|plan| f64::from(plan.tasks) * work(plan)).sum();
        *self.load.work.entry(record.rules.priority).or_default() += work;
    }

    /// Returns the processors that waiting tasks ask for, as a part of those of all workers.
    pub fn backlog(&self) -> f64 {
        self.load.demand as f64 / self.processors()
    }

    /// Returns the work that goes before a new job, as a part of what the workers can do of it
    /// within the time that the job's objective lets it wait.
    pub fn admission_load(&self, record: &JobRecord) -> f64 {
        let priority = record.rules.priority;
        let ahead: f64 = self.load.work.range(..=priority).map(|(_, work)| work).sum();
        let chain = longest_chain(record);
        let allowed =
            chain.mul_f64(record.rules.stretch.max(1.0)) + record.rules.objective;
        let slack = allowed.saturating_sub(chain).max(MIN_SLACK);
        ahead / self.capacity(priority, slack.as_secs_f64())
    }

    /// Returns the work of an urgency and above that the workers can do within a time, in
    /// thousandths of core-seconds: less urgent tasks keep their room until they end.
    fn capacity(&self, priority: u32, time: f64) -> f64 {
        let less_urgent = self.held.range(priority.saturating_add(1)..);
        let held: f64 = less_urgent.map(|(_, held)| held.work_within(time)).sum();
        let all = self.processors() * time;
        (all * PACKED_SHARE - held).max(all * LEAST_SHARE)
    }

    /// Returns the processors of all workers in thousandths of a core, at least one.
    fn processors(&self) -> f64 {
        let room: u64 =
            self.workers.values().map(|slot| slot.info.capacity.cpu_millis).sum();
        room.max(1000) as f64
    }
}
