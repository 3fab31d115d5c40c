//! A cell process in the test's own process, on a store in memory.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_cell::BootClock;
use geraniumwinch_cell::CallClient;
use geraniumwinch_cell::CallError;
use geraniumwinch_cell::CatalogReader;
use geraniumwinch_cell::CellNode;
use geraniumwinch_cell::CellPorts;
use geraniumwinch_cell::CellSettings;
use geraniumwinch_cell::CommandError;
use geraniumwinch_cell::CommandResult;
use geraniumwinch_cell::EvacuationReader;
use geraniumwinch_cell::HttpResponse;
use geraniumwinch_cell::JobCatalog;
use geraniumwinch_cell::JobStatus;
use geraniumwinch_cell::JobSubmission;
use geraniumwinch_cell::PermissionService;
use geraniumwinch_cell::PollCommand;
use geraniumwinch_cell::Result;
use geraniumwinch_cell::StartCommand;
use geraniumwinch_cell::WorkMeter;
use geraniumwinch_cell::WorkerDirectory;
use geraniumwinch_cell::WorkerGateway;
use geraniumwinch_cell::WorkerTarget;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerList;
use geraniumwinch_fleet::WorkerReport;
use geraniumwinch_intake::VmLimits;

use super::memory_store::MemoryStore;
use super::memory_store::SharedStore;

/// How long a client waits for a response.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Runs a test on a single thread.
pub fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// The platform of a process, except for its store.
pub trait TestPlatform:
    WorkerGateway + PermissionService + WorkerDirectory + CatalogReader + EvacuationReader
{
}

impl<P> TestPlatform for P where
    P: WorkerGateway
        + PermissionService
        + WorkerDirectory
        + CatalogReader
        + EvacuationReader
{
}

/// A platform without workers and configuration.
struct NoPlatform;

fn not_sent() -> CallError {
    CallError::NotSent { message: "there is no such service".to_owned() }
}

impl WorkerGateway for NoPlatform {
    fn start(
        &self,
        _: WorkerTarget,
        _: StartCommand,
    ) -> LocalBoxFuture<'static, CommandResult<()>> {
        async { Err(CommandError::Call(not_sent())) }.boxed_local()
    }

    fn stop(
        &self,
        _: WorkerTarget,
        _: RunStop,
    ) -> LocalBoxFuture<'static, CommandResult<()>> {
        async { Err(CommandError::Call(not_sent())) }.boxed_local()
    }

    fn poll(
        &self,
        _: WorkerTarget,
        _: PollCommand,
    ) -> LocalBoxFuture<'static, CommandResult<WorkerReport>> {
        async { Err(CommandError::Call(not_sent())) }.boxed_local()
    }
}

impl PermissionService for NoPlatform {
    fn request(
        &self,
        _: PermissionRequest,
    ) -> LocalBoxFuture<'static, Result<Vec<(Name, Name)>>> {
        async { Err(not_sent()) }.boxed_local()
    }
}

impl WorkerDirectory for NoPlatform {
    fn list(&self) -> LocalBoxFuture<'static, Result<WorkerList>> {
        async { Ok(WorkerList::default()) }.boxed_local()
    }
}

impl CatalogReader for NoPlatform {
    fn key(&self) -> &'static str {
        "configuration"
    }

    fn decode(&self, _: &[u8]) -> Result<JobCatalog> {
        Err(not_sent())
    }
}

impl EvacuationReader for NoPlatform {
    fn prefix(&self) -> &'static str {
        "evacuation/"
    }

    fn domain(&self, _: &str) -> Option<Name> {
        None
    }
}

/// A cell process in the test's own process, on a store in memory.
pub struct TestNode {
    /// The store.
    pub store: Rc<MemoryStore>,
    node: Rc<CellNode>,
}

impl TestNode {
    /// Starts a process without workers and waits until it owns the cell.
    pub async fn start() -> TestNode {
        let node = TestNode::start_without_owner().await;
        node.await_owner().await;
        node
    }

    /// Starts a process without workers.
    pub async fn start_without_owner() -> TestNode {
        TestNode::start_on(Rc::new(NoPlatform), Rc::default(), settings())
    }

    /// Starts a process on a platform and a store.
    pub fn start_on(
        platform: Rc<impl TestPlatform + 'static>,
        store: Rc<MemoryStore>,
        settings: CellSettings,
    ) -> TestNode {
        let ports = CellPorts {
            clock: Rc::new(BootClock),
            meter: WorkMeter::new(Rc::new(BootClock)),
            store: Rc::new(SharedStore(Rc::clone(&store))),
            workers: platform.clone(),
            directory: platform.clone(),
            permissions: platform.clone(),
            catalogs: platform.clone(),
            evacuations: platform,
        };
        let node = CellNode::new(settings, ports, CallClient::new());
        let handler = Rc::new(|_| async { HttpResponse::empty(404) }.boxed_local());
        actix_rt::spawn(Rc::clone(&node).run(handler, PathBuf::new()));
        TestNode { store, node }
    }

    /// Waits until the process serves requests as the owner.
    pub async fn await_owner(&self) {
        wait_until(async || {
            self.node.forwarder().waiting("queue".into(), CLIENT_TIMEOUT).await.is_ok()
        })
        .await;
    }

    /// Submits a job without steps.
    pub async fn submit(&self, id: &str) -> std::result::Result<(), ErrorKind> {
        self.submit_request(id, request()).await
    }

    /// Submits a job.
    pub async fn submit_request(
        &self,
        id: &str,
        request: JobRequest,
    ) -> std::result::Result<(), ErrorKind> {
        self.submit_as("account", id, request).await
    }

    /// Submits a job for a client account.
    pub async fn submit_as(
        &self,
        account: &str,
        id: &str,
        request: JobRequest,
    ) -> std::result::Result<(), ErrorKind> {
        let submission = JobSubmission {
            id: id.into(),
            rules: rules(),
            account: account.into(),
            request,
        };
        self.node.forwarder().submit(submission, CLIENT_TIMEOUT).await
    }

    /// Cancels a job and returns whether it exists.
    pub async fn cancel(&self, id: &str) -> std::result::Result<bool, ErrorKind> {
        self.cancel_as("account", id).await
    }

    /// Cancels a job for a client account and returns whether it exists.
    pub async fn cancel_as(
        &self,
        account: &str,
        id: &str,
    ) -> std::result::Result<bool, ErrorKind> {
        let forwarder = self.node.forwarder();
        forwarder.cancel(id.into(), account.into(), CLIENT_TIMEOUT).await
    }

    /// Returns whether a job is shown as completed.
    pub async fn is_completed(&self, id: &str) -> bool {
        let status = self.node.forwarder().query(id.into(), CLIENT_TIMEOUT).await;
        matches!(status, Ok(Some(JobStatus::Ended(JobPhase::Completed))))
    }

    /// Returns whether a job has ended in any way.
    pub async fn is_ended(&self, id: &str) -> bool {
        let status = self.node.forwarder().query(id.into(), CLIENT_TIMEOUT).await;
        matches!(status, Ok(Some(JobStatus::Ended(_))))
    }

    /// Returns whether a job exists.
    pub async fn exists(&self, id: &str) -> std::result::Result<bool, ErrorKind> {
        let status = self.node.forwarder().query(id.into(), CLIENT_TIMEOUT).await;
        status.map(|status| status.is_some())
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + MAX_WAIT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "the condition does not hold");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the encoded record of a job without steps that another process has stored.
pub fn stored_job() -> Vec<u8> {
    stored_request(request())
}

/// Returns the encoded record of a job that another process has stored.
pub fn stored_request(request: JobRequest) -> Vec<u8> {
    let accepted = Duration::from_secs(1);
    let record = JobRecord::new(rules(), "account".into(), accepted, request);
    record.encode().expect("the record is encodable")
}

fn rules() -> QueueRules {
    QueueRules {
        queue: "queue".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.0,
        objective: Duration::from_secs(1),
        permission: None,
    }
}

/// Creates the request of a job of small tasks, which fit on a worker together.
pub fn job_request(tasks: u32) -> JobRequest {
    let demand =
        ResourceVector { cpu_millis: 100, memory_bytes: 1 << 20, accelerators: 0 };
    let estimate = Duration::from_millis(500);
    let step = StepPlan { tasks, demand, estimate, ..StepPlan::default() };
    JobRequest { spec: "spec".into(), steps: vec![step], schedule: None }
}

fn request() -> JobRequest {
    JobRequest { spec: "".into(), steps: Vec::new(), schedule: None }
}

/// Returns the settings of a process on free ports.
pub fn settings() -> CellSettings {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    CellSettings {
        name: "process".into(),
        domain: "domain".into(),
        log_level: "info".to_owned(),
        client_address: address,
        readiness_address: address,
        peer_address: address,
        metrics_address: address,
        store_address: address,
        permission_address: None,
        cpu_share: 1.0,
        vm: VmLimits::detect(None, None),
        worker_lease: Duration::from_secs(6),
        worker_heartbeat: Duration::from_millis(1500),
        evacuation_bound: None,
        stop_grace: Duration::from_secs(4),
        job_retention: Duration::from_secs(120),
    }
}
