//! Spreads questions to the permission service over the processes of the cell.
//!
//! The service serves one call of each VM at a time, so a short call that stands behind a long one
//! is late. Long calls therefore never take the last VMs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::PermissionRequest;

/// The share of VMs that long calls leave to short ones.
const SHORT_SHARE: f64 = 0.34;
/// How long after a short call some VMs are kept free of long ones.
const SHORT_MEMORY: Duration = Duration::from_secs(2);
/// How far ahead calls are queued at a VM whose present call is short.
const QUEUE_AHEAD: Duration = Duration::from_millis(40);
/// The time for which a VM that gave no answer gets no calls.
const REST: Duration = Duration::from_millis(1200);

/// A VM's open calls.
#[derive(Debug, Clone, Copy, Default)]
struct CallerLoad {
    /// When its open calls are expected to have ended.
    busy_until: BootTime,
    /// Whether a long call is open.
    long: bool,
    /// The number of open calls.
    open: u32,
    /// Until when it gets no calls.
    resting_until: BootTime,
}

/// The questions that wait and the VMs that can ask them.
#[derive(Debug, Default)]
pub(crate) struct PermissionDesk {
    waiting: RefCell<Vec<PermissionRequest>>,
    loads: RefCell<HashMap<SocketAddr, CallerLoad>>,
    /// When a short call was assigned last.
    last_short: Cell<BootTime>,
}

impl PermissionDesk {
    /// Adds questions.
    pub(crate) fn push(&self, requests: Vec<PermissionRequest>) {
        self.waiting.borrow_mut().extend(requests);
    }

    /// Assigns the most urgent questions to VMs that can ask them now.
    pub(crate) fn assign(
        &self,
        members: &[SocketAddr],
        now: BootTime,
    ) -> Vec<(SocketAddr, PermissionRequest)> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.sort_by_key(|request| request.priority);
        let mut assigned = Vec::new();
        let mut left = Vec::new();
        for request in waiting.drain(..) {
            match self.choose(members, request.is_long(), now) {
                Some(member) => {
                    self.begin(member, &request, now);
                    assigned.push((member, request));
                }
                None => left.push(request),
            }
        }
        *waiting = left;
        assigned
    }

    /// Returns the number of long calls that can be made at once.
    pub(crate) fn long_room(&self, members: &[SocketAddr], now: BootTime) -> usize {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let long = members.iter().filter(|member| load(member).long).count();
        let idle = members
            .iter()
            .filter(|member| load(member).open == 0 && load(member).resting_until <= now);
        let short_calls = now < self.last_short.get() + SHORT_MEMORY;
        let share = if short_calls { SHORT_SHARE } else { 0.0 };
        let spared = (members.len() as f64 * share).ceil() as usize;
        let most = members.len().saturating_sub(spared).max(1);
        idle.count().min(most.saturating_sub(long))
    }

    /// Chooses a VM for a call.
    fn choose(
        &self,
        members: &[SocketAddr],
        long: bool,
        now: BootTime,
    ) -> Option<SocketAddr> {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let rested = || members.iter().filter(|member| load(member).resting_until <= now);
        let idle = rested().find(|member| load(member).open == 0).copied();
        if long {
            return idle.filter(|_| self.long_room(members, now) > 0);
        }
        idle.or_else(|| {
            rested()
                .filter(|member| !load(member).long)
                .filter(|member| load(member).busy_until < now + QUEUE_AHEAD)
                .min_by_key(|member| load(member).busy_until)
                .copied()
        })
    }

    /// Notes that a VM makes a call.
    fn begin(&self, member: SocketAddr, request: &PermissionRequest, now: BootTime) {
        if !request.is_long() {
            self.last_short.set(now);
        }
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member).or_default();
        load.open += 1;
        load.long |= request.is_long();
        load.busy_until = load.busy_until.max(now) + request.call_time;
    }

    /// Notes that a call of a VM has ended, with an answer or without.
    pub(crate) fn end(&self, member: SocketAddr, answered: bool, now: BootTime) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member).or_default();
        load.open = load.open.saturating_sub(1);
        if load.open == 0 {
            load.long = false;
            load.busy_until = now;
        }
        if !answered {
            load.resting_until = now + REST;
        }
    }

    /// Returns the number of questions that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }
}
