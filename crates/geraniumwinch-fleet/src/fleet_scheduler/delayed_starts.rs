//! Start commands without a response that another incarnation of their worker may execute.
//!
//! Within an incarnation, a stop, a report or the end of the lease excludes such a command. The next
//! incarnation knows of none of these, and its clock starts anew. Until it is called with a raised
//! fencing token, only a ticket, which is valid in one incarnation and for a short time, keeps it from
//! executing the command.

use std::time::Duration;

use crate::BootTime;

use super::FleetScheduler;
use super::task_placement::TaskPlacement;

/// The maximum time after which a worker still executes a command that got no response.
pub(super) const MAX_COMMAND_DELAY: Duration = Duration::from_secs(13);

impl FleetScheduler {
    /// Returns whether a placement's start command may be executed by another incarnation of its
    /// worker after the given time. A worker that was replaced has no other incarnation.
    pub(super) fn may_start_later(
        &self,
        placement: &TaskPlacement,
        after: BootTime,
    ) -> bool {
        !self.workers[placement.worker].replaced && placement.copies.may_execute(after)
    }

    /// Returns whether another incarnation of a silent worker may still execute a placement's start
    /// command, or may be running the task because it has.
    pub(super) fn may_run_after_expiry(
        &self,
        placement: &TaskPlacement,
        now: BootTime,
    ) -> bool {
        // A restarted worker lists itself, so one that is still missing is taken to be gone.
        let listed = self.workers[placement.worker].listed;
        let executed = if listed { now.saturating_sub(self.lease) } else { now };
        self.may_start_later(placement, executed)
    }
}
