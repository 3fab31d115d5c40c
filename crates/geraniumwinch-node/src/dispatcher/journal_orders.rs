//! What the dispatcher has kept in the journal, and what it does afterwards.

use actix::Context;
use actix::Handler;
use actix::Message;
use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::TaskId;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::PeerIdentity;

use crate::journal::JournalFate;
use crate::journal::JournalOrder;
use crate::worker_caller::CallerOrder;

use super::AskContext;
use super::Dispatcher;

/// A job that is accepted once the journal has it.
#[derive(Debug, Clone)]
pub(super) struct JobAdmission {
    /// The caller.
    pub(super) from: PeerIdentity,
    /// The identifier for the answer.
    pub(super) correlation: u128,
    /// The job.
    pub(super) job: JobId,
    /// The description.
    pub(super) spec: JobSpec,
    /// The team.
    pub(super) team: Name,
    /// The queue.
    pub(super) queue: Name,
    /// The digest of the idempotency key.
    pub(super) key: Option<RecordDigest>,
}

/// What the dispatcher does when entries are kept.
#[derive(Debug, Clone)]
pub(super) enum FollowUp {
    /// Nothing.
    None,
    /// Admits a job and answers its caller.
    AdmitJob(Box<JobAdmission>),
    /// Answers the caller of a cancellation.
    Cancelled {
        /// The caller.
        from: PeerIdentity,
        /// The identifier for the answer.
        correlation: u128,
        /// The job.
        job: JobId,
    },
    /// Hands out a slot whose intent is kept.
    Grant(Box<AskContext>, GrantOffer),
    /// Lets workers forget ended tasks.
    Acknowledge(Vec<(Name, TaskId)>),
}

/// Entries on their way, with what follows.
#[derive(Debug, Clone)]
pub(super) struct JournalFollowUp {
    /// The entries.
    pub(super) entries: Vec<JournalEntry>,
    /// What follows.
    pub(super) follow_up: FollowUp,
}

/// The journal has dealt with an order.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct JournalDone {
    order: u64,
    fate: JournalFate,
}

impl Dispatcher {
    /// Hands entries to the journal.
    pub(super) fn order(&mut self, entries: Vec<JournalEntry>, follow_up: FollowUp) {
        self.send_order(entries, follow_up, false);
    }

    /// Hands a snapshot of the state to the journal, with the entries that are on their way.
    pub(super) fn order_snapshot(&mut self) {
        let mut entries = self.snapshot();
        entries
            .extend(self.orders.values().flat_map(|order| order.entries.iter().cloned()));
        self.send_order(entries, FollowUp::None, true);
    }

    /// Hands an order to the journal.
    fn send_order(
        &mut self,
        entries: Vec<JournalEntry>,
        follow_up: FollowUp,
        snapshot: bool,
    ) {
        self.order_serial += 1;
        let order = self.order_serial;
        let kept = if snapshot { Vec::new() } else { entries.clone() };
        self.orders.insert(order, JournalFollowUp { entries: kept, follow_up });
        let dispatcher = self.shared.dispatcher.load_full();
        let done = move |fate| {
            if let Some(dispatcher) = dispatcher {
                dispatcher.do_send(JournalDone { order, fate });
            }
        };
        let _ =
            self.journal.send(JournalOrder { entries, snapshot, done: Box::new(done) });
    }
}

impl Handler<JournalDone> for Dispatcher {
    type Result = ();

    fn handle(&mut self, done: JournalDone, _: &mut Context<Self>) {
        let Some(order) = self.orders.remove(&done.order) else { return };
        match order.follow_up {
            FollowUp::None => {}
            FollowUp::AdmitJob(admission) => self.admit_job(*admission, done.fate),
            FollowUp::Cancelled { from, correlation, job } => {
                self.answer_cancelled(&from, correlation, &job, done.fate);
            }
            FollowUp::Grant(context, offer) => {
                self.grant_kept(*context, offer, done.fate)
            }
            FollowUp::Acknowledge(tasks) => {
                if done.fate == JournalFate::Kept {
                    let _ = self.caller.send(CallerOrder::Acknowledge(tasks));
                } else {
                    // The workers report the ends again, and they are then recorded again.
                    for (worker, _) in tasks {
                        let _ = self.caller.send(CallerOrder::Reread(worker));
                    }
                }
            }
        }
        self.decide();
    }
}
