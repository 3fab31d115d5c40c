//! What a process takes in of its callers' requests, within the limits of its VM.
//!
//! Callers may send large bodies, send them slowly, or never finish them. A process keeps only as much of
//! incomplete bodies as a budget allows, and gives up the largest ones first, so that callers with
//! ordinary requests get through.

mod body_budget;
mod body_lease;
mod body_limits;
mod body_reader;
mod vm_limits;

pub use self::body_budget::BodyBudget;
pub use self::body_lease::BodyLease;
pub use self::body_limits::BodyLimits;
pub use self::body_reader::discard_body;
pub use self::body_reader::read_body;
pub use self::vm_limits::VmLimits;

use geraniumwinch_core::ErrorKind;

/// The result of taking in a request, with the reason for which it is refused.
pub type Result<T> = std::result::Result<T, ErrorKind>;
