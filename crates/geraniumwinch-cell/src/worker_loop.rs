//! Keeps the lease of a worker and reads what runs there.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerReport;
use tokio::sync::Notify;

use crate::CellPorts;
use crate::CommandError;
use crate::PollCommand;
use crate::authority::OwnerAuthority;
use crate::command_sender::CommandSender;
use crate::worker_gateway::CommandResult;

/// How long a worker may wait for an end before it answers.
const HOLD_WAIT: Duration = Duration::from_millis(1000);
/// The pause between an answer and the next call.
const HOLD_GAP: Duration = Duration::from_millis(15);
/// The longest wait until the ends of a report are stored. A worker answers at once while it has
/// ends that were not acknowledged, so that a call before then brings nothing new.
const STORE_WAIT: Duration = Duration::from_millis(120);
/// The pause after a call that brought no report.
const RETRY: Duration = Duration::from_millis(250);

/// The loop that keeps one worker's lease.
pub(crate) struct WorkerLoop {
    pub(crate) ports: CellPorts,
    pub(crate) authority: Rc<OwnerAuthority>,
    pub(crate) scheduler: Rc<RefCell<FleetScheduler>>,
    pub(crate) sender: Rc<CommandSender>,
    pub(crate) pump: Rc<Notify>,
    pub(crate) stored: Rc<Notify>,
    pub(crate) worker: WorkerKey,
}

impl WorkerLoop {
    /// Runs until the ownership ends or the worker is gone.
    pub(crate) async fn run(self) {
        let mut silent = true;
        while !self.authority.is_lost() {
            let pause = match self.poll(silent).await {
                Ok(()) => {
                    if silent {
                        self.log_contact(true, "answered");
                    }
                    silent = false;
                    self.await_stored().await;
                    HOLD_GAP
                }
                Err(CommandError::Fenced) => {
                    self.sender.lose_ownership();
                    return;
                }
                Err(error) => {
                    if !silent {
                        self.log_contact(false, error.as_str());
                    }
                    silent = true;
                    self.scheduler.borrow_mut().mark_silent(self.worker);
                    RETRY
                }
            };
            let now = self.ports.clock.now();
            if self.scheduler.borrow_mut().remove_if_gone(self.worker, now) {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Calls the worker once; a silent worker's lease is left as it is, so that its end is known.
    async fn poll(&self, silent: bool) -> CommandResult<()> {
        let now = self.ports.clock.now();
        let Some(target) = self.sender.target(self.worker) else { return Ok(()) };
        let extend = !silent && self.authority.may_extend(now);
        let lease_end_ms =
            if extend { self.sender.lease_end(self.worker, now) } else { None };
        if lease_end_ms.is_some() {
            self.scheduler.borrow_mut().extend_lease(self.worker, now);
        }
        // A silent worker may have begun a new lifetime, in which ends are numbered anew.
        let acknowledged =
            if silent { 0 } else { self.scheduler.borrow().stored_ends(self.worker) };
        let wait = if silent { Duration::ZERO } else { HOLD_WAIT };
        let order = PollCommand { lease_end_ms, acknowledged, wait };
        let report = self.ports.workers.poll(target, order).await?;
        self.take(&report, now);
        Ok(())
    }

    /// Waits until the store holds all ends that were reported, but not for long.
    async fn await_stored(&self) {
        let until = self.ports.clock.now() + STORE_WAIT;
        loop {
            let stored = self.stored.notified();
            let left = until.saturating_sub(self.ports.clock.now());
            let unstored = self.scheduler.borrow().has_unstored_ends(self.worker);
            if !unstored || left.is_zero() {
                return;
            }
            // An elapsed wait needs no handling: the next round looks at the time.
            let _ = tokio::time::timeout(left, stored).await;
        }
    }

    /// Takes in a report.
    fn take(&self, report: &WorkerReport, sent: Duration) {
        self.sender.read_clock(self.worker, report.clock_ms);
        let now = self.ports.clock.now();
        self.scheduler.borrow_mut().report(self.worker, report, sent, now);
        self.pump.notify_one();
    }

    /// Logs that a worker answers again or does no longer.
    fn log_contact(&self, found: bool, reason: &str) {
        let worker = self.sender.target(self.worker).map(|target| target.id);
        let worker = worker.as_deref().unwrap_or_default();
        if found {
            log_event!(Info, "worker-regained", worker = worker, reason = reason);
        } else {
            log_event!(Warn, "worker-lost", worker = worker, reason = reason);
        }
    }
}
