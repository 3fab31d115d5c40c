//! The calls to the permission service that waiting steps need.
//!
//! The VMs can make a limited number of calls. A job that would have to wait for its first call
//! until it is late, or that adds to a backlog of calls that takes long to serve, is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::JobRecord;
use crate::PermissionCost;

use super::FleetScheduler;
use super::permissions::REQUEST_MAX;
use super::permissions::REQUEST_MIN;
use super::task_ref::JobKey;

/// The time within which the VMs should be able to make the calls of all accepted jobs.
const MAX_CALL_BACKLOG: Duration = Duration::from_secs(6);
/// The weight of a new step in the moving average of the time that first calls take.
const CALL_TIME_GAIN: f64 = 0.1;
/// The minimum number of VMs that admission assumes.
const MIN_VMS: f64 = 0.01;

/// The time that the calls of waiting steps take.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    /// The calls of jobs that can still meet their objective, by priority.
    in_time: BTreeMap<u32, Duration>,
    /// The calls of all jobs.
    all: Duration,
}

impl WaitingCalls {
    /// Adds the calls of a step.
    pub(super) fn add(&mut self, priority: u32, in_time: bool, call_time: Duration) {
        self.all += call_time;
        if in_time {
            *self.in_time.entry(priority).or_default() += call_time;
        }
    }
}

impl FleetScheduler {
    /// Returns the time that the calls take that are made before those of a new job, relative to the
    /// time that its objective allows it to wait. `available` is the number of VMs that can make calls
    /// of its priority, and `vms` that of all.
    ///
    /// A result above 1 means that the job would miss its objective, or that the VMs could not make
    /// the calls of all accepted jobs within a few seconds.
    pub fn call_load(&self, record: &JobRecord, available: f64, vms: usize) -> f64 {
        if record.rules.permission.is_none() {
            return 0.0;
        }
        let calls = &self.waiting_calls;
        let priority = record.rules.priority;
        let ahead: Duration =
            calls.in_time.range(..=priority).map(|(_, time)| time).sum();
        let slack = self.slack(record).as_secs_f64();
        let wait = ahead.as_secs_f64() / available.max(MIN_VMS) / slack;
        let backlog = calls.all.as_secs_f64() / (vms as f64).max(MIN_VMS);
        wait.max(backlog / MAX_CALL_BACKLOG.as_secs_f64())
    }

    /// Returns the time that the calls take which a unit's waiting tasks need.
    pub(super) fn waiting_call_time(&self, key: JobKey, unit: u32) -> Duration {
        let job = &self.jobs[key];
        let Some(cost) = job.record.rules.permission else { return Duration::ZERO };
        let state = &job.units[unit as usize];
        if state.permissions.grants().is_empty() {
            return self.first_call_time(&job.record, &cost);
        }
        cost.call_time((state.waiting as usize).min(REQUEST_MAX))
    }

    /// Adds the calls of a job that was accepted since the load was recomputed.
    pub(super) fn count_accepted_calls(&mut self, record: &JobRecord) {
        let Some(cost) = record.rules.permission else { return };
        let call_time = self.first_call_time(record, &cost);
        self.waiting_calls.add(record.rules.priority, true, call_time);
    }

    /// Learns the time that the first calls for a step take.
    pub(super) fn record_first_calls(&mut self, key: JobKey, call_time: Duration) {
        let queue = self.jobs[key].record.rules.queue.clone();
        let known = self.first_call_times.entry(queue).or_insert(call_time);
        *known = known.mul_f64(1.0 - CALL_TIME_GAIN) + call_time.mul_f64(CALL_TIME_GAIN);
    }

    /// Returns the time that the first calls for a step of a job take.
    fn first_call_time(&self, record: &JobRecord, cost: &PermissionCost) -> Duration {
        let learned = self.first_call_times.get(&record.rules.queue);
        let workers = cost.cheap_workers().clamp(REQUEST_MIN, REQUEST_MAX);
        learned.copied().unwrap_or_else(|| cost.call_time(workers))
    }
}
