//! Job descriptions as submitted by clients.

use serde::Deserialize;
use serde::Serialize;

use crate::ResourceVector;

/// The kind of a job, which determines how its tasks are started and when they end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that run until they are cancelled.
    Service,
    /// Tasks that all start together or not at all.
    Gang,
}

/// The description of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The kind of the job.
    pub kind: JobKind,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task requires.
    pub size: ResourceVector,
    /// The expected run time of a task in milliseconds.
    pub run_time_ms: u64,
    /// Whether tasks of other jobs may be preempted to start this one.
    pub urgent: bool,
    /// Whether the tasks can be checkpointed.
    pub checkpointable: bool,
}

impl JobSpec {
    /// The maximum number of tasks of a job.
    pub const MAX_TASKS: u32 = 10_000;

    /// Validates the values and returns a description of the first problem, if any.
    pub fn problem(&self) -> Option<String> {
        if self.tasks == 0 || self.tasks > Self::MAX_TASKS {
            return Some(format!(
                "`tasks` is {}; hint: give 1 to {}",
                self.tasks,
                Self::MAX_TASKS
            ));
        }
        if self.size.cpu_millis == 0 || self.size.memory_bytes == 0 {
            let hint = "hint: give `cpu_millis` and `memory_bytes` above 0";
            return Some(format!("the task's size is zero; {hint}"));
        }
        None
    }
}
