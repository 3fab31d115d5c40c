//! The planned shutdown of a process: its moments, and the exchanges that have to end before it.
//!
//! From the signal on, requests are served as before while the clients move to other processes. Shortly
//! before the end, new requests are refused at once, all responses become due, and the process exits
//! when the last of them is written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use tokio::sync::Notify;

use crate::CellClock;

/// How long before its forced termination the process exits at the latest, unless it was too busy to run
/// at the cutoff.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before its forced termination a process exits that was too busy to run at the cutoff.
const LATE_EXIT_MARGIN: Duration = Duration::from_millis(100);
/// How long before the exit requests that are still open are answered without a result.
const CUTOFF_MARGIN: Duration = Duration::from_millis(400);
/// How long before the exit responses are due.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// How long before the exit new requests are refused: few could be finished.
const REFUSAL_MARGIN: Duration = Duration::from_millis(1100);
/// How long there must be no exchange before the process exits.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// The interval at which a process that is about to exit looks for open exchanges.
const QUIET_POLL: Duration = Duration::from_millis(10);

/// The planned shutdown of a process.
pub struct ProcessShutdown {
    clock: Rc<dyn CellClock>,
    /// When the process is terminated by force; `None` before the signal to stop.
    terminated_at: Cell<Option<BootTime>>,
    begun: Notify,
    /// The number of exchanges that have begun.
    started: Cell<u64>,
    /// The number of exchanges whose response is written or whose connection has ended.
    ended: Cell<u64>,
}

impl ProcessShutdown {
    /// Creates the shutdown of a process that has received no signal to stop.
    pub fn new(clock: Rc<dyn CellClock>) -> Rc<Self> {
        Rc::new(ProcessShutdown {
            clock,
            terminated_at: Cell::new(None),
            begun: Notify::new(),
            started: Cell::new(0),
            ended: Cell::new(0),
        })
    }

    /// Returns the clock of the process.
    pub(crate) fn clock(&self) -> Rc<dyn CellClock> {
        Rc::clone(&self.clock)
    }

    /// Begins the shutdown of a process that is terminated by force after `grace`.
    pub fn begin(&self, grace: Duration) {
        self.terminated_at.set(Some(self.clock.now() + grace));
        self.begun.notify_waiters();
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.terminated_at.get().is_some()
    }

    /// Returns whether new requests are refused.
    pub fn refuses_requests(&self) -> bool {
        let refuse_at = self.moment_before_exit(REFUSAL_MARGIN);
        refuse_at.is_some_and(|refuse_at| self.clock.now() >= refuse_at)
    }

    /// Returns when the responses to all requests are due; `None` before the shutdown.
    pub fn response_deadline(&self) -> Option<BootTime> {
        self.moment_before_exit(RESPONSE_MARGIN)
    }

    /// Waits until new requests are refused.
    pub async fn await_refusals(&self) {
        self.await_moment(REFUSAL_MARGIN).await;
    }

    /// Waits until requests that are still open have to be answered without a result.
    pub async fn await_cutoff(&self) {
        self.await_moment(CUTOFF_MARGIN).await;
    }

    /// Returns the number of open exchanges.
    pub fn open_exchanges(&self) -> u64 {
        self.started.get() - self.ended.get()
    }

    /// Waits until requests are refused and all exchanges have ended, or until the process has to exit.
    pub async fn drain(&self) {
        self.await_refusals().await;
        tokio::select! {
            () = self.await_quiet() => {}
            () = self.await_exit() => {}
        }
    }

    /// Counts the beginning of an exchange.
    pub(crate) fn exchange_started(&self) {
        self.started.set(self.started.get() + 1);
    }

    /// Counts the end of an exchange.
    pub(crate) fn exchange_ended(&self) {
        self.ended.set(self.ended.get() + 1);
    }

    /// Waits until there has been no exchange for [`QUIET_TIME`]. Polls in short steps, so that requests
    /// which arrived while the process was busy are seen.
    async fn await_quiet(&self) {
        let mut quiet = Duration::ZERO;
        while quiet < QUIET_TIME {
            let started = self.started.get();
            tokio::time::sleep(QUIET_POLL).await;
            let idle = self.open_exchanges() == 0 && self.started.get() == started;
            quiet = if idle { quiet + QUIET_POLL } else { Duration::ZERO };
        }
    }

    /// Waits until the process has to exit. If it was too busy to run at the cutoff, the responses still
    /// get [`CUTOFF_MARGIN`], as far as the forced termination leaves it.
    async fn await_exit(&self) {
        self.await_cutoff().await;
        let now = self.clock.now();
        let terminated_at = self.terminated_at.get().unwrap_or_default();
        let left = terminated_at.saturating_sub(LATE_EXIT_MARGIN).saturating_sub(now);
        tokio::time::sleep(left.min(CUTOFF_MARGIN)).await;
    }

    /// Returns the moment at a time before the planned exit; `None` before the shutdown.
    fn moment_before_exit(&self, margin: Duration) -> Option<BootTime> {
        let terminated_at = self.terminated_at.get();
        terminated_at.map(|moment| moment.saturating_sub(EXIT_MARGIN + margin))
    }

    /// Waits for the moment at a time before the exit.
    async fn await_moment(&self, margin: Duration) {
        loop {
            let begun = self.begun.notified();
            match self.moment_before_exit(margin) {
                None => begun.await,
                Some(moment) => {
                    let left = moment.saturating_sub(self.clock.now());
                    if left.is_zero() {
                        return;
                    }
                    tokio::time::sleep(left).await;
                }
            }
        }
    }
}
