//! Preemption of running tasks in favour of urgent jobs.

use std::time::Instant;

use crate::JobKind;
use crate::ResourceVector;
use crate::TeamLedger;
use crate::WorkerKey;

use super::JobScheduler;
use super::job_state::JobKey;
use super::job_state::TaskPhase;
use super::job_state::TaskRef;
use super::job_state::TaskState;

/// The fraction of its work that a task loses if it is checkpointed before it is stopped.
const CHECKPOINT_LOSS: f64 = 0.1;

/// A set of tasks on one worker whose preemption would free enough resources.
#[derive(Debug)]
struct VictimSet {
    worker: WorkerKey,
    tasks: Vec<TaskRef>,
    /// The work that would be lost, in core seconds.
    lost: f64,
}

impl JobScheduler {
    /// Places the next task of an urgent job by preempting the tasks whose stop loses the least work.
    ///
    /// The task starts once the preempted tasks have released their resources.
    pub(super) fn preempt_for(
        &mut self,
        key: JobKey,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let size = self.jobs[key].spec.size;
        let sets = self.workers.iter().filter(|(_, state)| state.takes_work(now));
        let sets = sets.filter_map(|(worker, _)| self.victims_on(worker, &size, now));
        let Some(best) = sets.min_by(|left, right| left.lost.total_cmp(&right.lost))
        else {
            return false;
        };
        let index =
            self.jobs[key].pending.pop_front().expect("the job has waiting tasks");
        self.book_task((key, index), best.worker, TaskPhase::Reserved, ledger, now);
        for task in best.tasks {
            let checkpoint = self.jobs[task.0].spec.checkpointable;
            self.stop_task(task, checkpoint, now);
        }
        true
    }

    /// Returns the tasks to preempt on a worker to fit a task of the given size, beginning with those
    /// that lose the least work.
    fn victims_on(
        &self,
        worker: WorkerKey,
        size: &ResourceVector,
        now: Instant,
    ) -> Option<VictimSet> {
        let state = self.workers.get(worker)?;
        let mut candidates: Vec<(f64, TaskRef)> = self
            .on_worker
            .get(&worker)?
            .iter()
            .filter_map(|&task| self.work_lost(task, now).map(|lost| (lost, task)))
            .collect();
        candidates.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let mut booked = state.booked;
        let mut set = VictimSet { worker, tasks: Vec::new(), lost: 0.0 };
        for (lost, task) in candidates {
            booked.subtract(&self.jobs[task.0].spec.size);
            set.tasks.push(task);
            set.lost += lost;
            if size.fits(&state.spec.capacity.minus(&booked)) {
                return Some(set);
            }
        }
        None
    }

    /// Returns the work that stopping a task loses, in core seconds, or `None` if the task can't be
    /// preempted.
    fn work_lost(&self, task: TaskRef, now: Instant) -> Option<f64> {
        let job = &self.jobs[task.0];
        let TaskState::Placed(placement) = job.tasks[task.1 as usize] else {
            return None;
        };
        let preemptible = !job.spec.urgent && job.spec.kind == JobKind::Batch;
        if !preemptible || !matches!(placement.phase, TaskPhase::Running(_)) {
            return None;
        }
        let cores = job.spec.size.cpu_millis as f64 / 1000.0;
        let work = cores * now.saturating_duration_since(placement.since).as_secs_f64();
        Some(if job.spec.checkpointable { work * CHECKPOINT_LOSS } else { work })
    }

    /// Starts the reserved tasks of a worker that fit into its unoccupied resources, if these are known.
    pub(super) fn start_reserved(&mut self, worker: WorkerKey, now: Instant) {
        if !self.workers.get(worker).is_some_and(|state| state.may_start()) {
            return;
        }
        let Some(tasks) = self.on_worker.get(&worker) else { return };
        let mut occupied = ResourceVector::default();
        let mut reserved = Vec::new();
        for &task in tasks {
            let job = &self.jobs[task.0];
            let TaskState::Placed(placement) = job.tasks[task.1 as usize] else {
                continue;
            };
            if placement.phase == TaskPhase::Reserved {
                reserved.push((placement.since, task));
            } else {
                occupied.add(&job.spec.size);
            }
        }
        let Some(state) = self.workers.get(worker) else { return };
        let capacity = state.spec.capacity;
        reserved.sort();
        for (_, task) in reserved {
            let size = self.jobs[task.0].spec.size;
            if !size.fits(&capacity.minus(&occupied)) {
                continue;
            }
            occupied.add(&size);
            let state = &mut self.jobs[task.0].tasks[task.1 as usize];
            if let TaskState::Placed(placement) = state {
                placement.phase = TaskPhase::Starting;
            }
            self.send_start(task, now);
        }
    }
}
