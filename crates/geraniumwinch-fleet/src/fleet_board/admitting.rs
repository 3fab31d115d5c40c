//! Whether a new job can be done in time.
//!
//! It answers the pattern of more work than room: a job that would wait beyond its objective is
//! refused while its caller can still turn elsewhere.

use std::time::Duration;

use crate::JobRecord;

use super::FleetBoard;
use super::job_slot::JobLateness;
use super::job_slot::longest_chain;

/// The part of the workers' processors that work in a backlog gets: gangs leave gaps.
const PACKED_SHARE: f64 = 0.65;

impl FleetBoard {
    /// Returns the processor time that waiting tasks ask for, as a part of that of all workers.
    pub fn backlog(&self) -> f64 {
        let mut asked = 0;
        for &(_, _, key) in &self.open {
            let job = &self.jobs[key];
            for unit in 0..job.units.len() as u32 {
                let waiting = u64::from(job.units[unit as usize].waiting);
                if waiting > 0 && job.ready(unit) {
                    asked += waiting * job.plan(unit).reserved().cpu_millis;
                }
            }
        }
        asked as f64 / self.processors()
    }

    /// Returns how much longer than its objective allows a new job would wait behind those that go
    /// before it, if it would.
    pub fn excess_wait(&self, record: &JobRecord, wall: Duration) -> Option<Duration> {
        let mut ahead = 0.0;
        for &(priority, _, key) in &self.open {
            let job = &self.jobs[key];
            let before = priority <= record.rules.priority
                && job.lateness(wall) == JobLateness::InTime;
            if !before {
                continue;
            }
            for unit in 0..job.units.len() as u32 {
                let plan = job.plan(unit);
                let waiting = f64::from(job.units[unit as usize].waiting);
                let work =
                    plan.estimate.as_secs_f64() * plan.reserved().cpu_millis as f64;
                ahead += waiting * work;
            }
        }
        let wait = Duration::from_secs_f64(ahead / (self.processors() * PACKED_SHARE));
        let chain = longest_chain(record);
        let allowed =
            chain.mul_f64(record.rules.stretch.max(1.0)) + record.rules.objective;
        (wait + chain).checked_sub(allowed).filter(|excess| !excess.is_zero())
    }

    /// Returns the processors of all workers in thousandths of a core, at least one.
    fn processors(&self) -> f64 {
        let room: u64 =
            self.workers.values().map(|slot| slot.card.capacity.cpu_millis).sum();
        room.max(1000) as f64
    }
}
