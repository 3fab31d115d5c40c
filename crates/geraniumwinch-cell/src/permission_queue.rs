//! Distributes calls to the permission service over the VMs of the cell.
//!
//! The service handles one call per VM at a time, so a short call that waits behind a long one is
//! late. Some VMs are therefore reserved for short calls.
//!
//! The scheduler is told what the VMs can send soon and asks for no more, so requests only wait here
//! when VMs became busy or were lost meanwhile. They are sent in the order in which their jobs start,
//! with the accounts of a priority taking turns, and dropped when nobody can use the response.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::CallBudget;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::RequestValue;

use crate::CallUsage;

/// The share of VMs that are reserved for short calls.
const RESERVED_SHARE: f64 = 0.34;
/// The minimum number of VMs of which some are reserved. Fewer make calls of all kinds, since each of
/// them is a large part of what the cell can do.
const MIN_RESERVING_VMS: usize = 3;
/// How long VMs stay reserved after the last short call.
const SHORT_CALL_WINDOW: Duration = Duration::from_secs(2);
/// The maximum expected wait of a short call that is assigned to a VM whose open calls are short.
const MAX_QUEUE_AHEAD: Duration = Duration::from_millis(40);
/// How long a VM gets no calls after one failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1200);
/// How far ahead the time that VMs can spend on short calls is handed out at least.
const MIN_BUDGET_AHEAD: Duration = Duration::from_millis(150);
/// How much longer than expected a VM's calls may take before it counts as unavailable.
const LATE_CALL: Duration = Duration::from_millis(250);
/// The share of VMs without calls below which calls are scarce.
const SCARCE_IDLE_SHARE: f64 = 0.5;

/// The class of calls for overdue jobs, which come after all others.
const OVERDUE_CLASS: u32 = u32::MAX;

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

impl MemberLoad {
    /// Returns whether the VM can get further calls: none has failed recently, and none is open that
    /// should have ended long ago.
    fn is_available(&self, now: BootTime) -> bool {
        let late = self.open > 0 && self.busy_until + LATE_CALL < now;
        self.backoff_until <= now && !late
    }

    /// Returns whether the VM can make a call at once.
    fn is_idle(&self, now: BootTime) -> bool {
        self.open == 0 && self.is_available(now)
    }

    /// Returns whether the VM can make a call before the given time.
    fn is_idle_by(&self, time: BootTime, now: BootTime) -> bool {
        self.is_idle(now) || (self.is_available(now) && self.busy_until < time)
    }

    /// Returns the time until `end` that the VM can spend on short calls.
    fn short_time(&self, end: BootTime, now: BootTime) -> Duration {
        if self.long || !self.is_available(now) {
            return Duration::ZERO;
        }
        end.saturating_sub(self.busy_until.max(now))
    }
}

/// What becomes of the pending requests.
#[derive(Debug, Default)]
pub struct CallAssignment {
    /// The requests to send now, with the VM that makes the call.
    pub calls: Vec<(SocketAddr, PermissionRequest)>,
    /// The requests that are not sent.
    pub dropped: Vec<PermissionRequest>,
}

/// The pending permission requests and the load of the VMs.
#[derive(Debug, Default)]
pub struct PermissionQueue {
    pending: RefCell<Vec<PermissionRequest>>,
    loads: RefCell<HashMap<SocketAddr, MemberLoad>>,
    /// The number of open calls of each account.
    open_calls: RefCell<HashMap<Name, usize>>,
    usage: RefCell<CallUsage>,
    /// The time at which the last short call was assigned.
    last_short: Cell<BootTime>,
}

impl PermissionQueue {
    /// Adds requests.
    pub fn push(&self, requests: Vec<PermissionRequest>) {
        self.pending.borrow_mut().extend(requests);
    }

    /// Assigns pending requests in their order to VMs that are free to make the call, and drops those
    /// whose response nobody could use. `value` returns what the response would be good for.
    pub fn assign(
        &self,
        members: &[SocketAddr],
        now: BootTime,
        value: impl Fn(&PermissionRequest) -> RequestValue,
    ) -> CallAssignment {
        let mut assignment = CallAssignment::default();
        let mut waiting = Vec::new();
        for request in self.take_in_order() {
            let value = value(&request);
            if value == RequestValue::Useless || now >= request.send_by {
                assignment.dropped.push(request);
                continue;
            }
            match self.choose(members, request.is_long(), now) {
                Some(member) => {
                    self.begin(member, &request, now);
                    assignment.calls.push((member, request));
                }
                None => waiting.push((value, request)),
            }
        }
        let dropped = &mut assignment.dropped;
        *self.pending.borrow_mut() = keep_waiting(waiting, members.len(), now, dropped);
        assignment
    }

    /// Removes all pending requests in the order in which they are sent: that of their jobs, where
    /// the accounts of a priority take turns. An account's turns begin after its open calls.
    fn take_in_order(&self) -> Vec<PermissionRequest> {
        let mut pending = std::mem::take(&mut *self.pending.borrow_mut());
        pending.sort_by_key(|request| request.order);
        let open_calls = self.open_calls.borrow();
        let mut turns = HashMap::new();
        let mut ordered = Vec::with_capacity(pending.len());
        for request in pending {
            let order = request.order;
            let class = (order.overdue, order.priority, order.late);
            let open = open_calls.get(&request.account).copied().unwrap_or_default();
            let turn = turns.entry((class, request.account.clone())).or_insert(open);
            ordered.push(((class, *turn, order.serial), request));
            *turn += 1;
        }
        ordered.sort_by_key(|(place, _)| *place);
        ordered.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns the calls that the VMs can make until the next pass beside those that are pending.
    /// `period` is the expected time until that pass requests further ones.
    pub fn budget(
        &self,
        members: &[SocketAddr],
        now: BootTime,
        period: Duration,
    ) -> CallBudget {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let end = now + period.max(MIN_BUDGET_AHEAD);
        let short_time: Duration =
            members.iter().map(|member| load(member).short_time(end, now)).sum();
        let pending = self.pending.borrow();
        let (long, short): (Vec<&PermissionRequest>, Vec<&PermissionRequest>) =
            pending.iter().partition(|request| request.is_long());
        let waiting: Duration = short.iter().map(|request| request.call_time).sum();
        CallBudget {
            long_calls: self
                .long_call_capacity(members, now + period, now)
                .saturating_sub(long.len()),
            short_time: short_time.saturating_sub(waiting),
            scarce: self.is_scarce(members, now),
        }
    }

    /// Returns whether calls are scarce: requests wait, or most VMs are busy.
    pub fn is_scarce(&self, members: &[SocketAddr], now: BootTime) -> bool {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let idle = members.iter().filter(|member| load(member).is_idle(now)).count();
        let few_idle = (idle as f64) < members.len() as f64 * SCARCE_IDLE_SHARE;
        few_idle || !self.pending.borrow().is_empty()
    }

    /// Returns the number of additional long calls that can begin at the given time, which is now or
    /// soon.
    fn long_call_capacity(
        &self,
        members: &[SocketAddr],
        time: BootTime,
        now: BootTime,
    ) -> usize {
        let loads = self.loads.borrow();
        let load = |member: &SocketAddr| loads.get(member).copied().unwrap_or_default();
        let idle = |member: &SocketAddr| load(member).is_idle_by(time, now);
        let long = members.iter().filter(|member| load(member).long && !idle(member));
        let short_calls = now < self.last_short.get() + SHORT_CALL_WINDOW;
        let share = if short_calls { RESERVED_SHARE } else { 0.0 };
        let reserved = match members.len() {
            0..MIN_RESERVING_VMS => 0,
            vms => (vms as f64 * share).ceil() as usize,
        };
        let max_long = members.len().saturating_sub(reserved).max(1);
        let idle = members.iter().filter(|member| idle(member));
        idle.count().min(max_long.saturating_sub(long.count()))
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
        let available = || members.iter().filter(|member| load(member).is_available(now));
        let idle = available().find(|member| load(member).open == 0).copied();
        if long {
            return idle.filter(|_| self.long_call_capacity(members, now, now) > 0);
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
        let order = request.order;
        let class = if order.overdue { OVERDUE_CLASS } else { order.priority };
        self.usage.borrow_mut().record(class, request.call_time, now);
        *self.open_calls.borrow_mut().entry(request.account.clone()).or_default() += 1;
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member).or_default();
        load.open += 1;
        load.long |= request.is_long();
        load.busy_until = load.busy_until.max(now) + request.call_time;
    }

    /// Records the end of an account's call, whether it succeeded or failed.
    pub fn end(
        &self,
        member: SocketAddr,
        account: &Name,
        succeeded: bool,
        now: BootTime,
    ) {
        self.end_account_call(account);
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

    /// Counts the end of one of an account's calls.
    fn end_account_call(&self, account: &Name) {
        let mut open_calls = self.open_calls.borrow_mut();
        let Some(open) = open_calls.get_mut(account) else { return };
        *open -= 1;
        if *open == 0 {
            open_calls.remove(account);
        }
    }

    /// Returns how many of the given number of VMs can make calls of a priority.
    pub fn available(&self, priority: u32, vms: usize, now: BootTime) -> f64 {
        self.usage.borrow().available(priority, vms, now)
    }

    /// Returns the number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns the number of open calls.
    pub fn open_count(&self) -> usize {
        self.open_calls.borrow().values().sum()
    }
}

/// Returns the requests that go on waiting, and moves the others to `dropped`: those that should let
/// others go first, and those that would wait until they are of no use.
fn keep_waiting(
    waiting: Vec<(RequestValue, PermissionRequest)>,
    members: usize,
    now: BootTime,
    dropped: &mut Vec<PermissionRequest>,
) -> Vec<PermissionRequest> {
    let useful = |request: &PermissionRequest| {
        let (long, priority) = (request.is_long(), request.order.priority);
        waiting.iter().any(|(value, other)| {
            let first = other.is_long() == long && other.order.priority <= priority;
            *value == RequestValue::Useful && first
        })
    };
    let others_wait: Vec<bool> =
        waiting.iter().map(|(_, request)| useful(request)).collect();
    let vms = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    let mut ahead = Duration::ZERO;
    let mut kept = Vec::new();
    for ((value, request), others_wait) in waiting.into_iter().zip(others_wait) {
        let deferred = value == RequestValue::Deferrable && others_wait;
        if deferred || now + ahead / vms >= request.send_by {
            dropped.push(request);
            continue;
        }
        ahead += request.call_time;
        kept.push(request);
    }
    kept
}
