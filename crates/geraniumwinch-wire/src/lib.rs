//! Messages between the system's processes, and their binary encoding.

mod domain_digest;
mod evacuation_report;
mod journal_entry;
mod peer_envelope;
mod peer_message;
mod wire_error;

pub use self::domain_digest::DomainDigest;
pub use self::domain_digest::OwnerView;
pub use self::domain_digest::QueueLoad;
pub use self::domain_digest::TeamRow;
pub use self::evacuation_report::DomainDrain;
pub use self::evacuation_report::EvacuationReport;
pub use self::journal_entry::JournalEntry;
pub use self::peer_envelope::MAX_MESSAGE_BYTES;
pub use self::peer_envelope::PeerEnvelope;
pub use self::peer_envelope::PeerIdentity;
pub use self::peer_envelope::PeerName;
pub use self::peer_message::ConfigUpdate;
pub use self::peer_message::GrantRequest;
pub use self::peer_message::GrantResponse;
pub use self::peer_message::HandoverGrant;
pub use self::peer_message::HandoverState;
pub use self::peer_message::HeartbeatRequest;
pub use self::peer_message::HeartbeatResponse;
pub use self::peer_message::HeldGrant;
pub use self::peer_message::JobResponse;
pub use self::peer_message::MemberRow;
pub use self::peer_message::MirrorBatch;
pub use self::peer_message::OwnerReport;
pub use self::peer_message::PeerMessage;
pub use self::peer_message::RecordKey;
pub use self::peer_message::ReleaseOutcome;
pub use self::peer_message::SlotRelease;
pub use self::peer_message::StatusReport;
pub use self::wire_error::Result;
pub use self::wire_error::WireError;
