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
use crate::worker_caller::CallerOrder;

use super::Dispatcher;

/// A call of a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerMail {
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
    pub(crate) fn start_fate(&self) -> &'static str {
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
pub(crate) struct VmsRead(pub(crate) DomainVms);

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
pub(crate) struct OfferAllowance {
    /// The team.
    pub(crate) team: Name,
}

/// The journal has grown and needs a snapshot.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SnapshotWanted;

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

impl Handler<PeerMail> for Dispatcher {
    type Result = ();

    fn handle(&mut self, mail: PeerMail, _: &mut Context<Self>) {
        let started = self.shared.now();
        if !self.may_decide() {
            // Slots that come back are taken in even now, since that decides nothing.
            if let PeerMessage::SlotRelease(release) = &mail.body {
                self.take_release(release, started);
            }
            self.refuse_undecided(&mail);
            return;
        }
        match mail.body {
            PeerMessage::GrantRequest(ask) => {
                self.take_ask(mail.from, mail.correlation, ask, started);
            }
            PeerMessage::SlotRelease(release) => {
                self.take_release(&release, started);
                if mail.correlation != 0 {
                    self.answer(&mail.from, mail.correlation, PeerMessage::Done);
                }
            }
            PeerMessage::JobSubmit { spec, team, queue, key } => {
                self.take_job(&mail.from, mail.correlation, spec, team, queue, key);
            }
            PeerMessage::JobQuery { job, team } => {
                let answer = self.job_view(&job, team.as_ref(), started);
                self.answer(
                    &mail.from,
                    mail.correlation,
                    PeerMessage::JobResponse(answer),
                );
            }
            PeerMessage::JobCancel { job, team } => {
                self.cancel_job(
                    &mail.from,
                    mail.correlation,
                    job,
                    team.as_ref(),
                    started,
                );
            }
            PeerMessage::StatusRequest => {
                let report = Box::new(self.status(started));
                self.answer(
                    &mail.from,
                    mail.correlation,
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

impl Handler<VmsRead> for Dispatcher {
    type Result = ();

    fn handle(&mut self, VmsRead(vms): VmsRead, _: &mut Context<Self>) {
        self.desk.set_endpoints(&vms.endpoints);
        self.board.set_workers(&vms.workers);
        let _ = self.caller.send(CallerOrder::Workers(vms.workers));
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

impl Handler<OfferAllowance> for Dispatcher {
    type Result = u32;

    fn handle(&mut self, offer: OfferAllowance, _: &mut Context<Self>) -> u32 {
        if self.may_decide() { self.offer_allowance(&offer.team) } else { 0 }
    }
}

impl Handler<SnapshotWanted> for Dispatcher {
    type Result = ();

    fn handle(&mut self, _: SnapshotWanted, _: &mut Context<Self>) {
        self.order_snapshot();
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
