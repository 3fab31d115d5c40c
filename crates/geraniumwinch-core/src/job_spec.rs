//! Descriptions of jobs as callers submit them.

use serde::Deserialize;
use serde::Serialize;

use crate::ResourceVector;

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Independent tasks that end.
    Batch,
    /// Tasks that run until they are cancelled.
    Service,
    /// Tasks that start all together or not at all.
    Gang,
}

/// The description of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// How the tasks belong together.
    pub kind: JobKind,
    /// The number of tasks.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: ResourceVector,
    /// The expected run time of a task in milliseconds.
    pub run_time_ms: u64,
    /// Whether other work may be preempted to start the job.
    pub urgent: bool,
    /// Whether the tasks can be checkpointed.
    pub checkpointable: bool,
}

impl JobSpec {
    /// The greatest number of tasks of a job.
    pub const MAX_TASKS: u32 = 10_000;

    /// Returns what is wrong with the values, if anything.
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
