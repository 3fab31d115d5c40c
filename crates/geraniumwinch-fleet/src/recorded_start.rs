//! Starts of which a copy may be executed later, as recorded for a later owner.

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::StepName;
use crate::TaskName;

/// A start command without a ticket of which its worker may execute a copy later.
///
/// It is kept in the record of its job, so that a later owner neither starts the task elsewhere nor
/// acknowledges the end of its run while another incarnation of the worker may execute the copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedStart {
    /// The number of the occurrence of the task's step.
    pub occurrence: u32,
    /// The position of the step in the job.
    pub step: u32,
    /// The position of the task in its step.
    pub index: u32,
    /// The worker.
    pub worker: Name,
    /// The number of the run.
    pub run: u64,
}

impl RecordedStart {
    /// Creates the record of a task's start.
    pub fn new(task: &TaskName, worker: Name, run: u64) -> Self {
        let StepName { occurrence, step, .. } = task.step;
        RecordedStart { occurrence, step, index: task.index, worker, run }
    }

    /// Returns the name of the task, which belongs to the given job.
    pub fn task_name(&self, job: &Name) -> TaskName {
        let RecordedStart { occurrence, step, index, .. } = *self;
        TaskName { step: StepName { job: job.clone(), occurrence, step }, index }
    }
}
