//! Ends of runs that a report has no room for.
//!
//! A worker lists a limited number of ends at a time and the others once these are acknowledged, which
//! takes until the store holds them. Until then, a run that is listed nowhere has ended, but may have
//! ended well, so its task neither waits again nor counts as lost. Who says that a list is whole is the
//! report itself.

use crate::SchedulerEvent;
use crate::WorkerReport;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::TaskRef;

impl FleetScheduler {
    /// Records whether a worker's report has room for all ends.
    pub(super) fn update_unread_ends(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
    ) {
        let state = &mut self.workers[worker];
        state.unread_runs.clear();
        state.first_listed_end = report.ended.iter().map(|ended| ended.number).min();
        state.has_listed_all |= !report.more_ends;
        let former = std::mem::replace(&mut state.has_more_ends, report.more_ends);
        if former != report.more_ends {
            self.events.push(SchedulerEvent::EndsListed {
                worker: state.info.id.clone(),
                all: !report.more_ends,
            });
        }
    }

    /// Returns whether the run of a task that its worker no longer lists as running may have an end for
    /// which the last report had no room, and whether that end matters: the task still has to be done.
    pub(super) fn may_have_ended_unread(&self, task: TaskRef, worker: WorkerKey) -> bool {
        let needed = self.jobs[task.job].live() && !self.task_state(task).done;
        needed && self.workers[worker].has_more_ends
    }

    /// Returns whether the run of a placed task has ended although its end was not read yet.
    pub(super) fn is_end_unread(&self, task: TaskRef) -> bool {
        let worker = self.placement_of(task).map(|placement| placement.worker);
        let state = worker.and_then(|worker| self.workers.get(worker));
        state.is_some_and(|state| state.unread_runs.contains(&task))
    }
}
