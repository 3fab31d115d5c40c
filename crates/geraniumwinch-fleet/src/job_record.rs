//! What the store keeps of a job.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::JobRequest;
use crate::QueueRules;
use crate::Result;
use crate::fleet_error::DecodeSnafu;
use crate::fleet_error::EncodeSnafu;
use crate::fleet_error::FormatSnafu;

/// The format that this version writes.
const FORMAT: u8 = 2;

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// It is to be run.
    Live,
    /// All its tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Live => "live",
            JobPhase::Completed => "completed",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }
}

/// What became of the tasks of a step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitProgress {
    /// The tasks that are done.
    pub done: Vec<u32>,
    /// The failed runs: the task, which is the first one for a gang, and the run's number. The
    /// next owner may read the same ends again and must not count them twice.
    pub failed: Vec<(u32, u64)>,
}

/// A job with its progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The rules of its queue at the time of its acceptance.
    pub rules: QueueRules,
    /// The client account that it belongs to.
    pub account: Name,
    /// When it was accepted, since 1970.
    pub accepted: Duration,
    /// How far it has come.
    pub phase: JobPhase,
    /// What the caller wants; ended jobs keep an empty one.
    pub request: JobRequest,
    /// The progress of the units that have any; a unit's number is
    /// `occurrence * steps + step`.
    pub progress: BTreeMap<u32, UnitProgress>,
}

impl JobRecord {
    /// Creates the record of a job that has just been accepted.
    pub fn new(
        rules: QueueRules,
        account: Name,
        accepted: Duration,
        request: JobRequest,
    ) -> Self {
        let phase = JobPhase::Live;
        JobRecord { rules, account, accepted, phase, request, progress: BTreeMap::new() }
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT]).context(EncodeSnafu)
    }

    /// Decodes a record of the store.
    pub fn decode(bytes: &[u8]) -> Result<JobRecord> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).context(DecodeSnafu),
            first => {
                let format = first.map_or(0, |(&format, _)| format);
                FormatSnafu { format }.fail()
            }
        }
    }
}
