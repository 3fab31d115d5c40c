//! The actor messages that the dispatcher handles.

use std::time::Instant;

use actix::Context;
use actix::Handler;
use actix::Message;
use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::Name;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskReport;
use geraniumwinch_wire::HandoverGrant;
use geraniumwinch_wire::HandoverState;
use geraniumwinch_wire::HeldGrant;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::PeerName;

use crate::node_metrics;
use crate::vm_list::DomainVms;
use crate::worker_client::WorkerRequest;

use super::Dispatcher;

/// A call from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerCall {
    /// The calling process.
    pub(crate) from: PeerIdentity,
    /// The correlation identifier of the call; 0 if no response is expected.
    pub(crate) correlation: u128,
    /// The content.
    pub(crate) body: PeerMessage,
}

/// The result of a call to a worker, or the sending of a heartbeat.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum WorkerEvent {
    /// A heartbeat that renews leases is being sent.
    HeartbeatSent {
        worker: Name,
        /// When it is sent.
        sent: Instant,
    },
    /// A worker responded to a heartbeat.
    Heartbeat {
        worker: Name,
        /// When it was sent.
        sent: Instant,
        /// The inventory, or `None` if nothing has changed.
        tasks: Option<Vec<TaskReport>>,
    },
    /// A heartbeat got no response.
    HeartbeatFailed { worker: Name },
    /// A start was confirmed.
    Started {
        /// The attempt.
        task: TaskId,
    },
    /// A start was refused.
    StartRefused {
        /// The attempt.
        task: TaskId,
    },
    /// The response to a start was lost.
    StartUnknown {
        /// The attempt.
        task: TaskId,
    },
    /// A stop was confirmed.
    Stopped {
        /// The attempt.
        task: TaskId,
        /// When the stop was sent.
        sent: Instant,
    },
}

impl WorkerEvent {
    /// Returns the metric label for the outcome of a start command.
    pub(crate) fn start_outcome(&self) -> &'static str {
        match self {
            WorkerEvent::Started { .. } => "confirmed",
            WorkerEvent::StartRefused { .. } => "refused",
            _ => "lost",
        }
    }
}

/// The VM list has been read for the first time or has changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct VmsChanged(pub(crate) DomainVms);

/// A new revision of the configuration is in force.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CatalogChanged;

/// The allowances in the store, read while no write of this process to them was pending.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct AllowancesRead(pub(crate) AllowanceTable);

/// Another domain requests part of a team's allowance; the response is the amount released.
#[derive(Debug, Message)]
#[rtype(result = "u32")]
pub(crate) struct ReleaseAllowance {
    pub(crate) team: Name,
}

/// The journal has grown to the size at which it is compacted by a snapshot.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TakeSnapshot;

/// A process reports the slots that it holds.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReportedGrants {
    /// The process.
    pub(crate) from: PeerIdentity,
    /// The slots.
    pub(crate) held: Vec<HeldGrant>,
}

/// Stops all decisions for a planned handover; the response is the state to hand over.
#[derive(Debug, Message)]
#[rtype(result = "HandoverState")]
pub(crate) struct FreezeDispatcher {
    /// The store's revision of the ownership record.
    pub(crate) record_revision: i64,
}

impl Handler<PeerCall> for Dispatcher {
    type Result = ();

    fn handle(&mut self, call: PeerCall, _: &mut Context<Self>) {
        let started = self.shared.now();
        if !self.may_decide() {
            // A release is processed even now, since it requires no decision.
            if let PeerMessage::SlotRelease(release) = &call.body {
                self.handle_release(release, started);
            }
            self.refuse_unowned(&call);
            return;
        }
        match call.body {
            PeerMessage::GrantRequest(request) => {
                self.handle_grant_request(call.from, call.correlation, request, started);
            }
            PeerMessage::SlotRelease(release) => {
                self.handle_release(&release, started);
                if call.correlation != 0 {
                    self.respond(&call.from, call.correlation, PeerMessage::Done);
                }
            }
            PeerMessage::JobSubmit { spec, team, queue, key } => {
                self.submit_job(&call.from, call.correlation, spec, team, queue, key);
            }
            PeerMessage::JobQuery { job, team } => {
                let response = self.job_view(&job, team.as_ref(), started);
                self.respond(
                    &call.from,
                    call.correlation,
                    PeerMessage::JobResponse(response),
                );
            }
            PeerMessage::JobCancel { job, team } => {
                self.cancel_job(
                    &call.from,
                    call.correlation,
                    job,
                    team.as_ref(),
                    started,
                );
            }
            PeerMessage::StatusRequest => {
                let report = Box::new(self.status(started));
                self.respond(
                    &call.from,
                    call.correlation,
                    PeerMessage::StatusResponse(report),
                );
            }
            PeerMessage::EvacuationRequest => {
                self.apply_evacuation(started);
                let report = Box::new(self.evacuation_report(started));
                let response = PeerMessage::EvacuationResponse(report);
                self.respond(&call.from, call.correlation, response);
            }
            _ => {}
        }
        self.decide();
        node_metrics::record_decision(self.shared.now() - started);
    }
}

impl Handler<WorkerEvent> for Dispatcher {
    type Result = ();

    fn handle(&mut self, event: WorkerEvent, _: &mut Context<Self>) {
        let started = self.shared.now();
        if self.frozen {
            return;
        }
        self.handle_worker_event(event, started);
        self.decide();
        node_metrics::record_decision(self.shared.now() - started);
    }
}

impl Handler<VmsChanged> for Dispatcher {
    type Result = ();

    fn handle(&mut self, VmsChanged(vms): VmsChanged, _: &mut Context<Self>) {
        self.allocator.set_endpoints(&vms.endpoints);
        self.scheduler.set_workers(&vms.workers);
        let _ = self.worker_client.send(WorkerRequest::SetWorkers(vms.workers));
        self.decide();
    }
}

impl Handler<CatalogChanged> for Dispatcher {
    type Result = ();

    fn handle(&mut self, _: CatalogChanged, _: &mut Context<Self>) {
        self.apply_catalog();
        self.decide();
    }
}

impl Handler<AllowancesRead> for Dispatcher {
    type Result = ();

    fn handle(&mut self, AllowancesRead(table): AllowancesRead, _: &mut Context<Self>) {
        self.apply_allowances(table);
        self.decide();
    }
}

impl Handler<ReleaseAllowance> for Dispatcher {
    type Result = u32;

    fn handle(&mut self, release: ReleaseAllowance, _: &mut Context<Self>) -> u32 {
        if self.may_decide() { self.release_allowance(&release.team) } else { 0 }
    }
}

impl Handler<TakeSnapshot> for Dispatcher {
    type Result = ();

    fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) {
        self.write_snapshot();
    }
}

impl Handler<ReportedGrants> for Dispatcher {
    type Result = ();

    fn handle(&mut self, report: ReportedGrants, _: &mut Context<Self>) {
        let now = self.shared.now();
        for held in report.held {
            let entry = PeerName::of(&report.from);
            self.adopt_grant(HandoverGrant { entry, held, record: None }, now);
        }
        self.end_recovery_if_complete();
        self.decide();
    }
}

impl Handler<FreezeDispatcher> for Dispatcher {
    type Result = actix::MessageResult<FreezeDispatcher>;

    fn handle(
        &mut self,
        freeze: FreezeDispatcher,
        _: &mut Context<Self>,
    ) -> Self::Result {
        actix::MessageResult(self.freeze(freeze.record_revision))
    }
}
