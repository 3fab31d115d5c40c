//! Jobs as callers describe them.

use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::StepPlan;

/// When the occurrences of a scheduled job are due.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub repeats: u32,
    /// The due time of the first one, since 1970.
    pub first: Duration,
    /// The time between two due times.
    pub interval: Duration,
}

impl JobSchedule {
    /// Returns when an occurrence is due, since 1970.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first + self.interval * occurrence
    }
}

/// What a caller wants to have run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The text that each task is started with.
    pub spec: Name,
    /// The steps.
    pub steps: Vec<StepPlan>,
    /// The schedule; without one the steps run once, at once.
    pub schedule: Option<JobSchedule>,
}

impl JobRequest {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repeats)
    }
}
