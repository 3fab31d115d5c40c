//! Accounting of work that is lost: the processor time of runs whose results are neither used nor
//! saved, by the decision or the failure that ended them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Why a run ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// The run was stopped to free capacity for a more urgent job.
    Preempted,
    /// A best-effort run was stopped because a latency-sensitive task started on its worker.
    Displaced,
    /// The run made no progress for too long.
    Stalled,
    /// The job was cancelled.
    Cancelled,
    /// The job has failed.
    JobFailed,
    /// The job was completed without this run.
    JobCompleted,
    /// The run failed by itself.
    Failed,
    /// The worker's lease expired.
    LeaseExpired,
    /// The worker crashed, restarted or was replaced.
    WorkerLost,
    /// The start of the run was refused, or its command got no response.
    StartFailed,
    /// No task should have had the run.
    Orphaned,
    /// It is not known why the run ended.
    Unknown,
}

impl LossCause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LossCause::Preempted => "preempted",
            LossCause::Displaced => "displaced",
            LossCause::Stalled => "stalled",
            LossCause::Cancelled => "cancelled",
            LossCause::JobFailed => "job-failed",
            LossCause::JobCompleted => "job-completed",
            LossCause::Failed => "failed",
            LossCause::LeaseExpired => "lease-expired",
            LossCause::WorkerLost => "worker-lost",
            LossCause::StartFailed => "start-failed",
            LossCause::Orphaned => "orphaned",
            LossCause::Unknown => "unknown",
        }
    }
}

/// The cause of a run's loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunLoss {
    /// Why the run or, in a gang, the first lost member ended.
    pub cause: LossCause,
    /// Whether the run ended only because another member of its gang was lost.
    pub in_gang: bool,
}

impl RunLoss {
    /// Creates the loss of a run that ended for a reason of its own.
    pub fn single(cause: LossCause) -> Self {
        RunLoss { cause, in_gang: false }
    }

    /// Creates the loss of a run that ended because another member of its gang was lost.
    pub fn of_gang(cause: LossCause) -> Self {
        RunLoss { cause, in_gang: true }
    }
}

/// An amount of lost work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LossTally {
    /// The number of runs.
    pub runs: u64,
    /// The reserved processors times the time at work that no checkpoint has saved.
    pub core_seconds: f64,
}

impl LossTally {
    /// Creates the tally of one run with the given processors, in thousandths of a core, and unsaved
    /// time.
    pub fn of_run(cpu_millis: u64, unsaved: Duration) -> Self {
        LossTally { runs: 1, core_seconds: core_seconds(cpu_millis, unsaved) }
    }

    /// Adds another tally.
    pub fn add(&mut self, other: LossTally) {
        self.runs += other.runs;
        self.core_seconds += other.core_seconds;
    }
}

/// Returns the work of processors, in thousandths of a core, in a time.
pub(crate) fn core_seconds(cpu_millis: u64, time: Duration) -> f64 {
    cpu_millis as f64 / 1000.0 * time.as_secs_f64()
}

/// The work that was lost since the account was last read, by cause.
#[derive(Debug, Default)]
pub struct LostWork {
    tallies: BTreeMap<RunLoss, LossTally>,
}

impl LostWork {
    /// Adds lost work.
    pub fn add(&mut self, loss: RunLoss, tally: LossTally) {
        if tally.runs > 0 || tally.core_seconds > 0.0 {
            self.tallies.entry(loss).or_default().add(tally);
        }
    }

    /// Returns and clears what was lost since the last call.
    pub fn take(&mut self) -> BTreeMap<RunLoss, LossTally> {
        std::mem::take(&mut self.tallies)
    }
}
