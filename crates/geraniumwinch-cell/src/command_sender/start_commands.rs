//! Commands to start tasks.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::StartBasis;
use geraniumwinch_fleet::StartEffect;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::WorkerKey;

use crate::CallError;
use crate::CommandError;
use crate::CommandRun;
use crate::CommandSlot;
use crate::StartCommand;
use crate::WorkerTarget;
use crate::cell_metrics;
use crate::worker_gateway::CommandResult;

use super::CommandSender;

/// The maximum wait for the store to confirm the ownership before a task starts in an incarnation that
/// became known since the last renewal.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a start command without a response is retried.
const START_RETRY_DELAY: Duration = Duration::from_millis(60);
/// The time after which a start command without a ticket and without a response is recorded for the next
/// owner.
const START_RECORD_DELAY: Duration = Duration::from_millis(20);

/// A copy of a start command that waits for a slot or for its response.
type StartCall<'a> = LocalBoxFuture<'a, CommandResult<()>>;

impl CommandSender {
    /// Sends a command to start a task.
    pub(crate) fn start(self: &Rc<Self>, start: RunStart) {
        let sender = Rc::clone(self);
        let work = async move {
            let (worker, task, run) = (start.worker, start.task.clone(), start.run);
            let (outcome, open) = sender.try_start(start).await;
            let now = sender.ports.clock.now();
            sender.scheduler.borrow_mut().start_outcome(worker, &task, run, outcome, now);
            if outcome != StartOutcome::Started {
                sender.pass_due.notify_one();
            }
            let Some(open) = open else { return };
            if is_unanswered(&open.await) {
                sender.record_lost_call();
            } else {
                sender.scheduler.borrow_mut().start_answered(worker, &task, run);
            }
        };
        self.spawn(work);
    }

    /// Starts a task. A command without a response is sent once more, unless its run has been reported,
    /// released or stopped meanwhile; its response counts as well if it still arrives.
    ///
    /// Returns the outcome, and a copy that has got no response yet but is no longer needed for it.
    async fn try_start(&self, start: RunStart) -> (StartOutcome, Option<StartCall<'_>>) {
        // The time until the response is due begins when the command has its slot.
        let slot = self.await_slot(&start).await;
        if slot.is_some()
            && let Err(error) = self.await_basis(&start).await
        {
            let (result, basis) = (Err(error), self.start_basis(start.worker));
            self.log_start(&start, 1, basis, &result);
            return (self.outcome(start.worker, &result), None);
        }
        let basis = self.start_basis(start.worker);
        let mut first = self.send_start(start.clone(), slot).boxed_local();
        // Without a ticket, nothing keeps a later incarnation from executing an open copy, so the first
        // one is given its whole time.
        let delay = self.timing.borrow().command_delay();
        let early = match start.ticket {
            Some(_) => tokio::time::timeout(delay, &mut first).await,
            None => Ok(self.await_recorded(&start, &mut first).await),
        };
        let open = match early {
            Ok(result) => {
                self.log_start(&start, 1, basis, &result);
                if !is_unanswered(&result) {
                    return (self.outcome(start.worker, &result), None);
                }
                None
            }
            Err(_) => Some(first),
        };
        self.record_unanswered(&start);
        if open.is_none() {
            tokio::time::sleep(START_RETRY_DELAY).await;
        }
        if !self.wants_start(&start) {
            return (StartOutcome::Unknown, open);
        }
        cell_metrics::count_retry("start");
        let second_basis = self.start_basis(start.worker);
        let second = self.start_in_turn(start.clone()).boxed_local();
        let (result, open) = match open {
            Some(first) => self.await_either(&start, basis, first, second).await,
            None => (second.await, None),
        };
        self.log_start(&start, 2, second_basis, &result);
        if is_unanswered(&result) {
            self.record_unanswered(&start);
        }
        (self.outcome(start.worker, &result), open)
    }

    /// Waits for the response to the first copy of a start command without a ticket. If it is not there soon,
    /// the start is recorded for the next owner.
    async fn await_recorded(
        &self,
        start: &RunStart,
        first: &mut StartCall<'_>,
    ) -> CommandResult<()> {
        let early = tokio::time::timeout(START_RECORD_DELAY, &mut *first).await;
        if let Ok(result) = early {
            return result;
        }
        self.record_overdue(start);
        first.await
    }

    /// Waits for the responses to both copies of a start command. Returns the first success with the
    /// other copy, or the result of the second copy once both have failed.
    async fn await_either<'a>(
        &self,
        start: &RunStart,
        basis: StartBasis,
        first: StartCall<'a>,
        second: StartCall<'a>,
    ) -> (CommandResult<()>, Option<StartCall<'a>>) {
        match select(first, second).await {
            Either::Left((Ok(()), second)) => (Ok(()), Some(second)),
            Either::Right((Ok(()), first)) => (Ok(()), Some(first)),
            Either::Left((result, second)) => {
                self.log_start(start, 1, basis, &result);
                (second.await, None)
            }
            Either::Right((result, first)) => match first.await {
                Ok(()) => (Ok(()), None),
                Err(_) => (result, None),
            },
        }
    }

    /// Returns the outcome of a start command for the scheduler.
    fn outcome(&self, worker: WorkerKey, result: &CommandResult<()>) -> StartOutcome {
        match result {
            Ok(()) => StartOutcome::Started,
            Err(_) if is_unanswered(result) => StartOutcome::Unknown,
            Err(error) => self.handle_refusal(worker, error),
        }
    }

    /// Logs and counts the result of a copy of a start command.
    ///
    /// Refused and unanswered copies also have lines of their own, since the many successful starts
    /// may use up the lines of a second.
    fn log_start(
        &self,
        start: &RunStart,
        copy: u32,
        basis: StartBasis,
        result: &CommandResult<()>,
    ) {
        let outcome = result.as_ref().map_or_else(CommandError::as_str, |()| "started");
        let worker = self.target(start.worker).map(|target| target.id);
        cell_metrics::count_start(outcome);
        log_event!(
            Info,
            "start",
            task = start.task,
            run = start.run,
            copy = copy,
            worker = worker.as_deref().unwrap_or_default(),
            incarnation = basis.incarnation,
            token = self.authority.epoch + basis.fence,
            report_age_ms = basis.report_age.as_millis(),
            resumed = start.checkpoint.is_some(),
            outcome = outcome
        );
        let (task, run) = (&start.task, start.run);
        match result {
            Ok(()) => {}
            Err(CommandError::Call(error)) if !error.had_no_effect() => {
                log_event!(
                    Warn,
                    "start-unanswered",
                    task = task,
                    run = run,
                    error = error
                );
            }
            Err(error) if error.was_withheld() => {}
            Err(_) => {
                log_event!(
                    Warn,
                    "start-refused",
                    task = task,
                    run = run,
                    copy = copy,
                    outcome = outcome
                );
            }
        }
    }

    /// Returns what is known of a worker now that a start is sent to it.
    fn start_basis(&self, worker: WorkerKey) -> StartBasis {
        self.scheduler.borrow().start_basis(worker, self.ports.clock.now())
    }

    /// Returns whether the run of a start command is still to be started.
    fn wants_start(&self, start: &RunStart) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.wants_start(start.worker, &start.task, start.run)
    }

    /// Records that a copy of a start command got no response.
    fn record_unanswered(&self, start: &RunStart) {
        let now = self.ports.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.start_unanswered(start.worker, &start.task, start.run, now);
    }

    /// Records that the response to a start command is overdue. The next pass triggers the write.
    fn record_overdue(&self, start: &RunStart) {
        let now = self.ports.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.start_overdue(start.worker, &start.task, start.run, now);
        self.pass_due.notify_one();
    }

    /// Returns whether a start on a worker is to be withheld because its failure domain is evacuated,
    /// or because it is not known whether it is.
    fn withholds_start(&self, worker: WorkerKey, now: BootTime) -> bool {
        !self.evacuations.permits_starts(now)
            || self.scheduler.borrow().is_evacuated(worker)
    }

    /// Waits for a slot for a start command. Returns `None` if the start is withdrawn meanwhile.
    async fn await_slot(&self, start: &RunStart) -> Option<CommandSlot> {
        let address = self.target(start.worker)?.address;
        self.slots.acquire_start(&address, CommandRun::from(start)).await
    }

    /// Sends a start command once, when it has a slot.
    async fn start_in_turn(&self, start: RunStart) -> CommandResult<()> {
        let slot = self.await_slot(&start).await;
        self.send_start(start, slot).await
    }

    /// Waits until what a start command is based on is known to hold: the report of its worker, and that no
    /// other process owned the cell when the worker's incarnation became known.
    async fn await_basis(&self, start: &RunStart) -> CommandResult<()> {
        self.await_report(start).await?;
        let since = self.scheduler.borrow().incarnation_since(start.worker);
        let confirmed = self.authority.is_confirmed(since)
            || self.authority.confirm(since, CONFIRM_TIMEOUT).await;
        if confirmed { Ok(()) } else { Err(CommandError::NotOwner) }
    }

    /// Checks whether a start command may be sent now to the address of its slot. Whatever was decided
    /// before may have changed while it waited.
    fn check_start(
        &self,
        start: &RunStart,
        address: &Name,
        now: BootTime,
    ) -> CommandResult<WorkerTarget> {
        let target =
            self.target(start.worker).filter(|target| target.address == *address);
        let since = self.scheduler.borrow().incarnation_since(start.worker);
        if !self.authority.may_start(now) || !self.authority.is_confirmed(since) {
            Err(CommandError::NotOwner)
        } else if self.withholds_start(start.worker, now) {
            Err(CommandError::Withheld)
        } else if !self.wants_start(start) {
            Err(CommandError::Unwanted)
        } else if start.is_expired(now) {
            Err(CommandError::NotPermitted)
        } else if !self.scheduler.borrow().accepts_starts(start.worker) {
            Err(CommandError::WorkerClosed)
        } else if self.scheduler.borrow().needs_report(start) {
            Err(CommandError::Unconfirmed)
        } else {
            target.ok_or(CommandError::WorkerClosed)
        }
    }

    /// Sends a start command once, if it is still to be sent now that it has a slot.
    async fn send_start(
        &self,
        start: RunStart,
        slot: Option<CommandSlot>,
    ) -> CommandResult<()> {
        let now = self.ports.clock.now();
        let worker = start.worker;
        let slot = slot.ok_or(CommandError::Unwanted)?;
        let target = self.check_start(&start, slot.address(), now)?;
        let Some(lease_end_ms) = self.lease_end(worker, now) else {
            let message = "the worker has not reported".to_owned();
            return Err(CommandError::Call(CallError::NotSent { message }));
        };
        self.scheduler.borrow_mut().extend_lease(worker, now);
        let (task, run) = (start.task.clone(), start.run);
        self.scheduler.borrow_mut().start_sent(worker, &task, run);
        let command = StartCommand { start, lease_end_ms };
        let result = self.ports.workers.start(target.clone(), command).await;
        drop(slot);
        let answered = self.ports.clock.now();
        let effect = start_effect(&result);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.start_settled(worker, &task, run, effect, answered);
        drop(scheduler);
        if result.is_ok() {
            let took = answered.saturating_sub(now);
            self.timing.borrow_mut().record_command(took, answered);
        }
        self.check_fence(worker, &target, result)
    }

    /// Handles a refused copy of a start command and returns the outcome for the scheduler.
    fn handle_refusal(&self, worker: WorkerKey, error: &CommandError) -> StartOutcome {
        match error {
            CommandError::Fenced => {
                self.mark_ownership_lost();
                StartOutcome::Unknown
            }
            CommandError::StaleRun => StartOutcome::StaleRun,
            CommandError::NotPermitted => StartOutcome::NotPermitted,
            CommandError::Unhealthy => StartOutcome::Unhealthy,
            CommandError::Call(_) => {
                let now = self.ports.clock.now();
                self.scheduler.borrow_mut().mark_silent(worker, now);
                StartOutcome::Refused
            }
            _ => StartOutcome::Refused,
        }
    }
}

/// Returns what a copy of a start command that was sent has done.
fn start_effect(result: &CommandResult<()>) -> StartEffect {
    match result {
        Ok(()) => StartEffect::Executed,
        Err(_) if is_unanswered(result) => StartEffect::Unknown,
        Err(_) => StartEffect::None,
    }
}

/// Returns whether a command got no response, so that its worker may execute it later.
fn is_unanswered(result: &CommandResult<()>) -> bool {
    matches!(result, Err(CommandError::Call(error)) if !error.had_no_effect())
}
