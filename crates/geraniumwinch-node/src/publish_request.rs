//! Requests of operators to publish something, and their outcomes.

use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::EvacuatedDomain;
use geraniumwinch_config::EvacuationProblem;
use geraniumwinch_core::Name;
use tokio::sync::oneshot;

/// A request of an operator to publish something.
pub(crate) enum PublishRequest {
    /// Publishes a configuration set.
    Set {
        /// The revision that the set is based on.
        base: u64,
        set: ConfigurationSet,
        /// Receives the outcome.
        done: oneshot::Sender<PublishOutcome>,
    },
    /// Publishes the evacuation of a domain, or its end.
    Evacuation {
        change: EvacuationChange,
        /// Receives the outcome.
        done: oneshot::Sender<EvacuationOutcome>,
    },
}

/// The outcome of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PublishOutcome {
    /// The set was published as this revision.
    Published(u64),
    /// Another set was published first; this is the newest revision.
    Conflict(u64),
    /// The set may have been published.
    Unknown,
}

/// A request of an operator about the evacuation of a domain.
#[derive(Debug, Clone)]
pub(crate) struct EvacuationChange {
    pub(crate) domain: Name,
    /// Whether the domain is evacuated or taken back.
    pub(crate) evacuates: bool,
    /// Whether the domain may be the last one that is not evacuated.
    pub(crate) last: bool,
}

/// The outcome of a request about the evacuation of a domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EvacuationOutcome {
    /// The store has what was requested.
    Stored {
        /// The revision that has it.
        revision: u64,
        /// The evacuation, or `None` if the domain is not evacuated.
        evacuation: Option<EvacuatedDomain>,
    },
    /// The request is invalid.
    Refused(EvacuationProblem),
    /// What was requested may have been stored.
    Unknown,
}
