//! The rules of a queue. A job follows them, except for the objective that it was accepted with.

use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

/// The share of a call's fixed duration that additional workers may add.
const CHEAP_SHARE: f64 = 0.5;
/// The minimum duration that a worker is assumed to add to a call.
const MIN_PER_WORKER: Duration = Duration::from_micros(1);

/// The maximum duration of a call, so that sums of durations do not overflow.
const MAX_CALL_TIME: Duration = Duration::from_secs(24 * 3600);

/// The duration of calls to the permission service, and how long its permissions are valid.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermissionCost {
    /// The fixed part of a call's duration.
    pub base: Duration,
    /// The additional duration for each worker named in a call.
    pub per_worker: Duration,
    /// How long a permission is valid.
    pub validity: Duration,
}

impl PermissionCost {
    /// Returns the duration of a call that names the given number of workers.
    pub fn call_time(&self, workers: usize) -> Duration {
        let additional = self.per_worker.saturating_mul(workers as u32);
        self.base.saturating_add(additional).min(MAX_CALL_TIME)
    }

    /// Returns the number of workers that add half of the fixed part to a call's duration. One call
    /// that names so many takes less time than two calls.
    pub fn cheap_workers(&self) -> usize {
        let per_worker = self.per_worker.max(MIN_PER_WORKER).as_secs_f64();
        (self.base.as_secs_f64() * CHEAP_SHARE / per_worker) as usize
    }
}

/// The rules by which the jobs of a queue are scheduled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRules {
    /// The name of the queue in the configuration.
    pub queue: Name,
    /// The service whose workers run the tasks.
    pub service: Name,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a task or gang after which the job fails.
    pub max_attempts: u32,
    /// The factor applied to the estimated critical path in the job's latency objective.
    pub stretch: f64,
    /// The constant part of the job's latency objective.
    pub objective: Duration,
    /// The cost of placement permissions, if the queue requires them.
    pub permission: Option<PermissionCost>,
}

impl QueueRules {
    /// Returns the rules of a job that was accepted under these rules, once the queue has the current
    /// ones: its objective was promised at its acceptance.
    pub fn followed_by(&self, current: &QueueRules) -> QueueRules {
        let (stretch, objective) = (self.stretch, self.objective);
        QueueRules { stretch, objective, ..current.clone() }
    }

    /// Returns after how many failed runs of a task or gang the job fails; at least one.
    pub fn attempts(&self) -> usize {
        self.max_attempts.max(1) as usize
    }
}
