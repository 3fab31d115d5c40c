//! A platform whose only worker executes start commands and responds to none of them.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_cell::CallError;
use geraniumwinch_cell::CatalogReader;
use geraniumwinch_cell::CommandError;
use geraniumwinch_cell::CommandResult;
use geraniumwinch_cell::EvacuationReader;
use geraniumwinch_cell::JobCatalog;
use geraniumwinch_cell::PermissionService;
use geraniumwinch_cell::PollCommand;
use geraniumwinch_cell::RequestLimits;
use geraniumwinch_cell::Result;
use geraniumwinch_cell::StartCommand;
use geraniumwinch_cell::WorkerDirectory;
use geraniumwinch_cell::WorkerGateway;
use geraniumwinch_cell::WorkerTarget;
use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::EndedRun;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::TaskName;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerReport;
use tokio::time::Instant;

/// The key of the configuration.
pub const CATALOG_KEY: &str = "configuration";
/// The prefix of evacuation requests.
pub const EVACUATION_PREFIX: &str = "evacuation/";
/// The failure domain of the worker.
pub const DOMAIN: &str = "domain";
/// The timeout of a start command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(600);
/// The interval at which a poll checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The clock of the worker.
const CLOCK_MS: u64 = 1;

/// What the worker has received and runs.
#[derive(Debug, Default)]
struct WorkerRuns {
    /// The numbers of start and of stop commands that were received.
    starts: usize,
    stops: usize,
    running: Vec<(TaskName, u64)>,
    ended: Vec<EndedRun>,
}

/// A platform whose only worker executes start commands and responds to none of them. It responds to all
/// other commands.
#[derive(Debug)]
pub struct SilentWorker {
    runs: Rc<RefCell<WorkerRuns>>,
    /// Whether the worker accepts tasks according to its entry.
    accepting: Cell<bool>,
}

impl SilentWorker {
    /// Creates an idle worker.
    pub fn new() -> Rc<Self> {
        Rc::new(SilentWorker { runs: Rc::default(), accepting: Cell::new(true) })
    }

    /// Lists the worker as one that accepts no tasks.
    pub fn drain(&self) {
        self.accepting.set(false);
    }

    /// Returns the number of start commands that the worker has received.
    pub fn starts(&self) -> usize {
        self.runs.borrow().starts
    }

    /// Returns the number of stop commands that the worker has received.
    pub fn stops(&self) -> usize {
        self.runs.borrow().stops
    }

    /// Returns the number of runs.
    pub fn running(&self) -> usize {
        self.runs.borrow().running.len()
    }
}

impl WorkerRuns {
    /// Begins a run, unless it is there.
    fn begin(&mut self, start: RunStart) {
        self.starts += 1;
        let run = (start.task, start.run);
        if !self.running.contains(&run) {
            self.running.push(run);
        }
    }

    /// Ends a run, if it is there.
    fn end(&mut self, stop: RunStop) {
        self.stops += 1;
        let position = self
            .running
            .iter()
            .position(|(task, run)| (task, *run) == (&stop.task, stop.run));
        if let Some(position) = position {
            self.running.remove(position);
            let number = self.ended.len() as u64 + 1;
            let (task, run, outcome) = (stop.task, stop.run, RunOutcome::Stopped);
            self.ended.push(EndedRun { number, task, run, outcome, checkpoint: None });
        }
    }

    /// Returns the report with the ends after `acknowledged`.
    fn report(&self, acknowledged: u64) -> WorkerReport {
        let running = self.running.iter().map(|(task, run)| RunningRun {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: 0,
        });
        let ended = self.ended.iter().filter(|end| end.number > acknowledged);
        WorkerReport {
            incarnation: 1,
            clock_ms: CLOCK_MS,
            running: running.collect(),
            ended: ended.cloned().collect(),
        }
    }
}

impl WorkerGateway for SilentWorker {
    fn start(
        &self,
        _: WorkerTarget,
        command: StartCommand,
    ) -> LocalBoxFuture<'static, CommandResult<()>> {
        let runs = Rc::clone(&self.runs);
        async move {
            runs.borrow_mut().begin(command.start);
            tokio::time::sleep(COMMAND_TIMEOUT).await;
            let message = "timed out".to_owned();
            Err(CommandError::Call(CallError::NoResponse { message }))
        }
        .boxed_local()
    }

    fn stop(
        &self,
        _: WorkerTarget,
        stop: RunStop,
    ) -> LocalBoxFuture<'static, CommandResult<()>> {
        let runs = Rc::clone(&self.runs);
        async move {
            runs.borrow_mut().end(stop);
            Ok(())
        }
        .boxed_local()
    }

    fn poll(
        &self,
        _: WorkerTarget,
        command: PollCommand,
    ) -> LocalBoxFuture<'static, CommandResult<WorkerReport>> {
        let runs = Rc::clone(&self.runs);
        async move {
            let end = Instant::now() + command.wait;
            loop {
                let report = runs.borrow().report(command.acknowledged);
                if !report.ended.is_empty() || Instant::now() >= end {
                    return Ok(report);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        .boxed_local()
    }
}

impl PermissionService for SilentWorker {
    fn request(
        &self,
        _: PermissionRequest,
    ) -> LocalBoxFuture<'static, Result<Vec<(Name, Name)>>> {
        async { Ok(Vec::new()) }.boxed_local()
    }
}

impl WorkerDirectory for SilentWorker {
    fn list(&self) -> LocalBoxFuture<'static, Result<Vec<WorkerInfo>>> {
        let info = WorkerInfo {
            id: "worker".into(),
            service: "service".into(),
            address: "10.0.0.1:1".into(),
            domain: DOMAIN.into(),
            accepting: self.accepting.get(),
            capacity: ResourceVector {
                cpu_millis: 16_000,
                memory_bytes: 64 << 30,
                accelerators: 0,
            },
            labels: Vec::new(),
            rack: None,
            incarnation: 1,
        };
        async move { Ok(vec![info]) }.boxed_local()
    }
}

impl CatalogReader for SilentWorker {
    fn key(&self) -> &'static str {
        CATALOG_KEY
    }

    fn decode(&self, _: &[u8]) -> Result<JobCatalog> {
        Ok(JobCatalog::new(1, Vec::new(), Vec::new(), RequestLimits::default()))
    }
}

impl EvacuationReader for SilentWorker {
    fn prefix(&self) -> &'static str {
        EVACUATION_PREFIX
    }

    fn domain(&self, key: &str) -> Option<Name> {
        key.strip_prefix(EVACUATION_PREFIX).map(Name::from)
    }
}
