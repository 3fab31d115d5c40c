//! Distributes calls to the permission service over the VMs of the cell.
//!
//! The service handles one call per VM at a time, so a short call that waits behind a long one is
//! late. Some VMs are therefore reserved for short calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::PermissionRequest;

/// The share of VMs that are reserved for short calls.
const RESERVED_SHARE: f64 = 0.34;
/// How long VMs stay reserved after the last short call.
const SHORT_CALL_WINDOW: Duration = Duration::from_secs(2);
/// The maximum expected wait of a short call that is assigned to a VM whose open calls are short.
const MAX_QUEUE_AHEAD: Duration = Duration::from_millis(40);
/// How long a VM gets no calls after one failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1200);

/// The open calls of a VM.
#[derive(Debug, Clone, Copy, Default)]
struct MemberLoad {
    /// The expected end of the open calls.
    busy_until: BootTime,
    /// Whether one of the open calls is long.
    long: bool,
    /// The number of open calls.
    open: u32,
    /// The time until which the VM gets no calls.
    backoff_until: BootTime,
}

/// The pending permission requests and the load of the VMs.
#[derive(Debug, Default)]
pub(crate) struct PermissionQueue {
    pending: RefCell<Vec<PermissionRequest>>,
    loads: RefCell<HashMap<SocketAddr, MemberLoad>>,
    /// The time at which the last short call was assigned.
    last_short: Cell<BootTime>,
}

impl PermissionQueue {
    /// Adds requests.
    pub(crate) fn push(&self, requests: Vec<PermissionRequest>) {
        self.pending.borrow_mut().extend(requests);
    }

    /// Assigns pending requests in order of priority to VMs that are free to make the call.
    pub(crate) fn assign(
        &self,
        members: &[SocketAddr],
        now: BootTime,
    ) -> Vec<(SocketAddr, PermissionRequest)> {
        let mut pending = self.pending.borrow_mut();
        pending.sort_by_key(|request| request.priority);
        let mut assigned = Vec::new();
        let mut left = Vec::new();
        for request in pending.drain(..) {
            match self.choose(members, request.is_long(), now) {
                Some(member) => {
                    self.begin(member, &request, now);
                    assigned.push((member, request));
                }
                None => left.push(request),
            }
        }
        *pending = left;
        assigned
    }

    /// Returns the number of additional long calls that can be made at once.
    pub(crate) fn long_call_capacity(
        &self,
        members: &[SocketAddr],
        now: BootTime,
    ) -> usize {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let long = members.iter().filter(|member| load(member).long).count();
        let idle = members
            .iter()
            .filter(|member| load(member).open == 0 && load(member).backoff_until <= now);
        let short_calls = now < self.last_short.get() + SHORT_CALL_WINDOW;
        let share = if short_calls { RESERVED_SHARE } else { 0.0 };
        let reserved = (members.len() as f64 * share).ceil() as usize;
        let max_long = members.len().saturating_sub(reserved).max(1);
        idle.count().min(max_long.saturating_sub(long))
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
        let available =
            || members.iter().filter(|member| load(member).backoff_until <= now);
        let idle = available().find(|member| load(member).open == 0).copied();
        if long {
            return idle.filter(|_| self.long_call_capacity(members, now) > 0);
        }
        idle.or_else(|| {
            available()
                .filter(|member| !load(member).long)
                .filter(|member| load(member).busy_until < now + MAX_QUEUE_AHEAD)
                .min_by_key(|member| load(member).busy_until)
                .copied()
        })
    }

    /// Records the start of a call.
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

    /// Records the end of a call, whether it succeeded or failed.
    pub(crate) fn end(&self, member: SocketAddr, succeeded: bool, now: BootTime) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member).or_default();
        load.open = load.open.saturating_sub(1);
        if load.open == 0 {
            load.long = false;
            load.busy_until = now;
        }
        if !succeeded {
            load.backoff_until = now + FAILURE_BACKOFF;
        }
    }

    /// Returns the number of pending requests.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }
}
