//! Sends commands to workers.

mod report_requests;
mod start_commands;
mod stop_commands;

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerReport;
use tokio::sync::Notify;

use crate::CellPorts;
use crate::CommandError;
use crate::CommandRun;
use crate::CommandSlots;
use crate::RepeatTiming;
use crate::WorkKind;
use crate::WorkerTarget;
use crate::evacuation_watch::EvacuationWatch;
use crate::owner_authority::OwnerAuthority;
use crate::task_guard::spawn_owner_task;
use crate::worker_gateway::CommandResult;

use self::report_requests::ReportRequests;

/// A reading of a worker's clock and the local time at which it was received.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at: BootTime,
}

/// Sends commands to workers and reports the results to the scheduler.
pub(crate) struct CommandSender {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    evacuations: Rc<EvacuationWatch>,
    clocks: RefCell<HashMap<WorkerKey, ClockReading>>,
    timing: RefCell<RepeatTiming>,
    slots: Rc<CommandSlots>,
    requests: ReportRequests,
    /// The runs whose stop commands wait for a slot or for their response.
    open_stops: RefCell<HashSet<CommandRun>>,
    lease: Duration,
    pass_due: Rc<Notify>,
}

impl CommandSender {
    /// Creates a sender. `lease` is the maximum lease of a worker.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        scheduler: Rc<RefCell<FleetScheduler>>,
        evacuations: Rc<EvacuationWatch>,
        lease: Duration,
        pass_due: Rc<Notify>,
    ) -> Self {
        let clocks = RefCell::default();
        CommandSender {
            ports,
            authority,
            scheduler,
            evacuations,
            clocks,
            timing: RefCell::default(),
            slots: Rc::default(),
            requests: ReportRequests::default(),
            open_stops: RefCell::default(),
            lease,
            pass_due,
        }
    }

    /// Returns the address of a worker and the fencing token of commands to it.
    pub(crate) fn target(&self, worker: WorkerKey) -> Option<WorkerTarget> {
        let scheduler = self.scheduler.borrow();
        let info = scheduler.worker_info(worker)?;
        let (id, address) = (info.id.clone(), info.address.clone());
        let token = self.authority.epoch + scheduler.fence(worker);
        Some(WorkerTarget { id, address, token })
    }

    /// Passes a worker's report to the scheduler; it responds to a call that was sent at `sent`.
    pub(crate) fn apply_report(
        &self,
        worker: WorkerKey,
        report: &WorkerReport,
        sent: BootTime,
    ) {
        let at = self.ports.clock.now();
        if self.scheduler.borrow_mut().report(worker, report, sent, at) {
            let reading = ClockReading { clock_ms: report.clock_ms, at };
            self.clocks.borrow_mut().insert(worker, reading);
        }
        self.pass_due.notify_one();
    }

    /// Returns the end, on the worker's clock, of a lease that starts now.
    pub(crate) fn lease_end(&self, worker: WorkerKey, now: BootTime) -> Option<u64> {
        let clocks = self.clocks.borrow();
        let reading = clocks.get(&worker)?;
        let end = now.saturating_sub(reading.at) + self.lease;
        Some(reading.clock_ms.saturating_add(end.as_millis() as u64))
    }

    /// Returns the delay after which a poll of a worker is repeated; see [`RepeatTiming::poll_delay`].
    pub(crate) fn poll_delay(&self, typical: Duration, wait: Duration) -> Duration {
        self.timing.borrow().poll_delay(typical, wait)
    }

    /// Returns how long a poll may take; see [`RepeatTiming::overdue`].
    pub(crate) fn overdue(&self, wait: Duration) -> Duration {
        self.timing.borrow().overdue(wait)
    }

    /// Records that a worker responded to a call.
    pub(crate) fn record_response(&self) {
        self.timing.borrow_mut().record_response(self.ports.clock.now());
    }

    /// Records that a worker left a call without a response, but answered a later one.
    pub(crate) fn record_lost_call(&self) {
        self.timing.borrow_mut().record_loss(self.ports.clock.now());
    }

    /// Returns the share of the latest calls that got no response.
    pub(crate) fn loss_ratio(&self) -> f64 {
        self.timing.borrow().loss_ratio()
    }

    /// Tells a command that was fenced off because the worker has restarted meanwhile from one that
    /// was fenced off by a later owner.
    fn check_fence(
        &self,
        worker: WorkerKey,
        target: &WorkerTarget,
        result: CommandResult<()>,
    ) -> CommandResult<()> {
        match result {
            Err(CommandError::Fenced) if self.is_token_raised(worker, target.token) => {
                Err(CommandError::OtherIncarnation)
            }
            result => result,
        }
    }

    /// Returns whether this owner's own later calls to a worker carry a higher token than an earlier call, so
    /// that a refusal of that one's token shows no later owner.
    pub(crate) fn is_token_raised(&self, worker: WorkerKey, token: u64) -> bool {
        self.target(worker).is_none_or(|now| now.token > token)
    }

    /// Records that a worker accepts commands of a later owner.
    pub(crate) fn mark_ownership_lost(&self) {
        self.authority.report_lost("worker");
    }

    /// Spawns the task of a command.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let work = self.ports.meter.meter(WorkKind::Commands, work);
        spawn_owner_task("command", &self.authority, work);
    }

    /// Returns the number of commands that wait for a slot.
    pub(crate) fn waiting_commands(&self) -> usize {
        self.slots.waiting()
    }
}
