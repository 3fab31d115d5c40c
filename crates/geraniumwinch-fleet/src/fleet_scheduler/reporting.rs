//! Reports of workers and answers to orders.

use std::collections::BTreeSet;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::EndedRun;
use crate::RunEnd;
use crate::RunStop;
use crate::RunningRun;
use crate::SchedulerEvent;
use crate::StartOutcome;
use crate::TaskName;
use crate::WorkerReport;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_slot::PlacePhase;
use super::job_slot::TaskPlace;
use super::job_slot::TaskRef;
use super::worker_slot::UnstoredEnd;

/// The failed runs in a row after which a worker takes no tasks for a while.
const QUARANTINE_FAILURES: u32 = 3;
/// How long a worker takes no tasks after runs failed there in a row.
const QUARANTINE: BootTime = BootTime::from_secs(4);

impl FleetScheduler {
    /// Takes in the answer to a call that was sent at `sent`.
    pub fn report(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        sent: BootTime,
        now: BootTime,
    ) {
        let Some(slot) = self.workers.get_mut(worker) else { return };
        slot.silent = false;
        if slot.incarnation != Some(report.incarnation) {
            slot.begin_lifetime(report.incarnation);
        }
        for ended in &report.ended {
            self.take_end(worker, ended, now);
        }
        let mut sighted = BTreeSet::new();
        let mut strays = ResourceVector::default();
        let mut unknown = false;
        for running in &report.running {
            match self.sight(worker, running, now) {
                Sighting::Placed(task) => {
                    sighted.insert(task);
                }
                Sighting::Stray(Some(size)) => strays.add(&size),
                Sighting::Stray(None) => unknown = true,
            }
        }
        self.drop_missing(worker, &sighted, sent, now);
        let slot = &mut self.workers[worker];
        slot.stray_room = strays;
        slot.stray_unknown = unknown;
    }

    /// Notes that an order that extends a worker's lease was sent.
    pub fn extend_lease(&mut self, worker: WorkerKey, now: BootTime) {
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.expiry = slot.expiry.max(now + self.lease);
        }
    }

    /// Notes that a worker leaves calls without an answer.
    pub fn mark_silent(&mut self, worker: WorkerKey) {
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.silent = true;
        }
    }

    /// Gives up the run of a task that is not there any more.
    pub(super) fn lose(&mut self, task: TaskRef, now: BootTime) {
        if let Some(place) = self.vacate(task) {
            self.apply_end(task, place.run, RunEnd::Lapsed, now);
        }
    }

    /// Takes in an end that a worker lists.
    fn take_end(&mut self, worker: WorkerKey, ended: &EndedRun, now: BootTime) {
        if ended.number <= self.workers[worker].processed {
            return;
        }
        self.workers[worker].processed = ended.number;
        let task = self.find(&ended.task);
        if let Some(task) = task {
            self.take_task_end(worker, task, ended, now);
        }
        let job = task.map(|task| (task.job, self.jobs[task.job].version));
        let end = UnstoredEnd { number: ended.number, job };
        self.workers[worker].unstored.push_back(end);
        self.advance_ends(worker);
    }

    /// Applies the end of a run of a known task.
    fn take_task_end(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        ended: &EndedRun,
        now: BootTime,
    ) {
        let place = self.place_of(task).copied();
        let current =
            |place: &TaskPlace| place.worker == worker && place.run == ended.run;
        self.mark_started(task, now);
        let job = &mut self.jobs[task.job];
        let live = job.live();
        let slot = &mut job.units[task.unit as usize].tasks[task.index as usize];
        slot.last_run = slot.last_run.max(ended.run);
        if ended.checkpoint.is_some() && place.as_ref().is_none_or(current) {
            slot.checkpoint.clone_from(&ended.checkpoint);
        }
        match place {
            Some(place) if current(&place) => {
                self.vacate(task);
                self.judge_worker(worker, ended.end, now);
                self.log_end(worker, ended);
                self.apply_end(task, ended.run, ended.end, now);
            }
            None if live && matches!(ended.end, RunEnd::Done | RunEnd::Failed) => {
                self.log_end(worker, ended);
                self.apply_end(task, ended.run, ended.end, now);
            }
            // A former owner had no time to count the failure of a run before the present one.
            Some(_) if live && ended.end == RunEnd::Failed => {
                self.log_end(worker, ended);
                self.count_failure(task, ended.run, now);
            }
            _ => {}
        }
    }

    /// Notes that a worker runs or ran a task.
    fn mark_started(&mut self, task: TaskRef, now: BootTime) {
        let job = &mut self.jobs[task.job];
        let first = !std::mem::replace(&mut job.started, true);
        if let Some(accepted) = job.accepted_at.filter(|_| first) {
            let wait = now.saturating_sub(accepted);
            self.events.push(SchedulerEvent::FirstStart { wait });
        }
    }

    /// Tells the log of an end.
    fn log_end(&mut self, worker: WorkerKey, ended: &EndedRun) {
        self.events.push(SchedulerEvent::Ended {
            task: ended.task.clone(),
            run: ended.run,
            worker: self.workers[worker].info.id.clone(),
            end: ended.end,
        });
    }

    /// Counts failures in a row and keeps a worker without tasks when there are too many.
    fn judge_worker(&mut self, worker: WorkerKey, end: RunEnd, now: BootTime) {
        let slot = &mut self.workers[worker];
        match end {
            RunEnd::Done => slot.failures = 0,
            RunEnd::Failed => self.blame(worker, now),
            _ => {}
        }
    }

    /// Counts a run that failed or made no progress against its worker.
    pub(super) fn blame(&mut self, worker: WorkerKey, now: BootTime) {
        let slot = &mut self.workers[worker];
        slot.failures += 1;
        if slot.failures >= QUARANTINE_FAILURES {
            slot.quarantine = now + QUARANTINE;
            // One more failure after the quarantine begins the next one.
            slot.failures = QUARANTINE_FAILURES - 1;
            let worker = slot.info.id.clone();
            self.events.push(SchedulerEvent::Quarantined { worker });
        }
    }

    /// Takes in a run that a worker lists.
    fn sight(
        &mut self,
        worker: WorkerKey,
        running: &RunningRun,
        now: BootTime,
    ) -> Sighting {
        let Some(task) = self.find(&running.task) else {
            self.stop_stray(worker, running);
            return Sighting::Stray(None);
        };
        match self.place_of_mut(task) {
            Some(place) if place.worker == worker && place.run == running.run => {
                confirm(place, running, now);
            }
            Some(_) => return self.stray(worker, task, running),
            None => {
                if !self.adopt(worker, task, running, now) {
                    return self.stray(worker, task, running);
                }
            }
        }
        self.mark_started(task, now);
        if running.checkpoint.is_some() {
            let unit = &mut self.jobs[task.job].units[task.unit as usize];
            unit.tasks[task.index as usize].checkpoint.clone_from(&running.checkpoint);
        }
        Sighting::Placed(task)
    }

    /// Takes over a run that a former owner started, and returns whether it is wanted.
    fn adopt(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        running: &RunningRun,
        now: BootTime,
    ) -> bool {
        let job = &self.jobs[task.job];
        let slot = &job.units[task.unit as usize].tasks[task.index as usize];
        if !job.live() || slot.done || running.run <= slot.last_run {
            return false;
        }
        let place = TaskPlace {
            worker,
            run: running.run,
            phase: PlacePhase::Running,
            since: now,
            percent: running.percent,
            progressed: now,
        };
        self.occupy(task, place);
        true
    }

    /// Stops a run that is not wanted and returns the room that it takes.
    fn stray(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        running: &RunningRun,
    ) -> Sighting {
        self.stop_stray(worker, running);
        Sighting::Stray(Some(self.jobs[task.job].plan(task.unit).reserved()))
    }

    /// Gives the order to stop a run that is not wanted.
    fn stop_stray(&mut self, worker: WorkerKey, running: &RunningRun) {
        let task = running.task.clone();
        self.stops.push(RunStop { worker, task, run: running.run });
    }

    /// Gives up the runs that a report should hold and doesn't, also those that ended with a former
    /// lifetime. An order without an answer may be carried out by the next lifetime.
    fn drop_missing(
        &mut self,
        worker: WorkerKey,
        sighted: &BTreeSet<TaskRef>,
        sent: BootTime,
        now: BootTime,
    ) {
        let places: Vec<TaskRef> = self.workers[worker].places.iter().copied().collect();
        for task in places {
            let Some(&place) = self.place_of(task) else { continue };
            let expected = match place.phase {
                PlacePhase::Running => place.since < sent,
                PlacePhase::Stopping(Some(answered)) => answered < sent,
                PlacePhase::Starting
                | PlacePhase::Unknown
                | PlacePhase::Stopping(None) => false,
            };
            if expected && !sighted.contains(&task) {
                let name = self.jobs[task.job].task_name(task);
                let id = self.workers[worker].info.id.clone();
                let event =
                    SchedulerEvent::Missing { task: name, run: place.run, worker: id };
                self.events.push(event);
                self.lose(task, now);
            }
        }
    }

    /// Takes in what became of an order to start a task.
    pub fn start_outcome(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        let Some(task) = self.find(name) else { return };
        let Some(place) = self.place_of_mut(task) else { return };
        if place.worker != worker || place.run != run {
            return;
        }
        if outcome == StartOutcome::Started {
            if matches!(place.phase, PlacePhase::Starting | PlacePhase::Unknown) {
                place.phase = PlacePhase::Running;
                place.since = now;
                place.progressed = now;
            }
            self.mark_started(task, now);
            return;
        }
        if outcome == StartOutcome::Unknown {
            if place.phase == PlacePhase::Starting {
                place.phase = PlacePhase::Unknown;
                place.since = now;
                self.blame(worker, now);
            }
            return;
        }
        self.refuse_start(worker, task, outcome, now);
    }

    /// Takes a task back that its worker has refused.
    fn refuse_start(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        let id = self.workers[worker].info.id.clone();
        match outcome {
            StartOutcome::NotPermitted => {
                let unit = &mut self.jobs[task.job].units[task.unit as usize];
                if let Some(Some(grant)) = unit.permissions.get_mut(&id) {
                    grant.until = now;
                }
            }
            StartOutcome::Unhealthy => self.blame(worker, now),
            _ => {}
        }
        self.lose(task, now);
    }

    /// Takes in the answer of a worker to an order to stop a run.
    pub fn stop_answered(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        let Some(task) = self.find(name) else { return };
        let Some(place) = self.place_of_mut(task) else { return };
        if place.worker == worker && place.run == run {
            place.phase = PlacePhase::Stopping(Some(now));
        }
    }
}

/// What a run in a report is.
enum Sighting {
    /// It is the run that the task should have.
    Placed(TaskRef),
    /// It is not wanted; its size is known if its job is.
    Stray(Option<ResourceVector>),
}

/// Notes that a worker lists the run that a task should have.
fn confirm(place: &mut TaskPlace, running: &RunningRun, now: BootTime) {
    if matches!(place.phase, PlacePhase::Starting | PlacePhase::Unknown) {
        place.phase = PlacePhase::Running;
        place.since = now;
    }
    if place.percent != running.percent {
        place.percent = running.percent;
        place.progressed = now;
    }
}
