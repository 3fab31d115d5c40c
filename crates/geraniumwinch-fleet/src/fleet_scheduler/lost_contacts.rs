//! Runs whose worker has become silent, as kept for a later owner.
//!
//! It takes seconds until a worker that a task has crashed is known to be gone. If the owner is lost
//! meanwhile, and the next ones as well, nobody counts the crashes. So the runs that would be suspected
//! if the worker had crashed are in the records of their jobs from the moment it becomes silent.

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::LostContact;

use super::FleetScheduler;
use super::WorkerKey;
use super::crashes::LostRun;
use super::job_state::JobState;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::task_state::TaskState;

/// The maximum number of lost contacts that are kept for a task. As many crashes fail its job.
const MAX_CONTACTS: usize = 4;

/// A run whose worker has become silent.
#[derive(Debug, Clone, Copy)]
pub(super) struct NotedRun {
    pub(super) run: LostRun,
    /// The incarnation of the worker; `None` if it had not reported to the owner.
    pub(super) incarnation: Option<u64>,
}

impl FleetScheduler {
    /// Notes the runs that are suspected if a worker, which has just become silent, has crashed.
    pub(super) fn note_lost_contacts(&mut self, worker: WorkerKey, now: BootTime) {
        let state = &self.workers[worker];
        if state.leaving {
            return;
        }
        let (id, incarnation) = (state.info.id.clone(), state.incarnation);
        let tasks = state.tasks.iter().filter(|task| self.is_unfinished(**task));
        let lost: Vec<LostRun> =
            tasks.filter_map(|&task| self.lost_run(task, now)).collect();
        let Some(youngest) = lost.iter().map(|run| run.crash.age).min() else { return };
        for mut run in lost {
            run.crash.compare_age(youngest);
            if run.crash.suspected {
                self.note_run(id.clone(), NotedRun { run, incarnation });
                self.mark_dirty(run.task.job, now);
            }
        }
    }

    /// Forgets that a run may have crashed its worker, since the worker has certainly not begun it. Other runs
    /// there may be suspected in its place.
    pub(super) fn clear_suspicion(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        run: u64,
        now: BootTime,
    ) {
        let is_run = |lost: &LostRun| lost.task == task && lost.crash.run == run;
        let state = &mut self.workers[worker];
        state.expired_runs.retain(|lost| !is_run(lost));
        let silent = state.is_silent();
        let Some(noted) = self.noted_runs.get_mut(&state.info.id) else { return };
        let before = noted.len();
        noted.retain(|noted| !is_run(&noted.run));
        if noted.len() == before {
            return;
        }
        self.task_state_mut(task).remove_contact(run);
        self.mark_dirty(task.job, now);
        if silent {
            self.note_lost_contacts(worker, now);
        }
    }

    /// Adds the lost contacts of a job that was read from the store.
    pub(super) fn load_lost_contacts(&mut self, job: JobKey) {
        for contact in self.jobs[job].record.lost_contacts.clone() {
            let LostContact { unit, index, worker, incarnation, crash } = contact;
            let run = LostRun { task: TaskRef { job, unit, index }, crash };
            if self.jobs[job].has_task(run.task) {
                self.note_run(worker, NotedRun { run, incarnation });
            }
        }
    }

    /// Keeps a run whose worker has become silent.
    fn note_run(&mut self, worker: Name, noted: NotedRun) {
        let NotedRun { run: LostRun { task, crash }, incarnation } = noted;
        let runs = self.noted_runs.entry(worker.clone()).or_default();
        runs.retain(|known| {
            let LostRun { task: other, crash: lost } = known.run;
            (other, lost.run) != (task, crash.run)
        });
        runs.push(noted);
        let TaskRef { unit, index, .. } = task;
        let contact = LostContact { unit, index, worker, incarnation, crash };
        self.task_state_mut(task).add_contact(contact);
    }

    /// Forgets the lost contacts with a worker, about which the truth is known now. Returns the runs of
    /// former owners; those of this one are known otherwise.
    pub(super) fn take_lost_contacts(
        &mut self,
        worker: &Name,
        now: BootTime,
    ) -> Vec<NotedRun> {
        let mut noted = self.noted_runs.remove(worker).unwrap_or_default();
        for NotedRun { run, .. } in &noted {
            if self.is_unfinished(run.task)
                && self.task_state_mut(run.task).remove_contacts(worker)
            {
                self.mark_dirty(run.task.job, now);
            }
        }
        noted.retain(|noted| noted.run.crash.run <= self.first_run);
        noted
    }
}

impl JobState {
    /// Returns whether the job has a task, as its record in the store may not say.
    fn has_task(&self, task: TaskRef) -> bool {
        let unit = self.units.get(task.unit as usize);
        unit.is_some_and(|unit| unit.tasks.contains(task.index))
    }

    /// Returns the lost contacts under all tasks that still have to be done.
    pub(super) fn lost_contacts(&self) -> Vec<LostContact> {
        if !self.live() {
            return Vec::new();
        }
        let tasks = self.units.touched().flat_map(|(_, unit)| unit.tasks.touched());
        let unfinished = tasks.map(|(_, task)| task).filter(|task| !task.done);
        unfinished.flat_map(|task| &task.lost_contacts).cloned().collect()
    }
}

impl TaskState {
    /// Adds a run whose worker has become silent.
    fn add_contact(&mut self, contact: LostContact) {
        self.lost_contacts.retain(|known| known.crash.run != contact.crash.run);
        if self.lost_contacts.len() == MAX_CONTACTS {
            self.lost_contacts.remove(0);
        }
        self.lost_contacts.push(contact);
    }

    /// Removes a run.
    fn remove_contact(&mut self, run: u64) {
        self.lost_contacts.retain(|known| known.crash.run != run);
    }

    /// Removes the runs on a worker, and returns whether there were any.
    fn remove_contacts(&mut self, worker: &Name) -> bool {
        let before = self.lost_contacts.len();
        self.lost_contacts.retain(|known| known.worker != *worker);
        self.lost_contacts.len() < before
    }
}
