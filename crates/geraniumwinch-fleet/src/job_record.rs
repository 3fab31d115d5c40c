//! Job records as kept in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::RunCrash;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::JobRequest;
use crate::LostContact;
use crate::QueueRules;
use crate::RecordedStart;
use crate::Result;
use crate::fleet_error::DecodeSnafu;
use crate::fleet_error::EncodeSnafu;
use crate::fleet_error::FormatSnafu;

/// The record format that this version writes, and the only one that it reads.
const FORMAT: u8 = 2;

/// The phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job has not ended: it waits or runs.
    Live,
    /// All tasks are done.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Live => "live",
            JobPhase::Completed => "completed",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }
}

/// The progress of a unit, which is one step of one occurrence of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitProgress {
    /// The indices of the tasks that are done.
    pub done: Vec<u32>,
    /// The failed runs as pairs of task index and run number; those of a gang are listed under its
    /// first task. The run numbers are kept because the next owner may read the same ends again
    /// and must not count them twice.
    pub failed: Vec<(u32, u64)>,
}

/// A crash of a worker under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// The unit of the task.
    pub unit: u32,
    /// The position of the task in its step.
    pub index: u32,
    /// The crash.
    pub crash: RunCrash,
}

/// A job with its progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The rules of the job's queue, as the owner knew them at the last write; those of the objective
    /// are from the acceptance.
    pub rules: QueueRules,
    /// The client account that the job belongs to.
    pub account: Name,
    /// The time of acceptance, as time since the Unix epoch.
    pub accepted: Duration,
    /// The current phase.
    pub phase: JobPhase,
    /// The job as requested; empty in the stored record of an ended job.
    pub request: JobRequest,
    /// The progress of the units that have any, by unit number, which is
    /// `occurrence * steps + step`.
    pub progress: BTreeMap<u32, UnitProgress>,
    /// The crashes of workers under tasks. They follow the record in the store, where versions that
    /// do not know them ignore them.
    #[serde(skip)]
    pub crashes: Vec<TaskCrash>,
    /// The runs whose workers have become silent. They follow the crashes in the store in the same way, in a
    /// section of their own: what earlier versions wrote may have runs that have certainly not begun.
    #[serde(skip)]
    pub lost_contacts: Vec<LostContact>,
    /// The starts without a ticket of which a copy may be executed later, also in the record of an ended
    /// job. They follow the lost contacts in the store in the same way.
    #[serde(skip)]
    pub open_starts: Vec<RecordedStart>,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub fn new(
        rules: QueueRules,
        account: Name,
        accepted: Duration,
        request: JobRequest,
    ) -> Self {
        let phase = JobPhase::Live;
        JobRecord {
            rules,
            account,
            accepted,
            phase,
            request,
            progress: BTreeMap::new(),
            crashes: Vec::new(),
            lost_contacts: Vec::new(),
            open_starts: Vec::new(),
        }
    }

    /// Encodes the record for the store: a byte with the format number, then the record in
    /// postcard, then, unless all are empty, the crashes, the lost contacts of earlier versions, of which
    /// there are none, those of this version, and the open starts. The last ones are left out if they are
    /// empty.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = postcard::to_extend(self, vec![FORMAT]).context(EncodeSnafu)?;
        let has_starts = !self.open_starts.is_empty();
        let has_contacts = !self.lost_contacts.is_empty() || has_starts;
        if !self.crashes.is_empty() || has_contacts {
            bytes = postcard::to_extend(&self.crashes, bytes).context(EncodeSnafu)?;
            let former: Vec<LostContact> = Vec::new();
            bytes = postcard::to_extend(&former, bytes).context(EncodeSnafu)?;
        }
        if has_contacts {
            bytes =
                postcard::to_extend(&self.lost_contacts, bytes).context(EncodeSnafu)?;
        }
        if has_starts {
            bytes = postcard::to_extend(&self.open_starts, bytes).context(EncodeSnafu)?;
        }
        Ok(bytes)
    }

    /// Decodes a record from the store.
    pub fn decode(bytes: &[u8]) -> Result<JobRecord> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => JobRecord::decode_current(rest),
            first => {
                let format = first.map_or(0, |(&format, _)| format);
                FormatSnafu { format }.fail()
            }
        }
    }

    /// Decodes a record in the current format, without its first byte.
    fn decode_current(bytes: &[u8]) -> Result<JobRecord> {
        let (mut record, rest): (JobRecord, &[u8]) =
            postcard::take_from_bytes(bytes).context(DecodeSnafu)?;
        let mut rest = rest;
        if !rest.is_empty() {
            (record.crashes, rest) =
                postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        }
        // Earlier versions have left their lost contacts out if there were none.
        let by_earlier_version = rest.first().is_none_or(|&count| count > 0);
        if !rest.is_empty() {
            (record.lost_contacts, rest) =
                postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        }
        if by_earlier_version {
            record.keep_confirmed_runs();
        } else if !rest.is_empty() {
            (record.lost_contacts, rest) =
                postcard::take_from_bytes(rest).context(DecodeSnafu)?;
            if !rest.is_empty() {
                record.open_starts = postcard::from_bytes(rest).context(DecodeSnafu)?;
            }
        }
        Ok(record)
    }

    /// Drops the crashes and lost contacts that an earlier version may have written for runs that have
    /// certainly not begun: all that no worker had confirmed.
    fn keep_confirmed_runs(&mut self) {
        self.crashes.retain(|recorded| recorded.crash.confirmed);
        self.lost_contacts.retain(|contact| contact.crash.confirmed);
    }
}
