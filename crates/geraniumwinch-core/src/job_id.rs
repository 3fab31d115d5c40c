//! Identifiers of jobs.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// An identifier that names the failure domain, the epoch of its owner and a serial number.
///
/// Its text is `DOMAIN.EPOCH.SERIAL`. An epoch has one owner, so that no identifier is given twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The failure domain whose dispatcher accepted the job.
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
