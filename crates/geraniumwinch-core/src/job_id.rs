//! Job identifiers.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The identifier of a job, written as `DOMAIN.EPOCH.SERIAL`.
///
/// Identifiers are unique because an epoch of a domain has only one owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The failure domain that accepted the job.
    pub domain: Name,
    /// The epoch of the owner that accepted the job.
    pub epoch: u64,
    /// The serial number within the epoch.
    pub serial: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.domain, self.epoch, self.serial)
    }
}

impl FromStr for JobId {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let mut parts = text.rsplitn(3, '.');
        let serial = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let epoch = parts.next().and_then(|part| part.parse().ok()).ok_or(())?;
        let domain = parts.next().filter(|part| !part.is_empty()).ok_or(())?.into();
        Ok(JobId { domain, epoch, serial })
    }
}
