//! Jobs as requested by clients.

use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::StepPlan;

/// The schedule of a job with several occurrences at a fixed interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub repeats: u32,
    /// The due time of the first occurrence, as time since the Unix epoch.
    pub first: Duration,
    /// The time from one due time to the next.
    pub interval: Duration,
}

impl JobSchedule {
    /// Returns the due time of an occurrence, counted from 0, as time since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first.saturating_add(self.interval.saturating_mul(occurrence))
    }
}

/// A job as requested by a client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The specification that is passed to each task at its start.
    pub spec: Name,
    /// The steps of each occurrence.
    pub steps: Vec<StepPlan>,
    /// The schedule; without one the job has a single occurrence that is due at once.
    pub schedule: Option<JobSchedule>,
}

impl Default for JobRequest {
    /// Returns a request without steps, as the record of an ended job has it.
    fn default() -> Self {
        JobRequest { spec: "".into(), steps: Vec::new(), schedule: None }
    }
}

impl JobRequest {
    /// Returns whether an occurrence is due at a time since the Unix epoch.
    pub fn is_due(&self, occurrence: u32, unix_time: Duration) -> bool {
        self.schedule.is_none_or(|schedule| schedule.due(occurrence) <= unix_time)
    }

    /// Returns the number of occurrences that are due at a time since the Unix epoch. The others are due
    /// later, in the order of their numbers.
    pub fn due_occurrences(&self, unix_time: Duration) -> u32 {
        let Some(schedule) = self.schedule else { return 1 };
        if unix_time < schedule.first {
            return 0;
        }
        let passed = unix_time.saturating_sub(schedule.first).as_nanos();
        let due = passed.checked_div(schedule.interval.as_nanos());
        let due = due.and_then(|due| u32::try_from(due).ok()).unwrap_or(u32::MAX);
        due.saturating_add(1).min(schedule.repeats)
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repeats)
    }
}
