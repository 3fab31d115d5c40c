//! The run that a command is about.

use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::TaskName;
use geraniumwinch_fleet::WorkerKey;

/// A run on a worker that a command starts or stops.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommandRun {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u64,
}

impl From<&RunStart> for CommandRun {
    fn from(start: &RunStart) -> Self {
        CommandRun { worker: start.worker, task: start.task.clone(), run: start.run }
    }
}

impl From<&RunStop> for CommandRun {
    fn from(stop: &RunStop) -> Self {
        CommandRun { worker: stop.worker, task: stop.task.clone(), run: stop.run }
    }
}
