//! The decisions of the permission service for a unit.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::StartTicket;

use super::WorkerKey;
use super::permissions::PermissionState;

/// The permission to place a unit on a worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerGrant {
    pub(super) worker: WorkerKey,
    /// The ticket that proves the permission.
    pub(super) ticket: Name,
    /// When the ticket was received.
    pub(super) received: BootTime,
    /// When the ticket expires.
    pub(super) until: BootTime,
}

impl WorkerGrant {
    /// Returns the state of the permission.
    pub(super) fn state(&self, now: BootTime) -> PermissionState {
        if self.until > now { PermissionState::Valid } else { PermissionState::Expired }
    }

    /// Returns the proof of the permission for a start.
    pub(super) fn start_ticket(&self) -> StartTicket {
        StartTicket {
            text: self.ticket.clone(),
            received: self.received,
            until: self.until,
        }
    }
}

/// The decisions of the permission service for a unit, by worker.
///
/// Placement looks at the grants of each waiting unit in each pass, so both lists are kept sorted by
/// worker.
#[derive(Debug, Clone, Default)]
pub(super) struct PermissionTable {
    /// The workers about which the service has decided.
    requested: Vec<WorkerKey>,
    /// The newest grant of each allowed worker.
    grants: Vec<WorkerGrant>,
}

impl PermissionTable {
    /// Returns the state of the permission for a worker.
    pub(super) fn state(&self, worker: WorkerKey, now: BootTime) -> PermissionState {
        match self.find(worker) {
            Some(grant) => grant.state(now),
            None if self.is_requested(worker) => PermissionState::Denied,
            None => PermissionState::NotRequested,
        }
    }

    /// Returns the grant for a worker.
    pub(super) fn find(&self, worker: WorkerKey) -> Option<&WorkerGrant> {
        let position = self.position(worker).ok()?;
        Some(&self.grants[position])
    }

    /// Returns whether the permission for a worker was requested and decided.
    pub(super) fn is_requested(&self, worker: WorkerKey) -> bool {
        self.requested.binary_search(&worker).is_ok()
    }

    /// Returns whether the service has decided about no worker yet.
    pub(super) fn is_empty(&self) -> bool {
        self.requested.is_empty()
    }

    /// Returns the grants, expired ones included.
    pub(super) fn grants(&self) -> &[WorkerGrant] {
        &self.grants
    }

    /// Records the decision for some workers: the grants among them, and denials for the others. A
    /// worker that was granted once stays allowed.
    pub(super) fn record(&mut self, requested: Vec<WorkerKey>, grants: Vec<WorkerGrant>) {
        self.requested.extend(requested);
        self.requested.sort_unstable();
        self.requested.dedup();
        for grant in grants {
            match self.position(grant.worker) {
                Ok(position) => self.grants[position] = grant,
                Err(position) => self.grants.insert(position, grant),
            }
        }
    }

    /// Marks the grant for a worker as expired.
    pub(super) fn expire(&mut self, worker: WorkerKey, now: BootTime) {
        if let Ok(position) = self.position(worker) {
            let grant = &mut self.grants[position];
            grant.until = grant.until.min(now);
        }
    }

    /// Has all grants expire earlier by some time.
    pub(super) fn shorten(&mut self, time: Duration) {
        for grant in &mut self.grants {
            grant.until = grant.until.saturating_sub(time);
        }
    }

    /// Returns the position of a worker's grant, or where it would be inserted.
    fn position(&self, worker: WorkerKey) -> Result<usize, usize> {
        self.grants.binary_search_by_key(&worker, |grant| grant.worker)
    }
}
