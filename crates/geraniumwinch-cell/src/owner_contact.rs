//! The contact of a process with the owner of the cell.
//!
//! It addresses owners that fall silent without closing their connections. A process suspects the owner
//! once a heartbeat gets no response for much longer than usual, so a prompt owner is missed within a
//! fraction of a second, and one on a slow VM or under load is given more time.

use std::time::Duration;

use geraniumwinch_fleet::BootTime;

use crate::ResponseTimes;

/// The minimum time after which a heartbeat without a response makes the owner suspect, so that brief
/// pauses of the owner go unnoticed.
const MIN_TIMEOUT: Duration = Duration::from_millis(200);
/// The same while the owner's response times are not known; also the maximum.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);
/// The age up to which a response shows that the owner is up, without another heartbeat.
const FRESH_AGE: Duration = Duration::from_millis(100);
/// The age up to which a missed heartbeat shows that the owner is silent, without another one. A process
/// that was suspended meanwhile finds its last heartbeat older.
const MISS_AGE: Duration = Duration::from_millis(800);

/// The heartbeats of a process to the owner and their responses.
#[derive(Debug, Clone, Default)]
pub struct OwnerContact {
    /// The epoch of the owner that has responded last.
    epoch: u64,
    /// When the last heartbeat with a response was sent; `None` before the first one.
    responded: Option<BootTime>,
    /// The last heartbeat without a response: the epoch of the owner that it was for, and when it was
    /// sent; `None` if a later one has got one.
    missed: Option<(u64, BootTime)>,
    times: ResponseTimes,
}

impl OwnerContact {
    /// Records the response of an epoch's owner to a heartbeat that was sent at `sent`. Those of former
    /// owners are ignored.
    pub fn record_response(&mut self, epoch: u64, sent: BootTime, took: Duration) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.times = ResponseTimes::default();
            self.epoch = epoch;
        }
        self.times.record(took);
        self.responded = self.responded.max(Some(sent));
        self.missed = self.missed.filter(|&(_, missed)| missed > sent);
    }

    /// Records a heartbeat to an epoch's owner that was sent at `sent` and got no response in time.
    pub fn record_miss(&mut self, epoch: u64, sent: BootTime) {
        if self.responded.is_none_or(|responded| responded < sent) {
            self.missed = self.missed.max(Some((epoch, sent)));
        }
    }

    /// Returns the epoch of the owner that has responded last; 0 before the first response.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns how long to wait for the response of an epoch's owner to a heartbeat.
    pub fn timeout(&self, epoch: u64) -> Duration {
        if epoch == self.epoch {
            self.times.late_after(MIN_TIMEOUT, MAX_TIMEOUT)
        } else {
            MAX_TIMEOUT
        }
    }

    /// Returns whether the owner has responded within `age`.
    pub fn responded_within(&self, age: Duration, now: BootTime) -> bool {
        self.responded.is_some_and(|responded| now < responded + age)
    }

    /// Returns whether the owner of an epoch, or of a later one, is up according to this process; `None`
    /// if only another heartbeat can tell.
    pub fn sees(&self, epoch: u64, now: BootTime) -> Option<bool> {
        let missed = self.missed.is_some_and(|(missed_epoch, missed)| {
            missed_epoch >= epoch && now < missed + MISS_AGE
        });
        if missed {
            return Some(false);
        }
        let seen = self.epoch >= epoch && self.responded_within(FRESH_AGE, now);
        seen.then_some(true)
    }
}
