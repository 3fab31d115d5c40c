//! The last response of the owner.

use std::time::Duration;

use geraniumwinch_fleet::BootTime;

use crate::peer_message::OwnerTime;

/// The last response of the owner to a heartbeat.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerContact {
    /// The epoch and the time at which the owner responded, on its clock.
    pub(crate) responded: OwnerTime,
    /// The local time at which the heartbeat was sent.
    pub(crate) sent: BootTime,
    /// The local time at which the response arrived.
    pub(crate) received: BootTime,
}

impl OwnerContact {
    /// Returns whether the heartbeat was sent less than `age` ago.
    pub(crate) fn is_recent(&self, now: BootTime, age: Duration) -> bool {
        now < self.sent + age
    }

    /// Returns the earliest time that the owner's clock may show at a local time.
    pub(crate) fn earliest_time(&self, now: BootTime) -> OwnerTime {
        let time = self.responded.time + now.saturating_sub(self.received);
        OwnerTime { epoch: self.responded.epoch, time }
    }
}
