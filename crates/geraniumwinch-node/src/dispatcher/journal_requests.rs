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

use crate::journal::JournalOutcome;
use crate::journal::JournalRequest;
use crate::worker_client::WorkerRequest;

use super::Dispatcher;
use super::RequestContext;

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
    Grant(Box<RequestContext>, GrantOffer),
    /// Lets workers forget ended tasks.
    Acknowledge(Vec<(Name, TaskId)>),
}

/// Entries on their way, with what follows.
#[derive(Debug, Clone)]
pub(super) struct PendingEntries {
    /// The entries.
    pub(super) entries: Vec<JournalEntry>,
    /// What follows.
    pub(super) follow_up: FollowUp,
}

/// The journal has dealt with an order.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct JournalDone {
    serial: u64,
    outcome: JournalOutcome,
}

impl Dispatcher {
    /// Hands entries to the journal.
    pub(super) fn write_journal(
        &mut self,
        entries: Vec<JournalEntry>,
        follow_up: FollowUp,
    ) {
        self.send_entries(entries, follow_up, false);
    }

    /// Hands a snapshot of the state to the journal, with the entries that are on their way.
    pub(super) fn write_snapshot(&mut self) {
        let mut entries = self.snapshot();
        entries.extend(
            self.pending_entries
                .values()
                .flat_map(|pending| pending.entries.iter().cloned()),
        );
        self.send_entries(entries, FollowUp::None, true);
    }

    /// Hands an order to the journal.
    fn send_entries(
        &mut self,
        entries: Vec<JournalEntry>,
        follow_up: FollowUp,
        snapshot: bool,
    ) {
        self.journal_serial += 1;
        let serial = self.journal_serial;
        let kept = if snapshot { Vec::new() } else { entries.clone() };
        self.pending_entries.insert(serial, PendingEntries { entries: kept, follow_up });
        let dispatcher = self.shared.dispatcher.load_full();
        let done = move |outcome| {
            if let Some(dispatcher) = dispatcher {
                dispatcher.do_send(JournalDone { serial, outcome });
            }
        };
        let _ =
            self.journal.send(JournalRequest { entries, snapshot, done: Box::new(done) });
    }
}

impl Handler<JournalDone> for Dispatcher {
    type Result = ();

    fn handle(&mut self, done: JournalDone, _: &mut Context<Self>) {
        let Some(pending) = self.pending_entries.remove(&done.serial) else { return };
        match pending.follow_up {
            FollowUp::None => {}
            FollowUp::AdmitJob(admission) => self.admit_job(*admission, done.outcome),
            FollowUp::Cancelled { from, correlation, job } => {
                self.answer_cancelled(&from, correlation, &job, done.outcome);
            }
            FollowUp::Grant(context, offer) => {
                self.grant_kept(*context, offer, done.outcome)
            }
            FollowUp::Acknowledge(tasks) => {
                if done.outcome == JournalOutcome::Persisted {
                    let _ = self.worker_client.send(WorkerRequest::Acknowledge(tasks));
                } else {
                    // The workers report the ends again, and they are then recorded again.
                    for (worker, _) in tasks {
                        let _ = self.worker_client.send(WorkerRequest::Reread(worker));
                    }
                }
            }
        }
        self.decide();
    }
}
