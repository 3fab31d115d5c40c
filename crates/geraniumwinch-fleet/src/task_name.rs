//! Identifiers of steps and tasks.

use std::fmt;

use geraniumwinch_core::Name;

/// Identifies a step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepName {
    /// The job's identifier, chosen by the client.
    pub job: Name,
    /// The number of the occurrence, counted from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// The position of the step in the job, counted from 0.
    pub step: u32,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task of a step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The step.
    pub step: StepName,
    /// The position of the task in the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}
