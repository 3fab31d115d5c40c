//! What workers report, and what follows from their silence.

use std::collections::BTreeSet;
use std::time::Duration;
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
use super::TaskOutcome;
use super::TaskReport;
use super::job_state::TaskPhase;
use super::job_state::TaskPlace;
use super::job_state::TaskRef;
use super::job_state::TaskState;
use super::quarantine;

/// The number of different workers on which a job's tasks must fail to be blamed themselves.
const MAX_FAILED_WORKERS: usize = 3;
/// The wait before a failed task is tried again.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

impl JobScheduler {
    /// Notes that a heartbeat which renews the task leases of a worker is about to be sent.
    pub fn heartbeat_sent(&mut self, worker: &Name, now: Instant) {
        let Some(key) = self.workers.find(worker) else { return };
        if let Some(state) = self.workers.get_mut(key) {
            state.leased = Some(now);
        }
    }

    /// Notes that a worker did not answer a heartbeat; it gets no new work until it does.
    pub fn heartbeat_failed(&mut self, worker: &Name) {
        let Some(key) = self.workers.find(worker) else { return };
        if let Some(state) = self.workers.get_mut(key) {
            state.reached = false;
        }
    }

    /// Notes that a worker has answered a heartbeat and that nothing has changed on it.
    pub fn heartbeat_unchanged(&mut self, worker: &Name) {
        let Some(key) = self.workers.find(worker) else { return };
        if let Some(state) = self.workers.get_mut(key) {
            self.dirty |= !state.reached;
            state.reached = true;
        }
    }

    /// Takes in the whole inventory of a worker, as answered to a heartbeat sent at `sent`.
    ///
    /// The worker gets new work only if it runs nothing but what is booked on it; returns whether
    /// that is so.
    pub fn inventory(
        &mut self,
        worker: &Name,
        reports: &[TaskReport],
        sent: Instant,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let Some(key) = self.workers.find(worker) else { return false };
        let mut strangers = false;
        let mut running = BTreeSet::new();
        for report in reports {
            if report.state == ReportedState::Running {
                match self.sight_running(key, &report.task, ledger, now) {
                    Some(task) => {
                        running.insert(task);
                    }
                    None => {
                        strangers = true;
                        self.stop_stranger(key, &report.task);
                    }
                }
            } else {
                self.sight_ended(key, report, ledger, now);
            }
        }
        self.lose_missing(key, &running, sent, ledger, now);
        if let Some(state) = self.workers.get_mut(key) {
            self.dirty |= !state.reached;
            state.reached = !strangers;
        }
        !strangers
    }

    /// Takes in that a task runs on a worker; returns `None` if it should not.
    fn sight_running(
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
            TaskState::Placed(place)
                if place.attempt == id.attempt && place.worker == worker =>
            {
                if place.phase == TaskPhase::Starting {
                    place.phase = TaskPhase::Running(now);
                }
                Some(task)
            }
            &mut TaskState::Unlocated { until } => {
                self.unlocated.remove(&(until, task));
                let phase = TaskPhase::Running(now);
                let place = TaskPlace { worker, attempt: id.attempt, since: now, phase };
                let cancelled = job.cancelled;
                self.put_as(task, place, ledger);
                if cancelled {
                    self.stop_task(task, false, now);
                }
                Some(task)
            }
            _ => None,
        }
    }

    /// Stops a task that a worker runs although it is not booked there.
    fn stop_stranger(&mut self, worker: WorkerKey, id: &TaskId) {
        let Some(state) = self.workers.get(worker) else { return };
        self.commands.push(SchedulerCommand::Stop {
            worker: state.spec.name.clone(),
            address: state.spec.address.clone(),
            task: id.clone(),
            checkpoint: false,
        });
    }

    /// Takes in that an attempt has ended on a worker, and acknowledges the report.
    fn sight_ended(
        &mut self,
        worker: WorkerKey,
        report: &TaskReport,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let task = match self.find_placed(&report.task) {
            Some((task, place)) if place.worker == worker => Some(task),
            Some(_) => None,
            None => self.find_unlocated(&report.task),
        };
        if let Some(task) = task {
            self.finish_attempt(task, worker, report.state, ledger, now);
        }
        let Some(state) = self.workers.get(worker) else { return };
        let name = state.spec.name.clone();
        self.commands.push(SchedulerCommand::Acknowledge {
            worker: name,
            task: report.task.clone(),
        });
    }

    /// Finds a task that has not been located since the takeover.
    fn find_unlocated(&mut self, id: &TaskId) -> Option<TaskRef> {
        let &key = self.by_id.get(&id.job)?;
        match *self.jobs[key].tasks.get(id.index as usize)? {
            TaskState::Unlocated { until } => {
                self.unlocated.remove(&(until, (key, id.index)));
                Some((key, id.index))
            }
            _ => None,
        }
    }

    /// Ends an attempt and decides whether the task has ended with it.
    fn finish_attempt(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        state: ReportedState,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let place = self.unplace(task, ledger);
        match state {
            ReportedState::Succeeded => {
                quarantine::observe_start(&mut self.workers, worker, false, now);
                self.end_task(task, TaskOutcome::Succeeded);
            }
            ReportedState::Failed => self.retry_failed(task, worker, place, now),
            ReportedState::Stopped | ReportedState::Running => self.requeue(task),
        }
        self.start_reserved(worker, now);
    }

    /// Tries a failed task again after a backoff, unless the job has failed on several workers.
    fn retry_failed(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        place: Option<TaskPlace>,
        now: Instant,
    ) {
        let (key, index) = task;
        let since = place.map(|place| place.since);
        let early = since.is_none_or(|since| now - since < quarantine::EARLY_FAILURE);
        let job = &mut self.jobs[key];
        let first_here = job.failed_on.insert(worker);
        let blamed = job.failed_on.len() >= MAX_FAILED_WORKERS;
        if early && first_here {
            quarantine::observe_start(&mut self.workers, worker, true, now);
        }
        if blamed {
            self.end_task(task, TaskOutcome::Failed);
            return;
        }
        let until = now + FAILURE_BACKOFF;
        self.jobs[key].tasks[index as usize] = TaskState::Delayed { until };
        self.delayed.insert((until, task));
    }

    /// Requeues tasks whose confirmed start is missing from a later inventory.
    fn lose_missing(
        &mut self,
        worker: WorkerKey,
        running: &BTreeSet<TaskRef>,
        sent: Instant,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let Some(tasks) = self.on_worker.get(&worker) else { return };
        let missing: Vec<TaskRef> = tasks.difference(running).copied().collect();
        for task in missing {
            let TaskState::Placed(place) = self.jobs[task.0].tasks[task.1 as usize]
            else {
                continue;
            };
            if matches!(place.phase, TaskPhase::Running(since) if since <= sent) {
                self.finish_attempt(task, worker, ReportedState::Stopped, ledger, now);
            }
        }
    }

    /// Takes in that a worker has confirmed a start.
    pub fn start_confirmed(&mut self, id: &TaskId, now: Instant) {
        let Some(((key, index), place)) = self.find_placed(id) else { return };
        if place.phase != TaskPhase::Starting {
            return;
        }
        if let TaskState::Placed(place) = &mut self.jobs[key].tasks[index as usize] {
            place.phase = TaskPhase::Running(now);
        }
    }

    /// Takes in that a start was refused or that its command never left this process.
    pub fn start_refused(&mut self, id: &TaskId, ledger: &mut TeamLedger, now: Instant) {
        let Some((task, place)) = self.find_placed(id) else { return };
        if place.phase == TaskPhase::Starting {
            self.finish_attempt(task, place.worker, ReportedState::Failed, ledger, now);
        }
    }

    /// Takes in that the answer to a start command was lost; the attempt is stopped to be sure.
    pub fn start_unknown(&mut self, id: &TaskId, now: Instant) {
        let Some((task, place)) = self.find_placed(id) else { return };
        if place.phase == TaskPhase::Starting {
            self.stop_task(task, false, now);
        }
    }

    /// Takes in that a worker has confirmed that an attempt does not run and never will.
    pub fn stop_confirmed(&mut self, id: &TaskId, ledger: &mut TeamLedger, now: Instant) {
        let Some((task, place)) = self.find_placed(id) else { return };
        self.finish_attempt(task, place.worker, ReportedState::Stopped, ledger, now);
    }

    /// Requeues the tasks of workers that have been silent until every lease has run out.
    pub(super) fn give_up_silent_workers(
        &mut self,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let patience = self.task_lease + START_EXPIRY + LEASE_MARGIN;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, state)| !state.reached && state.tasks > 0)
            .filter(|(_, state)| {
                state.leased.is_some_and(|leased| leased + patience <= now)
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
