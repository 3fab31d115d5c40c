//! The right to give orders.

use std::cell::Cell;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use tokio::sync::Notify;

/// How much sooner the right ends here than at the store.
const START_MARGIN: Duration = Duration::from_millis(300);

/// The right of one epoch's owner to give orders, which ends unless it is renewed_at.
#[derive(Debug)]
pub(crate) struct OwnerAuthority {
    /// The epoch: the fencing token of all orders.
    pub(crate) epoch: u64,
    /// The store's lease that the ownership ends with.
    pub(crate) lease: u64,
    ttl: Duration,
    renewed_at: Cell<BootTime>,
    lost: Cell<bool>,
    renewal_requested: Notify,
}

impl OwnerAuthority {
    /// Creates the right of an owner whose lease was granted by a call sent at `renewed_at`.
    pub(crate) fn new(
        epoch: u64,
        lease: u64,
        ttl: Duration,
        renewed_at: BootTime,
    ) -> Self {
        let renewed_at = Cell::new(renewed_at);
        let (lost, renewal_requested) = (Cell::new(false), Notify::new());
        OwnerAuthority { epoch, lease, ttl, renewed_at, lost, renewal_requested }
    }

    /// Notes that the lease was renewed_at by a call sent at `sent`.
    pub(crate) fn renew(&self, sent: BootTime) {
        self.renewed_at.set(self.renewed_at.get().max(sent));
    }

    /// Notes that the store has refused or not answered a call, so that a renewal is due now.
    pub(crate) fn request_renewal(&self) {
        self.renewal_requested.notify_one();
    }

    /// Waits until a renewal is due, at most for a time.
    pub(crate) async fn await_renewal_request(&self, wait: Duration) {
        // An elapsed wait needs no handling: a renewal is due either way.
        let _ = tokio::time::timeout(wait, self.renewal_requested.notified()).await;
    }

    /// Notes that another process may own the cell.
    pub(crate) fn mark_lost(&self) {
        self.lost.set(true);
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
