//! Identifiers of task attempts.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;

/// The identifier of one attempt to run a task, written as `JOB/INDEX/ATTEMPT`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The zero-based index of the task within the job.
    pub index: u32,
    /// The number of the attempt, with the owner's epoch in the upper 32 bits.
    ///
    /// The lower 32 bits hold a serial number that all tasks of the domain share within an epoch.
    pub attempt: u64,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.index, self.attempt)
    }
}

impl FromStr for TaskId {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let mut parts = text.rsplitn(3, '/');
        let attempt = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let index = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let job = parts.next().ok_or(())?.parse()?;
        Ok(TaskId { job, index, attempt })
    }
}
