//! Prevents a process from issuing commands after it may have lost the ownership of its domain.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::shared_lock::lock;

#[derive(Debug, Clone, Copy)]
struct FenceState {
    epoch: u64,
    last_tick: Instant,
    suspended: bool,
}

/// Allows commands only while this process is certain of its ownership.
///
/// A process that was paused detects that its last tick is at least half an ownership lease ago.
/// The fence is then suspended until the store or every other process of the domain has confirmed
/// the epoch.
#[derive(Debug)]
pub(crate) struct OwnerFence {
    max_tick_gap: Duration,
    state: Mutex<Option<FenceState>>,
}

impl OwnerFence {
    /// Creates a closed fence for an ownership lease.
    pub(crate) fn new(lease: Duration) -> Self {
        OwnerFence { max_tick_gap: lease / 2, state: Mutex::new(None) }
    }

    /// Opens the fence for an epoch.
    pub(crate) fn open(&self, epoch: u64, now: Instant) {
        *self.lock() = Some(FenceState { epoch, last_tick: now, suspended: false });
    }

    pub(crate) fn close(&self) {
        *self.lock() = None;
    }

    /// Returns the owned epoch, also while the fence is suspended.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.lock().map(|state| state.epoch)
    }

    /// Records that the process is running, and suspends the fence if the process was paused.
    ///
    /// Returns whether the fence was suspended by this call.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let max_tick_gap = self.max_tick_gap;
        let mut guard = self.lock();
        let Some(state) = guard.as_mut() else { return false };
        let paused = now.saturating_duration_since(state.last_tick) >= max_tick_gap;
        let newly_suspended = paused && !state.suspended;
        state.suspended |= paused;
        state.last_tick = now;
        newly_suspended
    }

    /// Returns whether the ownership has to be confirmed before the next command.
    pub(crate) fn suspended(&self) -> bool {
        self.lock().is_some_and(|state| state.suspended)
    }

    /// Ends the suspension after the epoch was confirmed.
    pub(crate) fn resume(&self, epoch: u64, now: Instant) {
        if let Some(state) = self.lock().as_mut()
            && state.epoch == epoch
        {
            state.suspended = false;
            state.last_tick = now;
        }
    }

    /// Returns whether a command of an epoch may be sent.
    pub(crate) fn allows(&self, epoch: u64, now: Instant) -> bool {
        let Some(state) = *self.lock() else { return false };
        let running = now.saturating_duration_since(state.last_tick) < self.max_tick_gap;
        state.epoch == epoch && !state.suspended && running
    }

    fn lock(&self) -> MutexGuard<'_, Option<FenceState>> {
        lock(&self.state)
    }
}
