//! Commands to stop runs.

use std::rc::Rc;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::RunStop;

use crate::CommandError;
use crate::CommandRun;
use crate::WorkerTarget;
use crate::cell_metrics;

use super::CommandSender;

impl CommandSender {
    /// Sends a command to stop a run, unless no start of it was sent or an earlier stop is on its way.
    pub(crate) fn stop(self: &Rc<Self>, stop: RunStop) {
        let run = CommandRun::from(&stop);
        if self.withdraw_start(&run) || !self.open_stops.borrow_mut().insert(run.clone())
        {
            return;
        }
        let sender = Rc::clone(self);
        let work = async move {
            sender.send_stop(stop).await;
            sender.open_stops.borrow_mut().remove(&run);
        };
        self.spawn(work);
    }

    /// Withdraws a start command that waits for a slot. Returns whether no copy of it was sent before,
    /// so that there is nothing to stop.
    fn withdraw_start(&self, run: &CommandRun) -> bool {
        let Some(target) = self.target(run.worker) else { return false };
        let scheduler = self.scheduler.borrow();
        self.slots.withdraw(&target.address, run)
            && !scheduler.is_start_unanswered(run.worker, &run.task, run.run)
    }

    /// Sends a command to stop a run once, when it has a slot.
    async fn send_stop(&self, stop: RunStop) {
        let Some(WorkerTarget { address, .. }) = self.target(stop.worker) else { return };
        let Some(slot) = self.slots.acquire_stop(&address).await else { return };
        // What runs is decided by a later owner, and at another address by the next stop.
        let target = self.target(stop.worker).filter(|target| target.address == address);
        let Some(target) = target.filter(|_| !self.authority.is_lost()) else { return };
        let result = self.ports.workers.stop(target.clone(), stop.clone()).await;
        drop(slot);
        let result = self.check_fence(stop.worker, &target, result);
        let outcome = result.as_ref().map_or_else(CommandError::as_str, |()| "stopped");
        log_event!(Info, "stop", task = stop.task, run = stop.run, outcome = outcome);
        match result {
            Ok(()) => {
                let now = self.ports.clock.now();
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.stop_response(stop.worker, &stop.task, stop.run, now);
            }
            Err(CommandError::Fenced) => self.mark_ownership_lost(),
            Err(_) => cell_metrics::count_retry("stop"),
        }
    }
}
