//! The loop that extends a worker's lease and polls its runs.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerReport;
use tokio::sync::Notify;

use crate::CellPorts;
use crate::CommandError;
use crate::PassPacing;
use crate::PollCommand;
use crate::cell_metrics;
use crate::command_sender::CommandSender;
use crate::owner_authority::OwnerAuthority;
use crate::worker_gateway::CommandResult;

/// How long a worker may wait for a run to end before it responds.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The maximum wait until the ended runs of a report are stored. A worker responds immediately
/// while it has unacknowledged ends, so an earlier call would return nothing new.
const STORE_WAIT: Duration = Duration::from_millis(120);
/// The weight of a new response in the average time that a worker's responses take.
const WAIT_GAIN: f64 = 0.125;
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
    /// The pacing of the passes that use the reports.
    pub(crate) pacing: Rc<RefCell<PassPacing>>,
    pub(crate) worker: WorkerKey,
    /// How long the responses to the latest polls took on average.
    pub(crate) typical_wait: Cell<Duration>,
}

/// A poll that has been sent.
struct OpenPoll {
    /// When the poll was sent.
    sent: BootTime,
    /// The address of the worker.
    address: Name,
    /// The fencing token that the poll carries.
    token: u64,
    response: LocalBoxFuture<'static, CommandResult<WorkerReport>>,
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
                    self.pacing.borrow().report_gap()
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

    /// Polls the worker and passes its report to the scheduler.
    async fn poll(&self, silent: bool) -> CommandResult<()> {
        let wait = if silent { Duration::ZERO } else { POLL_WAIT };
        let Some(poll) = self.open_poll(wait) else { return Ok(()) };
        let (address, token) = (poll.address.clone(), poll.token);
        let (sent, result) = if silent {
            (poll.sent, poll.response.await)
        } else {
            self.await_report(poll).await
        };
        if matches!(result, Err(CommandError::Fenced))
            && self.sender.is_token_raised(self.worker, token)
        {
            return Ok(());
        }
        if matches!(result, Err(CommandError::OtherIncarnation)) {
            self.release_replaced(&address, sent);
        }
        self.apply_report(&result?, sent);
        Ok(())
    }

    /// Sends a poll to the worker, if it is known. A poll that does not wait follows one without a
    /// response, so the worker may be gone, and its lease is not extended: its end stays known.
    fn open_poll(&self, wait: Duration) -> Option<OpenPoll> {
        let now = self.ports.clock.now();
        let target = self.sender.target(self.worker)?;
        let extend = !wait.is_zero() && self.authority.may_extend(now);
        let lease_end_ms =
            if extend { self.sender.lease_end(self.worker, now) } else { None };
        if lease_end_ms.is_some() {
            self.scheduler.borrow_mut().extend_lease(self.worker, now);
        }
        // A worker that has left a poll without a response may have restarted, in which case it numbers its
        // ends from 1 again.
        let acknowledged = if wait.is_zero() {
            0
        } else {
            self.scheduler.borrow().stored_ends(self.worker)
        };
        let command = PollCommand { lease_end_ms, acknowledged, wait };
        let (address, token) = (target.address.clone(), target.token);
        let response = self.ports.workers.poll(target, command);
        Some(OpenPoll { sent: now, address, token, response })
    }

    /// Waits for the report of a poll, which is sent again on another connection if the response may be
    /// lost. Returns the result, and when the poll was sent that it belongs to.
    async fn await_report(
        &self,
        poll: OpenPoll,
    ) -> (BootTime, CommandResult<WorkerReport>) {
        let OpenPoll { sent, mut response, .. } = poll;
        loop {
            let delay = self.sender.poll_delay(self.typical_wait.get(), POLL_WAIT);
            let early = tokio::time::timeout(delay, &mut response).await;
            if let Ok(result) = early {
                self.record_response(sent, &result);
                return (sent, result);
            }
            let Some(second) = self.open_poll(Duration::ZERO) else {
                return (sent, response.await);
            };
            cell_metrics::count_retry("poll");
            let timeout = self.sender.overdue(Duration::ZERO) * 2;
            let answer = Box::pin(tokio::time::timeout(timeout, second.response));
            match select(&mut response, answer).await {
                Either::Left((result, _)) => {
                    self.record_response(sent, &result);
                    return (sent, result);
                }
                Either::Right((Ok(Ok(report)), _)) => {
                    if !self.shows_loss(&report, sent) {
                        self.apply_report(&report, second.sent);
                        continue;
                    }
                    self.sender.record_lost_call();
                    return (second.sent, Ok(report));
                }
                // The first poll may still be answered, and decides if it is not.
                Either::Right((Err(_) | Ok(Err(CommandError::Call(_))), _)) => {}
                Either::Right((Ok(Err(error)), _)) => return (second.sent, Err(error)),
            }
        }
    }

    /// Returns whether the report of a later poll shows that the response to the one sent at `sent` is
    /// lost: it is overdue, or a run has ended meanwhile.
    fn shows_loss(&self, report: &WorkerReport, sent: BootTime) -> bool {
        let now = self.ports.clock.now();
        now >= sent + self.sender.overdue(POLL_WAIT)
            || self.scheduler.borrow().has_new_ends(self.worker, report)
    }

    /// Records how long the response to a poll took.
    fn record_response(&self, sent: BootTime, result: &CommandResult<WorkerReport>) {
        if result.is_ok() {
            let now = self.ports.clock.now();
            let (typical, took) = (self.typical_wait.get(), now.saturating_sub(sent));
            let typical = typical.mul_f64(1.0 - WAIT_GAIN) + took.mul_f64(WAIT_GAIN);
            self.typical_wait.set(typical);
            self.sender.record_response();
        }
    }

    /// Tells the scheduler that another worker has responded at the worker's address, to a call that was sent
    /// at `sent`.
    fn release_replaced(&self, address: &str, sent: BootTime) {
        let now = self.ports.clock.now();
        self.scheduler.borrow_mut().worker_replaced(self.worker, address, sent, now);
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
        self.sender.apply_report(self.worker, report, sent);
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
