//! What a worker reports about its runs.

use geraniumwinch_core::Name;

use crate::RunEnd;
use crate::TaskName;

/// A task that runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Name>,
    /// How much of the work is done, in percent.
    pub percent: u32,
}

/// A run that has ended and that the worker remembers until it is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRun {
    /// The number of the end within the worker's lifetime, counted from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Name>,
}

/// The runs of a worker at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// The time of the worker's start in milliseconds since 1970.
    pub incarnation: u64,
    /// The worker's own clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and was not acknowledged yet.
    pub ended: Vec<EndedRun>,
}
