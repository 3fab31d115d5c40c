//! Crashes of workers under runs of tasks.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The difference in age up to which two runs count as started together.
pub(crate) const AGE_MARGIN: Duration = Duration::from_millis(250);

/// The age from which on a run is not taken to be the cause of a crash.
pub(crate) const MAX_CAUSE_AGE: Duration = Duration::from_secs(60);

/// A crash of the worker that ran a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCrash {
    /// The run.
    pub run: u64,
    /// How long the run had lasted when the worker became silent.
    pub age: Duration,
    /// Whether the worker had confirmed the run; otherwise it may not have executed the start.
    pub confirmed: bool,
    /// Whether the run may have caused the crash: it had started last there, or almost.
    pub suspected: bool,
}

impl RunCrash {
    /// Creates the record of a run that was lost with its worker.
    pub fn new(run: u64, age: Duration, confirmed: bool) -> Self {
        RunCrash { run, age, confirmed, suspected: false }
    }

    /// Suspects the run if it was not much older than the youngest one that was lost.
    pub fn compare_age(&mut self, youngest: Duration) {
        let comparable = self.age <= youngest * 2 + AGE_MARGIN;
        self.suspected = comparable && self.age < MAX_CAUSE_AGE;
    }

    /// Returns whether the crash is evidence against the task.
    pub fn is_evidence(&self) -> bool {
        self.confirmed && self.suspected
    }
}
