//! Workers that are gone because another worker responds at their address.

use crate::BootTime;
use crate::LossCause;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::TaskRef;

impl FleetScheduler {
    /// Handles the response of another worker at a worker's address, to a call that was sent at `sent`.
    ///
    /// The worker is gone: its runs have ended, and no later incarnation executes a command that was
    /// sent to it. So its tasks are placed again without waiting for its lease. Does nothing if the
    /// worker is listed under another address by now, or has responded to a later call.
    pub fn worker_replaced(
        &mut self,
        worker: WorkerKey,
        address: &str,
        sent: BootTime,
        now: BootTime,
    ) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let overtaken = state.report_sent > sent;
        if state.replaced || overtaken || &*state.info.address != address {
            return;
        }
        state.replaced = true;
        state.silent_since.get_or_insert(now);
        state.expiry = state.expiry.min(now);
        state.inherited_runs = None;
        state.clear_orphans();
        let id = state.info.id.clone();
        let address = state.info.address.clone();
        let worker_id = id.clone();
        self.events.push(SchedulerEvent::Replaced { worker: worker_id, address });
        // Ends that the worker has reported stand.
        self.release_held_ends(worker, now);
        self.late_starts.forget_worker(&id);
        let lost = self.take_lost_runs(worker, now);
        let tasks: Vec<TaskRef> = self.workers[worker].tasks.iter().copied().collect();
        for task in tasks {
            self.abandon_run(task, LossCause::WorkerLost, now);
        }
        self.record_crash(&id, lost, now);
    }
}
