//! What the dispatcher of a failure domain reports about evacuations.

use geraniumwinch_config::EvacuationSet;
use serde::Deserialize;
use serde::Serialize;

/// The work that is left in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainDrain {
    /// Number of tasks that are placed on workers.
    pub tasks: u32,
    /// Number of tasks that may run on workers that have not reported since the takeover.
    pub unlocated_tasks: u32,
    /// Number of granted slots.
    pub requests: u32,
    /// Whether slots may be in use that have not been reported since the takeover.
    pub unreported_requests: bool,
    /// Number of waiting tasks.
    pub waiting_tasks: u32,
}

/// The evacuations in force at the dispatcher of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Revision of the configuration whose evacuations are in force.
    pub revision: u64,
    /// The evacuated domains of the fleet.
    pub evacuated: EvacuationSet,
    /// The work that is left in the dispatcher's domain.
    pub drain: DomainDrain,
}

impl DomainDrain {
    /// Returns whether certainly nothing runs in the domain.
    pub fn is_empty(&self) -> bool {
        let running = self.tasks + self.unlocated_tasks + self.requests;
        running == 0 && !self.unreported_requests
    }
}
