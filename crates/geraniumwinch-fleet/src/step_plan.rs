//! Steps of a job as the caller describes them.

use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

/// A step: like tasks that may begin once the steps before it are done.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepPlan {
    /// The number of tasks.
    pub tasks: u32,
    /// What each task takes of its worker.
    pub demand: ResourceVector,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Duration,
    /// The positions of the steps that must be done before.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks run only together and end together.
    pub gang: bool,
    /// Whether the tasks are faster when all run in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Name>,
    /// The rack where the data is.
    pub affinity: Option<Name>,
    /// The most tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    pub duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks use only processor time that others leave, so that it is not reserved.
    pub best_effort: bool,
    /// The tail of response times that tasks with users of their own must stay below.
    pub latency_target: Option<Duration>,
}

impl StepPlan {
    /// Returns whether tasks of one step and another disturb each other on one worker: those that use
    /// what others leave slow down those with users of their own.
    pub fn interferes_with(&self, other: &StepPlan) -> bool {
        let slows =
            |a: &StepPlan, b: &StepPlan| a.best_effort && b.latency_target.is_some();
        slows(self, other) || slows(other, self)
    }

    /// Returns what one task reserves of its worker.
    pub fn reserved(&self) -> ResourceVector {
        let cpu_millis = if self.best_effort { 0 } else { self.demand.cpu_millis };
        ResourceVector { cpu_millis, ..self.demand }
    }
}
