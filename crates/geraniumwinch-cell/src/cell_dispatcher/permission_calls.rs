//! Calls to the permission service, made by this VM or by a peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::PermissionCounts;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::PermissionRequest;

use crate::CallError;
use crate::WorkKind;
use crate::cell_metrics;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_message::PermissionMessage;
use crate::task_guard::spawn_owner_task;

use super::CellDispatcher;

/// The additional time for a call that is made by a peer.
const PEER_CALL_SLACK: Duration = Duration::from_millis(500);
/// The minimum time between two assignments of pending requests beside those of passes. It is below
/// the time for which short calls queue at a VM.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(20);
/// How much earlier than on the worker a permission is considered expired here.
const PERMISSION_MARGIN: Duration = Duration::from_millis(80);

impl CellDispatcher {
    /// Assigns pending permission requests to VMs that are free to make the call.
    pub(super) fn assign_requests(self: &Rc<Self>, now: BootTime) {
        if self.permission_queue.pending_count() == 0 {
            return;
        }
        self.assigned_at.set(now);
        let unix_time = self.ports.clock.unix_time();
        let members = self.permission_callers(now);
        let mut scheduler = self.scheduler.borrow_mut();
        let worth =
            |request: &PermissionRequest| scheduler.request_value(request, unix_time);
        let assignment = self.permission_queue.assign(&members, now, worth);
        for request in assignment.dropped {
            scheduler.permission_dropped(&request.step);
        }
        for (member, request) in assignment.calls {
            let call = Rc::clone(self).request_permission(member, request);
            let call = self.ports.meter.meter(WorkKind::Permissions, call);
            spawn_owner_task("permission-call", &self.authority, call);
        }
    }

    /// Assigns pending requests after a call, unless that was done just before.
    fn assign_between_passes(self: &Rc<Self>, now: BootTime) {
        if now >= self.assigned_at.get() + ASSIGN_INTERVAL {
            self.assign_requests(now);
        }
    }

    /// Logs and counts what has become of the permissions since the last report.
    pub(super) fn report_permissions(&self, now: BootTime) {
        let counts = self.scheduler.borrow().permission_counts();
        let added = counts.since(&self.reported_permissions.replace(counts));
        cell_metrics::count_permissions(&added);
        let (waiting, open) =
            (self.permission_queue.pending_count(), self.permission_queue.open_count());
        if added == PermissionCounts::default() && waiting == 0 && open == 0 {
            return;
        }
        let callers = self.permission_callers(now);
        log_event!(
            Info,
            "permissions",
            asked = added.asked,
            granted = added.granted,
            used = added.used,
            lapsed = added.lapsed,
            failed = added.failed,
            dropped = added.dropped,
            waiting = waiting,
            open = open,
            callers = callers.len(),
            scarce = self.permission_queue.is_scarce(&callers, now)
        );
    }

    /// Returns the addresses of the VMs that can call the permission service.
    pub(super) fn permission_callers(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut members = vec![self.settings.peer_address];
        let live = self.members.borrow().live(now);
        members.extend(live.iter().map(|member| member.address));
        members
    }

    /// Has a VM request a permission and passes the result to the scheduler.
    async fn request_permission(
        self: Rc<Self>,
        member: SocketAddr,
        request: PermissionRequest,
    ) {
        let began = self.ports.clock.now();
        let step = request.step.clone();
        let account = request.account.clone();
        let requested = request.workers.clone();
        let allowed = self.request_through(member, request).await;
        let now = self.ports.clock.now();
        cell_metrics::record_permission_call(now.saturating_sub(began));
        self.permission_queue.end(member, &account, allowed.is_some(), now);
        log_event!(
            Info,
            "permission",
            step = step,
            asked = requested.len(),
            allowed = allowed.as_ref().map_or(-1, |allowed| allowed.len() as i64),
            ms = now.saturating_sub(began).as_millis()
        );
        let mut scheduler = self.scheduler.borrow_mut();
        match allowed {
            Some(allowed) => {
                let validity = scheduler.permission_validity(&step).unwrap_or_default();
                let until =
                    now.saturating_add(validity.saturating_sub(PERMISSION_MARGIN));
                let grants = allowed
                    .into_iter()
                    .map(|(worker, ticket)| PermissionGrant { worker, ticket, until })
                    .collect();
                scheduler.permission_response(&step, &requested, grants, now);
            }
            None => {
                cell_metrics::count_retry("permission");
                scheduler.permission_failed(&step, now);
            }
        }
        drop(scheduler);
        self.assign_between_passes(now);
        self.pass_due.notify_one();
    }

    /// Calls the permission service from this VM or through a peer.
    async fn request_through(
        &self,
        member: SocketAddr,
        request: PermissionRequest,
    ) -> Option<Vec<(Name, Name)>> {
        if member == self.settings.peer_address {
            let allowed = self.ports.permissions.request(request).await;
            return allowed.inspect_err(log_permission_failure).ok();
        }
        let message = PermissionMessage {
            job: request.step.job,
            occurrence: request.step.occurrence,
            step: request.step.step,
            workers: request.workers,
            call_time: request.call_time,
        };
        let timeout = request.call_time + PEER_CALL_SLACK;
        match self.peers.call(member, &PeerRequest::Permission(message), timeout).await {
            // The peer has logged why the call failed.
            Ok(PeerReply::Allowed(allowed)) => allowed,
            Ok(_) => None,
            Err(error) => {
                log_permission_failure(&error);
                None
            }
        }
    }
}

/// Logs that a call to the permission service failed.
fn log_permission_failure(error: &CallError) {
    log_event!(Warn, "permission-failed", error = error);
}
