//! Requests for reports that start commands wait for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerReport;
use tokio::sync::Mutex;

use crate::CommandError;
use crate::PollCommand;
use crate::cell_metrics;
use crate::worker_gateway::CommandResult;

use super::CommandSender;

/// The maximum number of reports that a start requests: one for its ticket, and one for each restart of the
/// worker meanwhile.
const MAX_REQUESTS: usize = 4;

/// When the last request to a worker failed, if it did. Whoever holds the lock requests.
type FailedRequest = Mutex<Option<BootTime>>;
/// The time when a poll was sent, and its response.
type TimedReport = (BootTime, CommandResult<WorkerReport>);
/// A poll that has been sent.
type ReportCall = LocalBoxFuture<'static, TimedReport>;

/// The requests for reports by worker, so that several starts share one.
#[derive(Debug, Default)]
pub(super) struct ReportRequests {
    by_worker: RefCell<HashMap<WorkerKey, Rc<FailedRequest>>>,
}

impl ReportRequests {
    /// Returns the request to a worker.
    fn enter(&self, worker: WorkerKey) -> Rc<FailedRequest> {
        Rc::clone(self.by_worker.borrow_mut().entry(worker).or_default())
    }

    /// Forgets the request to a worker that nobody else waits for.
    fn leave(&self, worker: WorkerKey, request: &Rc<FailedRequest>) {
        let mut requests = self.by_worker.borrow_mut();
        // One owner is the table, the other one the caller.
        if Rc::strong_count(request) <= 2 {
            requests.remove(&worker);
        }
    }
}

impl CommandSender {
    /// Waits until the last report of a start's worker is recent enough for the start; see
    /// [`FleetScheduler::needs_report`].
    ///
    /// # Errors
    ///
    /// Fails if the worker does not report in time, or refuses to.
    ///
    /// [`FleetScheduler::needs_report`]: geraniumwinch_fleet::FleetScheduler::needs_report
    pub(super) async fn await_report(&self, start: &RunStart) -> CommandResult<()> {
        if !self.scheduler.borrow().needs_report(start) {
            return Ok(());
        }
        let began = self.ports.clock.now();
        let request = self.requests.enter(start.worker);
        let result = self.request_reports(start, &request, began).await;
        self.requests.leave(start.worker, &request);
        result
    }

    /// Requests reports until one is recent enough, unless a request that was sent since `began` has
    /// failed.
    async fn request_reports(
        &self,
        start: &RunStart,
        request: &FailedRequest,
        began: BootTime,
    ) -> CommandResult<()> {
        let mut failed_at = request.lock().await;
        if failed_at.is_some_and(|at| at >= began) {
            return Err(CommandError::Unconfirmed);
        }
        for _ in 0..MAX_REQUESTS {
            if !self.scheduler.borrow().needs_report(start) {
                return Ok(());
            }
            let token = self.target(start.worker).map_or(0, |target| target.token);
            let (sent, result) = self.request_report(start.worker).await;
            match result {
                Ok(report) => self.apply_report(start.worker, &report, sent),
                Err(CommandError::Fenced)
                    if self.is_token_raised(start.worker, token) => {}
                Err(error) => {
                    let now = self.ports.clock.now();
                    *failed_at = Some(now);
                    self.scheduler.borrow_mut().report_missing(start.worker, now);
                    return Err(unconfirmed(error));
                }
            }
        }
        match self.scheduler.borrow().needs_report(start) {
            true => Err(CommandError::Unconfirmed),
            false => Ok(()),
        }
    }

    /// Requests a report, on a second connection as well if the response may be lost.
    async fn request_report(&self, worker: WorkerKey) -> TimedReport {
        cell_metrics::count_report_request();
        let mut first = self.poll_once(worker);
        let delay = self.overdue(Duration::ZERO);
        if let Ok(early) = tokio::time::timeout(delay, &mut first).await {
            return early;
        }
        cell_metrics::count_retry("report");
        let either = self.await_either_report(first, self.poll_once(worker));
        let late = tokio::time::timeout(delay * 2, either).await;
        late.unwrap_or_else(|_| (self.ports.clock.now(), Err(CommandError::Unconfirmed)))
    }

    /// Waits for the responses to two polls, and returns the first one, unless only the other one brings a
    /// report.
    async fn await_either_report(
        &self,
        first: ReportCall,
        second: ReportCall,
    ) -> TimedReport {
        match select(first, second).await {
            Either::Left(((_, Err(CommandError::Call(_))), second)) => second.await,
            Either::Left((response, _)) => response,
            Either::Right(((_, Err(CommandError::Call(_))), first)) => first.await,
            Either::Right((response, _)) => {
                self.record_lost_call();
                response
            }
        }
    }

    /// Polls a worker once. The poll acknowledges no ends and extends no lease, as the worker may have
    /// restarted.
    fn poll_once(&self, worker: WorkerKey) -> ReportCall {
        let sent = self.ports.clock.now();
        let Some(target) = self.target(worker) else {
            return async move { (sent, Err(CommandError::WorkerClosed)) }.boxed_local();
        };
        let wait = Duration::ZERO;
        let command = PollCommand { lease_end_ms: None, acknowledged: 0, wait };
        let response = self.ports.workers.poll(target, command);
        response.map(move |response| (sent, response)).boxed_local()
    }
}

/// Maps the error of a request for a report to that of the start that waits for it, which was not sent.
fn unconfirmed(error: CommandError) -> CommandError {
    match error {
        CommandError::Call(error) if !error.had_no_effect() => CommandError::Unconfirmed,
        error => error,
    }
}
