//! The interface to the workers, and its adapter over HTTP and JSON.

use std::time::Duration;
use std::time::SystemTime;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::ReportedState;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskReport;
use serde_json::Value;
use serde_json::json;

use crate::NodeError;
use crate::Result;
use crate::http_client::HttpClient;
use crate::node_shared::unix_millis;

/// A heartbeat to a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerHeartbeat {
    /// The epoch of the owner.
    pub(crate) epoch: u64,
    /// The lease that each running task is given, or `None` to renew no leases.
    pub(crate) renew: Option<Duration>,
    /// The time after which the worker must not act on this heartbeat.
    pub(crate) expires: SystemTime,
    /// The version of the inventory that the owner has seen, or 0 to request it in full.
    pub(crate) seen: u64,
    /// Ended tasks that the worker may forget.
    pub(crate) acknowledged: Vec<TaskId>,
}

/// The inventory of a worker, as reported in response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WorkerInventory {
    pub(crate) version: u64,
    /// The tasks, or `None` if nothing has changed since the version that the owner has seen.
    pub(crate) tasks: Option<Vec<TaskReport>>,
}

/// A command to start a task.
#[derive(Debug, Clone)]
pub(crate) struct TaskStart {
    /// The attempt of the task.
    pub(crate) task: TaskId,
    /// The job specification.
    pub(crate) spec: JobSpec,
    /// The epoch of the owner.
    pub(crate) epoch: u64,
    /// The initial lease of the task.
    pub(crate) lease: Duration,
    /// The time after which the worker must not start the task.
    pub(crate) expires: SystemTime,
}

/// The control interface of the workers.
///
/// A stop is final: the worker never starts a stopped attempt again. After an error, a command may
/// or may not have taken effect.
pub(crate) trait WorkerPort {
    /// Renews leases and reads the inventory.
    fn heartbeat(
        &self,
        address: &str,
        heartbeat: &WorkerHeartbeat,
    ) -> LocalBoxFuture<'static, Result<WorkerInventory>>;

    /// Starts a task and returns whether the worker accepted it.
    fn start(
        &self,
        address: &str,
        start: &TaskStart,
    ) -> LocalBoxFuture<'static, Result<bool>>;

    /// Stops an attempt, after a checkpoint if one is requested.
    fn stop(
        &self,
        address: &str,
        task: &TaskId,
        checkpoint: bool,
        epoch: u64,
    ) -> LocalBoxFuture<'static, Result<()>>;
}

/// The adapter that controls workers over HTTP and JSON.
pub(crate) struct HttpWorkerPort {
    client: HttpClient,
}

impl HttpWorkerPort {
    /// Creates an adapter that uses an HTTP client.
    pub(crate) fn new(client: HttpClient) -> Self {
        HttpWorkerPort { client }
    }

    /// Posts a command to a worker.
    fn post(
        &self,
        address: &str,
        path: &str,
        body: Value,
    ) -> LocalBoxFuture<'static, Result<Value>> {
        let client = self.client.clone();
        let url = format!("http://{address}{path}");
        async move { client.post("worker", &url, &body).await }.boxed_local()
    }
}

impl WorkerPort for HttpWorkerPort {
    fn heartbeat(
        &self,
        address: &str,
        heartbeat: &WorkerHeartbeat,
    ) -> LocalBoxFuture<'static, Result<WorkerInventory>> {
        let acknowledged: Vec<String> =
            heartbeat.acknowledged.iter().map(TaskId::to_string).collect();
        let body = json!({
            "epoch": heartbeat.epoch,
            "lease_ms": heartbeat.renew.map(|lease| lease.as_millis() as u64),
            "expires_unix_ms": unix_millis(heartbeat.expires),
            "seen": heartbeat.seen,
            "ack": acknowledged,
        });
        let call = self.post(address, "/v1/heartbeat", body);
        let seen = heartbeat.seen;
        async move { decode_inventory(&call.await?, seen) }.boxed_local()
    }

    fn start(
        &self,
        address: &str,
        start: &TaskStart,
    ) -> LocalBoxFuture<'static, Result<bool>> {
        let body = json!({
            "task": start.task.to_string(),
            "epoch": start.epoch,
            "lease_ms": start.lease.as_millis() as u64,
            "expires_unix_ms": unix_millis(start.expires),
            "cpu_millis": start.spec.size.cpu_millis,
            "memory_bytes": start.spec.size.memory_bytes,
            "accelerators": start.spec.size.accelerators,
            "run_time_ms": start.spec.run_time_ms,
            "service": start.spec.kind == geraniumwinch_core::JobKind::Service,
        });
        let call = self.post(address, "/v1/tasks/start", body);
        async move { decode_acceptance(&call.await?) }.boxed_local()
    }

    fn stop(
        &self,
        address: &str,
        task: &TaskId,
        checkpoint: bool,
        epoch: u64,
    ) -> LocalBoxFuture<'static, Result<()>> {
        let body =
            json!({ "task": task.to_string(), "checkpoint": checkpoint, "epoch": epoch });
        let call = self.post(address, "/v1/tasks/stop", body);
        async move { call.await.map(|_| ()) }.boxed_local()
    }
}

/// Decodes the response to a start; one that says neither yes nor no leaves the outcome open.
fn decode_acceptance(response: &Value) -> Result<bool> {
    let accepted = response["accepted"].as_bool();
    accepted.ok_or_else(|| malformed("response to a start"))
}

/// Decodes an inventory, which may lack the tasks only if the owner has seen its version.
fn decode_inventory(response: &Value, seen: u64) -> Result<WorkerInventory> {
    let version = response["version"].as_u64();
    let version = version.ok_or_else(|| malformed("version of the inventory"))?;
    let Some(rows) = response["tasks"].as_array() else {
        if seen == 0 || version != seen {
            return Err(malformed("inventory without tasks"));
        }
        return Ok(WorkerInventory { version, tasks: None });
    };
    let tasks: Option<Vec<TaskReport>> = rows.iter().map(decode_report).collect();
    let tasks = tasks.ok_or_else(|| malformed("row in the inventory"))?;
    Ok(WorkerInventory { version, tasks: Some(tasks) })
}

/// Builds the error for a part of a worker's response that is malformed.
fn malformed(part: &str) -> NodeError {
    NodeError::Platform { service: "worker", message: format!("malformed {part}") }
}

/// Decodes a row of an inventory; returns `None` if it is malformed.
fn decode_report(row: &Value) -> Option<TaskReport> {
    let task = row["task"].as_str()?.parse().ok()?;
    let state = match row["state"].as_str()? {
        "running" => ReportedState::Running,
        "succeeded" => ReportedState::Succeeded,
        "failed" => ReportedState::Failed,
        "stopped" => ReportedState::Stopped,
        _ => return None,
    };
    Some(TaskReport { task, state })
}
