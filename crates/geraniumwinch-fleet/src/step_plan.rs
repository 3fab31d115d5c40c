//! Steps of a job as requested by the client.

use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

/// A step: identical tasks that may start once the steps listed in `after` are done.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepPlan {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task uses on its worker.
    pub demand: ResourceVector,
    /// The client's rough estimate of a task's duration.
    pub estimate: Duration,
    /// The positions of the steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks form a gang: they run only together and end together.
    pub gang: bool,
    /// Whether the tasks are faster if all of them run in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Name>,
    /// The rack that holds the data; workers there are preferred.
    pub affinity: Option<Name>,
    /// The maximum number of tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    pub duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks use only processor time that other tasks leave idle. No processor capacity
    /// is reserved for them.
    pub best_effort: bool,
    /// The target for the tail latency of tasks that serve requests themselves.
    pub latency_target: Option<Duration>,
}

impl StepPlan {
    /// Returns whether tasks of the two steps interfere on the same worker: best-effort tasks slow
    /// down tasks with a latency target.
    pub fn interferes_with(&self, other: &StepPlan) -> bool {
        let slows =
            |a: &StepPlan, b: &StepPlan| a.best_effort && b.latency_target.is_some();
        slows(self, other) || slows(other, self)
    }

    /// Returns the resources that one task reserves on its worker.
    pub fn reserved(&self) -> ResourceVector {
        let cpu_millis = if self.best_effort { 0 } else { self.demand.cpu_millis };
        ResourceVector { cpu_millis, ..self.demand }
    }
}
