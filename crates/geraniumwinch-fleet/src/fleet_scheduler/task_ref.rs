//! Keys of jobs and tasks.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a job within a scheduler.
    pub(super) struct JobKey;
}

/// Identifies a task within a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskRef {
    pub(super) job: JobKey,
    pub(super) unit: u32,
    /// The position of the task in the step.
    pub(super) index: u32,
}
