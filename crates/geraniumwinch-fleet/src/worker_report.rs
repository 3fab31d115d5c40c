//! Reports of workers on their runs.

use geraniumwinch_core::Name;

use crate::RunOutcome;
use crate::TaskName;

/// A run in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u64,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Name>,
    /// The progress in percent.
    pub percent: u32,
}

/// A run that has ended. The worker lists it until the end is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRun {
    /// The sequence number of the end within the worker's incarnation, counted from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u64,
    /// The outcome.
    pub outcome: RunOutcome,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Name>,
}

/// A snapshot of a worker's runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// The start time of the worker process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The worker's own clock in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub running: Vec<RunningRun>,
    /// The ended runs that were not acknowledged yet, the earliest ones if there are many.
    pub ended: Vec<EndedRun>,
    /// Whether further runs may have ended that are listed only once these are acknowledged. A run that
    /// the report doesn't list may be one of them.
    pub more_ends: bool,
}
