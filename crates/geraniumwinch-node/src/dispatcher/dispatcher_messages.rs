//! The messages of the dispatcher's mailbox.

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

/// A call of a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerCall {
    /// The caller.
    pub(crate) from: PeerIdentity,
    /// The identifier for the answer.
    pub(crate) correlation: u128,
    /// The content.
    pub(crate) body: PeerMessage,
}

/// Something that a worker has told or left untold.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum WorkerEvent {
    /// A heartbeat that renews leases is being sent.
    HeartbeatSent {
        /// The worker.
        worker: Name,
        /// When it is sent.
        sent: Instant,
    },
    /// A heartbeat was answered.
    Heartbeat {
        /// The worker.
        worker: Name,
        /// When it was sent.
        sent: Instant,
        /// The inventory, or `None` if nothing has changed.
        tasks: Option<Vec<TaskReport>>,
    },
    /// A heartbeat was not answered.
    HeartbeatFailed {
        /// The worker.
        worker: Name,
    },
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
    /// The answer to a start was lost.
    StartUnknown {
        /// The attempt.
        task: TaskId,
    },
    /// A stop was confirmed.
    Stopped {
        /// The attempt.
        task: TaskId,
    },
}

impl WorkerEvent {
    /// Returns the label of a start's end in the metrics.
    pub(crate) fn start_outcome(&self) -> &'static str {
        match self {
            WorkerEvent::Started { .. } => "confirmed",
            WorkerEvent::StartRefused { .. } => "refused",
            _ => "lost",
        }
    }
}

/// The VM list was read and differs from the last one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct VmsChanged(pub(crate) DomainVms);

/// Another revision of the configuration is in force.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CatalogChanged;

/// The allowances in the store, read while no write of them was open.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct AllowancesRead(pub(crate) AllowanceTable);

/// Another domain wishes for some of a team's allowance; the answer is how much was set free.
#[derive(Debug, Message)]
#[rtype(result = "u32")]
pub(crate) struct ReleaseAllowance {
    /// The team.
    pub(crate) team: Name,
}

/// The journal has grown and needs a snapshot.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TakeSnapshot;

/// A process has reported the slots that it holds.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReportedGrants {
    /// The process.
    pub(crate) from: PeerIdentity,
    /// The slots.
    pub(crate) held: Vec<HeldGrant>,
}

/// The domain is being handed over: decide nothing more and describe the state.
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
            // Slots that come back are taken in even now, since that decides nothing.
            if let PeerMessage::SlotRelease(release) = &call.body {
                self.take_release(release, started);
            }
            self.refuse_undecided(&call);
            return;
        }
        match call.body {
            PeerMessage::GrantRequest(ask) => {
                self.request_slot(call.from, call.correlation, ask, started);
            }
            PeerMessage::SlotRelease(release) => {
                self.take_release(&release, started);
                if call.correlation != 0 {
                    self.answer(&call.from, call.correlation, PeerMessage::Done);
                }
            }
            PeerMessage::JobSubmit { spec, team, queue, key } => {
                self.take_job(&call.from, call.correlation, spec, team, queue, key);
            }
            PeerMessage::JobQuery { job, team } => {
                let answer = self.job_view(&job, team.as_ref(), started);
                self.answer(
                    &call.from,
                    call.correlation,
                    PeerMessage::JobResponse(answer),
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
                self.answer(
                    &call.from,
                    call.correlation,
                    PeerMessage::StatusResponse(report),
                );
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
        self.take_worker_event(event, started);
        self.decide();
        node_metrics::record_decision(self.shared.now() - started);
    }
}

impl Handler<VmsChanged> for Dispatcher {
    type Result = ();

    fn handle(&mut self, VmsChanged(vms): VmsChanged, _: &mut Context<Self>) {
        self.desk.set_endpoints(&vms.endpoints);
        self.board.set_workers(&vms.workers);
        let _ = self.worker_client.send(WorkerRequest::Workers(vms.workers));
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
        self.take_allowances(table);
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
        self.end_recovery_if_known();
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
