//! Questions to the permission service, asked by this VM or another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::PermissionRequest;

use crate::CallError;
use crate::cell_metrics;
use crate::peer_message::AskOrder;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

use super::CellDispatcher;

/// The time that a call through a peer may take beyond that of the permission service.
const ASK_SLACK: Duration = Duration::from_millis(500);
/// How much sooner a permission is taken to end here than at the worker.
const PERMISSION_MARGIN: Duration = Duration::from_millis(80);

impl CellDispatcher {
    /// Has waiting questions asked by VMs that are free to.
    pub(super) fn assign_asks(self: &Rc<Self>, now: BootTime) {
        if self.desk.waiting() == 0 {
            return;
        }
        for (member, request) in self.desk.assign(&self.askers(now), now) {
            actix_rt::spawn(Rc::clone(self).ask(member, request));
        }
    }

    /// Returns the addresses of the VMs that can ask the permission service.
    pub(super) fn askers(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut members = vec![self.settings.peer_address];
        let live = self.members.borrow().live(now);
        members.extend(live.iter().map(|note| note.address));
        members
    }

    /// Has a question asked by a VM and takes the answer in.
    async fn ask(self: Rc<Self>, member: SocketAddr, request: PermissionRequest) {
        let began = self.ports.clock.now();
        let step = request.step.clone();
        let asked = request.workers.clone();
        let allowed = self.ask_through(member, request).await;
        let now = self.ports.clock.now();
        cell_metrics::record_ask(now.saturating_sub(began));
        self.desk.end(member, allowed.is_some(), now);
        log_event!(
            Info,
            "permission",
            step = step,
            asked = asked.len(),
            allowed = allowed.as_ref().map_or(-1, |allowed| allowed.len() as i64),
            ms = now.saturating_sub(began).as_millis()
        );
        let mut scheduler = self.scheduler.borrow_mut();
        match allowed {
            Some(allowed) => {
                let validity = scheduler.permission_validity(&step).unwrap_or_default();
                let until = now + validity.saturating_sub(PERMISSION_MARGIN);
                let grants = allowed
                    .into_iter()
                    .map(|(worker, ticket)| PermissionGrant { worker, ticket, until })
                    .collect();
                scheduler.permission_answered(&step, &asked, grants);
            }
            None => {
                cell_metrics::count_retry("permission");
                scheduler.permission_failed(&step, now);
            }
        }
        drop(scheduler);
        self.pump.notify_one();
    }

    /// Asks the permission service from this VM or another.
    async fn ask_through(
        &self,
        member: SocketAddr,
        request: PermissionRequest,
    ) -> Option<Vec<(Name, Name)>> {
        if member == self.settings.peer_address {
            let allowed = self.ports.permissions.request(request).await;
            return allowed.inspect_err(log_permission_failure).ok();
        }
        let order = AskOrder {
            job: request.step.job,
            occurrence: request.step.occurrence,
            step: request.step.step,
            workers: request.workers,
            call_time: request.call_time,
        };
        let timeout = request.call_time + ASK_SLACK;
        match self.peers.call(member, &PeerRequest::Ask(order), timeout).await {
            // The peer has logged why it has no answer.
            Ok(PeerReply::Allowed(allowed)) => allowed,
            Ok(_) => None,
            Err(error) => {
                log_permission_failure(&error);
                None
            }
        }
    }
}

/// Logs that a question to the permission service brought no answer.
fn log_permission_failure(error: &CallError) {
    log_event!(Warn, "permission-failed", error = error);
}
