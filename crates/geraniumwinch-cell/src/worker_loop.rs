//! The loop that extends a worker's lease and polls its runs.

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
use crate::command_sender::CommandSender;
use crate::owner_authority::OwnerAuthority;
use crate::worker_gateway::CommandResult;

/// How long a worker may wait for a run to end before it responds.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The delay between a response and the next call.
const POLL_GAP: Duration = Duration::from_millis(15);
/// The maximum wait until the ended runs of a report are stored. A worker responds immediately
/// while it has unacknowledged ends, so an earlier call would return nothing new.
const STORE_WAIT: Duration = Duration::from_millis(120);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The loop that extends a worker's lease and polls its runs.
pub(crate) struct WorkerLoop {
    pub(crate) ports: CellPorts,
    pub(crate) authority: Rc<OwnerAuthority>,
    pub(crate) scheduler: Rc<RefCell<FleetScheduler>>,
    pub(crate) sender: Rc<CommandSender>,
    pub(crate) pass_due: Rc<Notify>,
    pub(crate) commit_done: Rc<Notify>,
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
                    POLL_GAP
                }
                Err(CommandError::Fenced) => {
                    self.sender.mark_ownership_lost();
                    return;
                }
                Err(error) => {
                    if !silent {
                        self.log_contact(false, error.as_str());
                    }
                    silent = true;
                    let now = self.ports.clock.now();
                    self.scheduler.borrow_mut().mark_silent(self.worker, now);
                    RETRY_DELAY
                }
            };
            let now = self.ports.clock.now();
            if self.scheduler.borrow_mut().remove_if_gone(self.worker, now) {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Polls the worker once. The lease of a silent worker is not extended, so that its end stays
    /// known.
    async fn poll(&self, silent: bool) -> CommandResult<()> {
        let now = self.ports.clock.now();
        let Some(target) = self.sender.target(self.worker) else { return Ok(()) };
        let extend = !silent && self.authority.may_extend(now);
        let lease_end_ms =
            if extend { self.sender.lease_end(self.worker, now) } else { None };
        if lease_end_ms.is_some() {
            self.scheduler.borrow_mut().extend_lease(self.worker, now);
        }
        // A silent worker may have restarted, in which case it numbers its ends from 1 again.
        let acknowledged =
            if silent { 0 } else { self.scheduler.borrow().stored_ends(self.worker) };
        let wait = if silent { Duration::ZERO } else { POLL_WAIT };
        let command = PollCommand { lease_end_ms, acknowledged, wait };
        let address = target.address.clone();
        let result = self.ports.workers.poll(target, command).await;
        if matches!(result, Err(CommandError::OtherIncarnation)) {
            self.release_replaced(&address);
        }
        self.apply_report(&result?, now);
        Ok(())
    }

    /// Tells the scheduler that another worker has responded at the worker's address.
    fn release_replaced(&self, address: &str) {
        let now = self.ports.clock.now();
        self.scheduler.borrow_mut().worker_replaced(self.worker, address, now);
        self.pass_due.notify_one();
    }

    /// Waits until all reported ends are stored, for at most [`STORE_WAIT`].
    async fn await_stored(&self) {
        let until = self.ports.clock.now() + STORE_WAIT;
        loop {
            let commit_done = self.commit_done.notified();
            let left = until.saturating_sub(self.ports.clock.now());
            let unstored = self.scheduler.borrow().has_unstored_ends(self.worker);
            if !unstored || left.is_zero() {
                return;
            }
            // A timeout needs no handling: the loop checks the remaining time.
            let _ = tokio::time::timeout(left, commit_done).await;
        }
    }

    /// Passes a report to the scheduler.
    fn apply_report(&self, report: &WorkerReport, sent: Duration) {
        self.sender.record_clock(self.worker, report.clock_ms);
        let now = self.ports.clock.now();
        self.scheduler.borrow_mut().report(self.worker, report, sent, now);
        self.pass_due.notify_one();
    }

    /// Logs that a worker responds again or has stopped responding.
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
