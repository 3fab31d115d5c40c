//! The processing of heartbeats and inventories of workers, and of their absence.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::Name;
use crate::TaskId;
use crate::TeamLedger;
use crate::WorkerKey;

use super::JobScheduler;
use super::LEASE_MARGIN;
use super::ReportedState;
use super::START_EXPIRY;
use super::SchedulerCommand;
use super::TaskReport;
use super::crashes::LostAttempt;
use super::job_state::TaskPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;
use super::job_state::TaskState;

impl JobScheduler {
    /// Records that a heartbeat, which renews the task leases of a worker, is about to be sent.
    pub fn heartbeat_sent(&mut self, worker: &Name, now: Instant) {
        let Some(key) = self.workers.find(worker) else { return };
        if let Some(state) = self.workers.get_mut(key) {
            // A start may have been sent since, and is known before the heartbeat is.
            state.lease_sent = state.lease_sent.max(Some(now));
            if !state.settled && !self.unlocated.is_empty() {
                self.unsettled_renewals.insert(worker.clone(), now);
            }
        }
    }

    /// Records that a worker has not responded to a heartbeat.
    ///
    /// The worker gets no new tasks until it responds again.
    pub fn heartbeat_failed(&mut self, worker: &Name) {
        let Some(key) = self.workers.find(worker) else { return };
        if let Some(state) = self.workers.get_mut(key) {
            state.reachable = false;
        }
    }

    /// Records that a worker has responded to a heartbeat sent at `sent` without any change to its
    /// inventory.
    pub fn heartbeat_unchanged(&mut self, worker: &Name, sent: Instant, now: Instant) {
        let Some(key) = self.workers.find(worker) else { return };
        let Some(state) = self.workers.get(key) else { return };
        let all_booked = state.all_booked;
        self.record_response(key, sent, all_booked);
        self.start_reserved(key, now);
    }

    /// Records that a worker has responded to a heartbeat sent at `sent`, and whether all tasks that it
    /// runs are booked on it.
    fn record_response(&mut self, worker: WorkerKey, sent: Instant, all_booked: bool) {
        let settled = self.former_starts_expire.is_none_or(|expire| sent >= expire);
        let Some(state) = self.workers.get_mut(worker) else { return };
        let could_start = state.may_start();
        state.reachable = true;
        state.answered = state.answered.max(Some(sent));
        state.all_booked = all_booked;
        state.settled |= settled;
        if self.unsettled_renewals.get(&state.spec.name).is_some_and(|at| *at <= sent) {
            self.unsettled_renewals.remove(&state.spec.name);
        }
        self.dirty |= !could_start && state.may_start();
    }

    /// Handles the full inventory of a worker, in response to a heartbeat sent at `sent`.
    ///
    /// Returns whether the inventory settles what runs on the worker. Otherwise it has to be read again in
    /// full; while it contains a task that is not booked on the worker, the worker gets no new tasks.
    pub fn inventory(
        &mut self,
        worker: &Name,
        reports: &[TaskReport],
        sent: Instant,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let Some(key) = self.workers.find(worker) else { return false };
        let answered = self.workers.get(key).and_then(|state| state.answered);
        let is_running = |report: &&TaskReport| report.state == ReportedState::Running;
        let mut all_booked = true;
        let mut running = BTreeSet::new();
        for report in reports.iter().filter(is_running) {
            match self.reconcile_running(key, &report.task, ledger, now) {
                Some(task) => {
                    running.insert(task);
                }
                None => {
                    all_booked = false;
                    self.stop_unexpected(key, &report.task);
                }
            }
        }
        // What has ended makes room for reserved tasks, which depends on what is running.
        self.record_response(key, sent, all_booked);
        for report in reports.iter().filter(|report| !is_running(report)) {
            self.reconcile_ended(key, report, ledger, now);
        }
        let missing = self.missing_tasks(key, &running);
        let undecided = self.requeue_missing(key, &missing, sent, ledger, now);
        let lost = missing.into_iter().filter(|(task, _)| self.is_waiting(*task));
        let lost =
            lost.map(|(task, placement)| LostAttempt::new(task, placement, answered));
        let lost = lost.collect();
        self.record_crash(key, lost);
        self.start_reserved(key, now);
        all_booked && !undecided
    }

    /// Handles the report of a running attempt, and returns its task if the attempt is expected to run
    /// on the worker.
    fn reconcile_running(
        &mut self,
        worker: WorkerKey,
        id: &TaskId,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> Option<TaskRef> {
        let &key = self.by_id.get(&id.job)?;
        let task = (key, id.index);
        let job = self.jobs.get_mut(key)?;
        match job.tasks.get_mut(id.index as usize)? {
            TaskState::Placed(placement)
                if placement.attempt == id.attempt && placement.worker == worker =>
            {
                let unanswered = placement.start_expires.take().is_some();
                let stopping = matches!(placement.phase, TaskPhase::Stopping { .. });
                if unanswered && !stopping {
                    placement.phase = TaskPhase::Running(now);
                }
                Some(task)
            }
            &mut TaskState::Unlocated { until } => {
                self.unlocated.remove(&(until, task));
                let phase = TaskPhase::Running(now);
                let placement = TaskPlacement {
                    worker,
                    attempt: id.attempt,
                    since: now,
                    phase,
                    start_expires: None,
                };
                let cancelled = job.cancelled;
                self.book_attempt(task, placement, ledger);
                if cancelled {
                    self.stop_task(task, false, now);
                }
                Some(task)
            }
            _ => None,
        }
    }

    /// Stops an attempt that a worker runs although it is not booked there.
    fn stop_unexpected(&mut self, worker: WorkerKey, id: &TaskId) {
        let Some(state) = self.workers.get(worker) else { return };
        self.commands.push(SchedulerCommand::Stop {
            worker: state.spec.name.clone(),
            address: state.spec.address.clone(),
            task: id.clone(),
            checkpoint: false,
        });
    }

    /// Handles the report of an attempt that has ended on a worker, and acknowledges it.
    fn reconcile_ended(
        &mut self,
        worker: WorkerKey,
        report: &TaskReport,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        match self.find_placed(&report.task) {
            Some((task, placement)) if placement.worker == worker => {
                self.finish_attempt(task, worker, report.state, ledger, now);
            }
            Some(_) => {}
            None => self.finish_unplaced(worker, report, now),
        }
        let Some(state) = self.workers.get(worker) else { return };
        let name = state.spec.name.clone();
        self.commands.push(SchedulerCommand::Acknowledge {
            worker: name,
            task: report.task.clone(),
        });
    }

    /// Returns the tasks that are booked on a worker and not running there, with their placements.
    fn missing_tasks(
        &self,
        worker: WorkerKey,
        running: &BTreeSet<TaskRef>,
    ) -> Vec<(TaskRef, TaskPlacement)> {
        let booked = self.on_worker.get(&worker).into_iter().flatten();
        let missing = booked.filter(|task| !running.contains(task));
        let placed = missing.filter_map(|&(key, index)| {
            match self.jobs[key].tasks[index as usize] {
                TaskState::Placed(placement) => Some(((key, index), placement)),
                _ => None,
            }
        });
        placed.collect()
    }

    /// Returns whether a task waits for a worker.
    fn is_waiting(&self, (key, index): TaskRef) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| job.tasks[index as usize] == TaskState::Pending)
    }

    /// Queues tasks again that are missing from the inventory although their start was confirmed, or had
    /// expired, before the heartbeat was sent.
    ///
    /// Returns whether a task is missing whose start by the former owner may still be carried out.
    fn requeue_missing(
        &mut self,
        worker: WorkerKey,
        missing: &[(TaskRef, TaskPlacement)],
        sent: Instant,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let mut undecided = false;
        for &(task, placement) in missing {
            let TaskPhase::Running(since) = placement.phase else { continue };
            if since <= sent {
                self.finish_attempt(task, worker, ReportedState::Stopped, ledger, now);
            } else {
                undecided |= placement.start_expires.is_some();
            }
        }
        undecided
    }

    /// Queues the tasks of workers again that have not responded until all their task leases expired.
    ///
    /// A worker that has left the list gets no heartbeats, so it counts as silent.
    pub(super) fn expire_silent_workers(
        &mut self,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let silence_limit = self.task_lease + START_EXPIRY + LEASE_MARGIN;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, state)| !(state.reachable && state.listed) && state.tasks > 0)
            .filter(|(_, state)| {
                state.lease_sent.is_some_and(|sent| sent + silence_limit <= now)
            })
            .map(|(key, _)| key)
            .collect();
        for worker in silent {
            let tasks = self.on_worker.remove(&worker).unwrap_or_default();
            for task in tasks {
                self.unplace(task, ledger);
                self.requeue(task);
            }
        }
    }
}
