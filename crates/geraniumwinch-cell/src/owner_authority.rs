//! The owner's authority to send commands to workers.

use std::cell::Cell;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use tokio::sync::Notify;

/// How much earlier than in the store the authority to start tasks expires locally.
const START_MARGIN: Duration = Duration::from_millis(300);

/// The authority of one epoch's owner to send commands, which expires unless it is renewed.
#[derive(Debug)]
pub(crate) struct OwnerAuthority {
    /// The epoch, which is the lowest fencing token of its commands.
    pub(crate) epoch: u64,
    /// The lease in the store that the ownership record is attached to.
    pub(crate) lease: u64,
    ttl: Duration,
    renewed_at: Cell<BootTime>,
    lost: Cell<bool>,
    /// Whether a task of the owner has panicked.
    panicked: Cell<bool>,
    renewal_requested: Notify,
    /// Notified after each renewal and when the ownership is known to have ended.
    changed: Notify,
}

impl OwnerAuthority {
    /// Creates the authority of an owner whose lease was granted by a call sent at `renewed_at`.
    pub(crate) fn new(
        epoch: u64,
        lease: u64,
        ttl: Duration,
        renewed_at: BootTime,
    ) -> Self {
        let renewed_at = Cell::new(renewed_at);
        let (lost, panicked) = (Cell::new(false), Cell::new(false));
        let (renewal_requested, changed) = (Notify::new(), Notify::new());
        OwnerAuthority {
            epoch,
            lease,
            ttl,
            renewed_at,
            lost,
            panicked,
            renewal_requested,
            changed,
        }
    }

    /// Records that the lease was renewed by a call sent at `sent`.
    pub(crate) fn renew(&self, sent: BootTime) {
        self.renewed_at.set(self.renewed_at.get().max(sent));
        self.changed.notify_waiters();
    }

    /// Requests an immediate renewal, because it is uncertain whether the ownership has ended.
    pub(crate) fn request_renewal(&self) {
        self.renewal_requested.notify_one();
    }

    /// Waits until a renewal is requested, for at most `wait`.
    pub(crate) async fn await_renewal_request(&self, wait: Duration) {
        // A timeout needs no handling: the lease is renewed either way.
        let _ = tokio::time::timeout(wait, self.renewal_requested.notified()).await;
    }

    /// Records that another process may own the cell.
    pub(crate) fn mark_lost(&self) {
        self.lost.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether a renewal that was sent at `since` or later has succeeded. No other process owned
    /// the cell at `since` then.
    pub(crate) fn is_confirmed(&self, since: BootTime) -> bool {
        !self.is_lost() && self.renewed_at.get() >= since
    }

    /// Requests a renewal, waits for it for at most `wait`, and returns whether the ownership
    /// [is confirmed](Self::is_confirmed).
    pub(crate) async fn confirm(&self, since: BootTime, wait: Duration) -> bool {
        self.request_renewal();
        let renewed = || self.renewed_at.get() >= since;
        let confirmed = async {
            loop {
                let changed = self.changed.notified();
                if self.is_lost() || renewed() {
                    return;
                }
                changed.await;
            }
        };
        // A timeout needs no handling: the time of the last renewal shows the result.
        let _ = tokio::time::timeout(wait, confirmed).await;
        self.is_confirmed(since)
    }

    /// Records that another process may own the cell, and logs what has shown it.
    pub(crate) fn report_lost(&self, by: &str) {
        if !self.is_lost() {
            log_event!(Warn, "ownership-lost", epoch = self.epoch, by = by);
        }
        self.mark_lost();
    }

    /// Gives up the ownership after a task of the owner has panicked.
    pub(crate) fn report_panic(&self) {
        self.panicked.set(true);
        self.report_lost("panic");
    }

    /// Returns whether a task of the owner has panicked.
    pub(crate) fn has_panicked(&self) -> bool {
        self.panicked.get()
    }

    /// Returns whether the ownership is known to have ended.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Returns whether tasks may be started.
    pub(crate) fn may_start(&self, now: BootTime) -> bool {
        !self.lost.get() && now + START_MARGIN < self.renewed_at.get() + self.ttl
    }

    /// Returns whether the leases of workers may be extended.
    pub(crate) fn may_extend(&self, now: BootTime) -> bool {
        !self.lost.get() && now < self.renewed_at.get() + self.ttl
    }
}
