//! Whether a new job can be done in time.
//!
//! It answers the pattern of more work than room: a job that would wait beyond its objective is
//! refused while its caller can still turn elsewhere. Only work that goes before the job counts, so
//! that urgent jobs are taken however many gangs wait.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::JobRecord;

use super::FleetBoard;
use super::job_slot::JobLateness;
use super::job_slot::longest_chain;

/// The part of the workers' processors that tasks take at most: gangs leave gaps.
const PACKED_SHARE: f64 = 0.85;
/// The part of them that the most urgent work is taken to get at least, by stopping other tasks.
const LEAST_SHARE: f64 = 0.1;
/// The least time that a job is taken to be able to wait.
const MIN_SLACK: Duration = Duration::from_millis(50);

/// The work that waits.
#[derive(Debug, Default)]
pub(super) struct WaitingLoad {
    /// The processors that waiting tasks ask for, in thousandths of a core.
    demand: u64,
    /// The work of jobs that can still be in time, by urgency, in thousandths of core-seconds.
    work: BTreeMap<u32, f64>,
}

impl FleetBoard {
    /// Adds up the work that waits.
    pub fn measure_backlog(&mut self, wall: Duration) {
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
                let demand = u64::from(waiting) * plan.reserved().cpu_millis;
                if job.ready(unit) {
                    load.demand += demand;
                }
                if in_time {
                    *load.work.entry(priority).or_default() +=
                        demand as f64 * plan.estimate.as_secs_f64();
                }
            }
        }
        self.load = load;
    }

    /// Counts a job that was accepted since the work was added up.
    pub(super) fn count_accepted(&mut self, record: &JobRecord) {
        let steps = record.request.steps.iter();
        let work: f64 = steps
            .map(|plan| {
                let demand = u64::from(plan.tasks) * plan.reserved().cpu_millis;
                demand as f64 * plan.estimate.as_secs_f64()
            })
            .sum();
        *self.load.work.entry(record.rules.priority).or_default() += work;
    }

    /// Returns the processors that waiting tasks ask for, as a part of those of all workers.
    pub fn backlog(&self) -> f64 {
        self.load.demand as f64 / self.processors()
    }

    /// Returns how long a new job would wait behind those that go before it, as a part of the time
    /// that its objective lets it wait.
    pub fn strain(&self, record: &JobRecord) -> f64 {
        let ahead: f64 =
            self.load.work.range(..=record.rules.priority).map(|(_, work)| work).sum();
        let wait = ahead / self.available(record.rules.priority);
        let chain = longest_chain(record);
        let allowed =
            chain.mul_f64(record.rules.stretch.max(1.0)) + record.rules.objective;
        let slack = allowed.saturating_sub(chain).max(MIN_SLACK);
        wait / slack.as_secs_f64()
    }

    /// Returns the processors that work of an urgency can get now, in thousandths of a core: those
    /// that no less urgent task has.
    fn available(&self, priority: u32) -> f64 {
        let less_urgent = priority.saturating_add(1)..;
        let held: u64 = self.held.range(less_urgent).map(|(_, &held)| held).sum();
        let packed = self.processors() * PACKED_SHARE - held as f64;
        packed.max(self.processors() * LEAST_SHARE)
    }

    /// Returns the processors of all workers in thousandths of a core, at least one.
    fn processors(&self) -> f64 {
        let room: u64 =
            self.workers.values().map(|slot| slot.card.capacity.cpu_millis).sum();
        room.max(1000) as f64
    }
}
