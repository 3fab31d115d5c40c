//! Worker events, and commands to the workers.

use std::time::Instant;

use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_wire::JournalEntry;

use crate::worker_client::WorkerRequest;

use super::Dispatcher;
use super::WorkerEvent;
use super::journal_requests::FollowUp;

impl Dispatcher {
    /// Applies a worker event.
    ///
    /// If an inventory contains running tasks that are not placed on the worker, it is requested
    /// again in full.
    pub(super) fn handle_worker_event(&mut self, event: WorkerEvent, now: Instant) {
        match event {
            WorkerEvent::HeartbeatSent { worker, sent } => {
                self.scheduler.heartbeat_sent(&worker, sent);
            }
            WorkerEvent::Heartbeat { worker, sent, tasks: Some(tasks) } => {
                let expected = self.scheduler.inventory(
                    &worker,
                    &tasks,
                    sent,
                    &mut self.ledger,
                    now,
                );
                if !expected {
                    let _ =
                        self.worker_client.send(WorkerRequest::RereadInventory(worker));
                }
            }
            WorkerEvent::Heartbeat { worker, sent, tasks: None } => {
                self.scheduler.heartbeat_unchanged(&worker, sent, now);
            }
            WorkerEvent::HeartbeatFailed { worker } => {
                self.scheduler.heartbeat_failed(&worker)
            }
            WorkerEvent::Started { task } => self.scheduler.start_confirmed(&task, now),
            WorkerEvent::StartRefused { task } => {
                self.scheduler.start_refused(&task, &mut self.ledger, now);
            }
            WorkerEvent::StartUnknown { task } => {
                self.scheduler.start_unknown(&task, now)
            }
            WorkerEvent::Stopped { task, sent } => {
                self.scheduler.stop_confirmed(&task, sent, &mut self.ledger, now);
            }
        }
    }

    /// Executes the commands of the scheduler.
    ///
    /// Acknowledgements follow the task ends through the journal, so that a worker forgets an ended
    /// task only once its end is persisted.
    pub(super) fn run_commands(&mut self) {
        let mut entries = Vec::new();
        let mut acknowledged = Vec::new();
        for command in self.scheduler.take_commands() {
            match command {
                SchedulerCommand::RecordEnd { job, index, end } => {
                    entries.push(JournalEntry::TaskEnded { job, index, end });
                }
                SchedulerCommand::RecordJobEnd { job } => {
                    entries.push(JournalEntry::JobEnded { job: job.clone() });
                    self.record_job_end(job);
                }
                SchedulerCommand::Acknowledge { worker, task } => {
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
