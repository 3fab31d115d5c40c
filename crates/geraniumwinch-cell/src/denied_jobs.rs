//! Jobs that clients were told never to run.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;

/// The maximum time for which a copy of a submission may be delayed.
const MAX_COPY_DELAY: Duration = Duration::from_secs(30);

/// Jobs that clients were told never to run, with the time of the last such response.
///
/// An earlier submission of such a job may still arrive, since a forwarded call that has timed out
/// may be delayed. The client may also submit the job again, so submissions are told apart by the
/// time at which they were sent.
#[derive(Debug, Default)]
pub(crate) struct DeniedJobs {
    denied: HashMap<Name, BootTime>,
}

impl DeniedJobs {
    /// Records that a client was told that a job does not run.
    pub(crate) fn deny(&mut self, job: &Name, now: BootTime) {
        self.denied.insert(job.clone(), now);
    }

    /// Returns whether a submission that was sent at `sent`, or at an unknown time, may have been
    /// sent before its job was denied.
    pub(crate) fn precedes_denial(&self, job: &Name, sent: Option<BootTime>) -> bool {
        let denied = self.denied.get(job);
        denied.is_some_and(|&denied| sent.is_none_or(|sent| sent <= denied))
    }

    /// Removes the jobs whose submissions can no longer be delayed.
    pub(crate) fn remove_old(&mut self, now: BootTime) {
        self.denied.retain(|_, denied| now < *denied + MAX_COPY_DELAY);
    }
}
