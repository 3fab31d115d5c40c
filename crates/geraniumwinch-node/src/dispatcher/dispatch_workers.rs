//! Events of workers and commands to them.

use std::time::Instant;

use geraniumwinch_core::BoardCommand;
use geraniumwinch_wire::JournalEntry;

use crate::worker_client::WorkerRequest;

use super::Dispatcher;
use super::WorkerEvent;
use super::journal_requests::FollowUp;

impl Dispatcher {
    /// Takes in what a worker has told or left untold.
    pub(super) fn take_worker_event(&mut self, event: WorkerEvent, now: Instant) {
        match event {
            WorkerEvent::HeartbeatSent { worker, sent } => {
                self.board.heartbeat_sent(&worker, sent);
            }
            WorkerEvent::Heartbeat { worker, sent, tasks: Some(tasks) } => {
                let clean =
                    self.board.inventory(&worker, &tasks, sent, &mut self.ledger, now);
                if !clean {
                    let _ = self.worker_client.send(WorkerRequest::Reread(worker));
                }
            }
            WorkerEvent::Heartbeat { worker, tasks: None, .. } => {
                self.board.heartbeat_unchanged(&worker);
            }
            WorkerEvent::HeartbeatFailed { worker } => {
                self.board.heartbeat_failed(&worker)
            }
            WorkerEvent::Started { task } => self.board.start_confirmed(&task, now),
            WorkerEvent::StartRefused { task } => {
                self.board.start_refused(&task, &mut self.ledger, now);
            }
            WorkerEvent::StartUnknown { task } => self.board.start_unknown(&task, now),
            WorkerEvent::Stopped { task } => {
                self.board.stop_confirmed(&task, &mut self.ledger, now);
            }
        }
    }

    /// Carries out what the board asks for.
    ///
    /// An acknowledgement goes through the journal behind the end that it belongs to, so that a
    /// worker forgets an end only when the store has it.
    pub(super) fn run_commands(&mut self) {
        let mut entries = Vec::new();
        let mut acknowledged = Vec::new();
        for command in self.board.take_commands() {
            match command {
                BoardCommand::RecordEnd { job, index, end } => {
                    entries.push(JournalEntry::TaskEnded { job, index, end });
                }
                BoardCommand::RecordJobEnd { job } => {
                    entries.push(JournalEntry::JobEnded { job: job.clone() });
                    self.note_job_end(job);
                }
                BoardCommand::Acknowledge { worker, task } => {
                    acknowledged.push((worker, task))
                }
                command => {
                    let _ = self.worker_client.send(WorkerRequest::Command(command));
                }
            }
        }
        if !entries.is_empty() || !acknowledged.is_empty() {
            self.write_journal(entries, FollowUp::Acknowledge(acknowledged));
        }
    }
}
