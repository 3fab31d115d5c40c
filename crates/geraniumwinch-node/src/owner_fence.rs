//! The guard that keeps a process from deciding after it may have lost its domain.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::shared_lock::lock;

/// The state of the guard.
#[derive(Debug, Clone, Copy)]
struct FenceState {
    epoch: u64,
    last_tick: Instant,
    suspended: bool,
}

/// Lets commands pass only while this process is certain of its ownership.
///
/// A process that was paused finds that its last tick lies back further than a part of the lease.
/// It then decides nothing until the store or every other process of the domain has confirmed its
/// epoch.
#[derive(Debug)]
pub(crate) struct OwnerFence {
    gap: Duration,
    state: Mutex<Option<FenceState>>,
}

impl OwnerFence {
    /// Creates a closed fence for an ownership lease.
    pub(crate) fn new(lease: Duration) -> Self {
        OwnerFence { gap: lease / 2, state: Mutex::new(None) }
    }

    /// Opens the fence for an epoch.
    pub(crate) fn open(&self, epoch: u64, now: Instant) {
        *self.lock() = Some(FenceState { epoch, last_tick: now, suspended: false });
    }

    /// Closes the fence.
    pub(crate) fn close(&self) {
        *self.lock() = None;
    }

    /// Returns the epoch that is owned, even while the fence is suspended.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.lock().map(|state| state.epoch)
    }

    /// Notes that the process runs; suspends the fence after a gap and returns whether it did.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let gap = self.gap;
        let mut guard = self.lock();
        let Some(state) = guard.as_mut() else { return false };
        let paused = now.saturating_duration_since(state.last_tick) >= gap;
        let newly = paused && !state.suspended;
        state.suspended |= paused;
        state.last_tick = now;
        newly
    }

    /// Returns whether the ownership has to be confirmed.
    pub(crate) fn suspended(&self) -> bool {
        self.lock().is_some_and(|state| state.suspended)
    }

    /// Ends a suspension of an epoch that was confirmed.
    pub(crate) fn resume(&self, epoch: u64, now: Instant) {
        if let Some(state) = self.lock().as_mut()
            && state.epoch == epoch
        {
            state.suspended = false;
            state.last_tick = now;
        }
    }

    /// Returns whether a command of an epoch may be sent now.
    pub(crate) fn allows(&self, epoch: u64, now: Instant) -> bool {
        let Some(state) = *self.lock() else { return false };
        let running = now.saturating_duration_since(state.last_tick) < self.gap;
        state.epoch == epoch && !state.suspended && running
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, Option<FenceState>> {
        lock(&self.state)
    }
}
