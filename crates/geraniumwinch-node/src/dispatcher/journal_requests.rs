//! Journal writes of the dispatcher, and the actions that follow once they complete.

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

/// A job that is admitted once the journal has persisted it.
#[derive(Debug, Clone)]
pub(super) struct JobAdmission {
    /// The process that sent the submission and gets the response.
    pub(super) from: PeerIdentity,
    /// The correlation identifier of the call.
    pub(super) correlation: u128,
    pub(super) job: JobId,
    /// The job specification.
    pub(super) spec: JobSpec,
    pub(super) team: Name,
    pub(super) queue: Name,
    /// The digest of the idempotency key, if the client sent one.
    pub(super) key: Option<RecordDigest>,
}

/// What the dispatcher does when a journal write completes.
#[derive(Debug, Clone)]
pub(super) enum FollowUp {
    /// Nothing.
    None,
    /// Admits a job and responds to its submission.
    AdmitJob(Box<JobAdmission>),
    /// Responds to a cancellation.
    Cancelled {
        /// The process that requested the cancellation.
        from: PeerIdentity,
        /// The correlation identifier of the call.
        correlation: u128,
        job: JobId,
    },
    /// Issues a grant once the intent of its request is persisted.
    Grant(Box<RequestContext>, GrantOffer),
    /// Allows workers to forget ended tasks.
    Acknowledge(Vec<(Name, TaskId)>),
}

/// Entries whose journal write is in flight.
#[derive(Debug, Clone)]
pub(super) struct PendingEntries {
    /// The entries; empty for a snapshot.
    pub(super) entries: Vec<JournalEntry>,
    /// What to do when the write completes.
    pub(super) follow_up: FollowUp,
}

/// A journal write has completed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct JournalDone {
    serial: u64,
    outcome: JournalOutcome,
}

impl Dispatcher {
    /// Sends entries to the journal writer.
    pub(super) fn write_journal(
        &mut self,
        entries: Vec<JournalEntry>,
        follow_up: FollowUp,
    ) {
        self.send_entries(entries, follow_up, false);
    }

    /// Sends a snapshot of the state to the journal writer, together with the entries in flight.
    pub(super) fn write_snapshot(&mut self) {
        let mut entries = self.snapshot();
        entries.extend(
            self.pending_entries
                .values()
                .flat_map(|pending| pending.entries.iter().cloned()),
        );
        self.send_entries(entries, FollowUp::None, true);
    }

    /// Sends a request to the journal writer and registers its follow-up.
    fn send_entries(
        &mut self,
        entries: Vec<JournalEntry>,
        follow_up: FollowUp,
        snapshot: bool,
    ) {
        self.journal_serial += 1;
        let serial = self.journal_serial;
        let pending = if snapshot { Vec::new() } else { entries.clone() };
        self.pending_entries
            .insert(serial, PendingEntries { entries: pending, follow_up });
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
                self.respond_to_cancellation(&from, correlation, &job, done.outcome);
            }
            FollowUp::Grant(context, offer) => {
                self.complete_grant(*context, offer, done.outcome)
            }
            FollowUp::Acknowledge(tasks) => {
                if done.outcome == JournalOutcome::Persisted {
                    let _ = self.worker_client.send(WorkerRequest::Acknowledge(tasks));
                } else {
                    // The workers report the ended tasks again, which records their ends again.
                    for (worker, _) in tasks {
                        let _ = self
                            .worker_client
                            .send(WorkerRequest::RereadInventory(worker));
                    }
                }
            }
        }
        self.decide();
    }
}
