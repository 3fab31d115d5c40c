//! Sends orders to workers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::WorkerKey;
use tokio::sync::Notify;

use crate::CallError;
use crate::CellPorts;
use crate::CommandError;
use crate::StartCommand;
use crate::WorkerTarget;
use crate::authority::OwnerAuthority;
use crate::cell_metrics;
use crate::worker_gateway::CommandResult;

/// The wait before an order to start a task that had no answer is repeated.
const START_RETRY: Duration = Duration::from_millis(60);

/// A worker's own clock at a moment of this VM's.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at: BootTime,
}

/// Sends orders to workers and tells the scheduler what became of them.
pub(crate) struct CommandSender {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    clocks: RefCell<HashMap<WorkerKey, ClockReading>>,
    lease: Duration,
    pump: Rc<Notify>,
}

impl CommandSender {
    /// Creates a sender; `lease` is the longest lease of a worker.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        scheduler: Rc<RefCell<FleetScheduler>>,
        lease: Duration,
        pump: Rc<Notify>,
    ) -> Self {
        let clocks = RefCell::default();
        CommandSender { ports, authority, scheduler, clocks, lease, pump }
    }

    /// Returns whom orders for a worker are for.
    pub(crate) fn target(&self, worker: WorkerKey) -> Option<WorkerTarget> {
        let scheduler = self.scheduler.borrow();
        let info = scheduler.worker_info(worker)?;
        let (id, address) = (info.id.clone(), info.address.clone());
        Some(WorkerTarget { id, address, epoch: self.authority.epoch })
    }

    /// Notes what a worker's clock said in an answer.
    pub(crate) fn read_clock(&self, worker: WorkerKey, clock_ms: u64) {
        let at = self.ports.clock.now();
        self.clocks.borrow_mut().insert(worker, ClockReading { clock_ms, at });
    }

    /// Returns the end of a lease that begins now, on the worker's clock.
    pub(crate) fn lease_end(&self, worker: WorkerKey, now: BootTime) -> Option<u64> {
        let clocks = self.clocks.borrow();
        let reading = clocks.get(&worker)?;
        let end = now.saturating_sub(reading.at) + self.lease;
        Some(reading.clock_ms + end.as_millis() as u64)
    }

    /// Sends an order to start a task.
    pub(crate) fn start(self: &Rc<Self>, start: RunStart) {
        let sender = Rc::clone(self);
        actix_rt::spawn(async move {
            let (worker, task, run) = (start.worker, start.task.clone(), start.run);
            let outcome = sender.try_start(start).await;
            let now = sender.ports.clock.now();
            sender.scheduler.borrow_mut().start_outcome(worker, &task, run, outcome, now);
            if outcome != StartOutcome::Started {
                sender.pump.notify_one();
            }
        });
    }

    /// Starts a task; an order without an answer is repeated once.
    async fn try_start(&self, start: RunStart) -> StartOutcome {
        let worker = start.worker;
        let mut repeated = false;
        loop {
            let result = self.send_start(start.clone()).await;
            let word = result.as_ref().map_or_else(CommandError::as_str, |()| "started");
            cell_metrics::count_start(word);
            log_event!(
                Info,
                "start",
                task = start.task,
                run = start.run,
                worker =
                    self.target(worker).map_or_else(String::new, |t| t.id.to_string()),
                resumed = start.checkpoint.is_some(),
                outcome = word
            );
            match result {
                Ok(()) => return StartOutcome::Started,
                Err(CommandError::Call(error)) if !error.had_no_effect() => {
                    log_event!(
                        Warn,
                        "start-unanswered",
                        task = start.task,
                        error = error
                    );
                    if repeated {
                        return StartOutcome::Unknown;
                    }
                    repeated = true;
                    cell_metrics::count_retry("start");
                    tokio::time::sleep(START_RETRY).await;
                }
                Err(CommandError::Call(_)) if repeated => return StartOutcome::Unknown,
                Err(error) => return self.refused(worker, &error, repeated),
            }
        }
    }

    /// Sends an order to start a task once.
    async fn send_start(&self, start: RunStart) -> CommandResult<()> {
        let now = self.ports.clock.now();
        let worker = start.worker;
        let target = self.target(worker).filter(|_| self.authority.may_start(now));
        let lease_end_ms = self.lease_end(worker, now);
        let (Some(target), Some(lease_end_ms)) = (target, lease_end_ms) else {
            let message = "no right to give orders".to_owned();
            return Err(CommandError::Call(CallError::NotSent { message }));
        };
        self.scheduler.borrow_mut().extend_lease(worker, now);
        self.ports.workers.start(target, StartCommand { start, lease_end_ms }).await
    }

    /// Draws the conclusions from an order that a worker has refused.
    fn refused(
        &self,
        worker: WorkerKey,
        error: &CommandError,
        repeated: bool,
    ) -> StartOutcome {
        match error {
            CommandError::Fenced => {
                self.lose_ownership();
                StartOutcome::Unknown
            }
            CommandError::StaleRun if repeated => StartOutcome::Unknown,
            CommandError::StaleRun => StartOutcome::StaleRun,
            CommandError::NotPermitted => StartOutcome::NotPermitted,
            CommandError::Unhealthy => StartOutcome::Unhealthy,
            CommandError::Call(_) => {
                self.scheduler.borrow_mut().mark_silent(worker);
                StartOutcome::Refused
            }
            _ => StartOutcome::Refused,
        }
    }

    /// Notes that a worker obeys a later owner.
    pub(crate) fn lose_ownership(&self) {
        if !self.authority.is_lost() {
            log_event!(
                Warn,
                "ownership-lost",
                epoch = self.authority.epoch,
                by = "worker"
            );
        }
        self.authority.lose();
    }

    /// Sends an order to stop a run.
    pub(crate) fn stop(self: &Rc<Self>, stop: RunStop) {
        let sender = Rc::clone(self);
        actix_rt::spawn(async move {
            let Some(target) = sender.target(stop.worker) else { return };
            let result = sender.ports.workers.stop(target, stop.clone()).await;
            let word = result.as_ref().map_or_else(CommandError::as_str, |()| "stopped");
            log_event!(Info, "stop", task = stop.task, run = stop.run, outcome = word);
            match result {
                Ok(()) => {
                    let now = sender.ports.clock.now();
                    let mut scheduler = sender.scheduler.borrow_mut();
                    scheduler.stop_answered(stop.worker, &stop.task, stop.run, now);
                }
                Err(CommandError::Fenced) => sender.lose_ownership(),
                Err(_) => cell_metrics::count_retry("stop"),
            }
        });
    }
}
