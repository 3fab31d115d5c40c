//! Cells of real processes on a stand-in for the users' platform.

mod cell_processes;
mod client_requests;
mod platform_control;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::CellAddresses;
use crate::CellProcess;
use crate::ProcessLimits;
use crate::TestClient;
use crate::wait_until;

/// The port of the stand-in's store; the ports of the workers follow it.
const PLATFORM_PORT: u16 = 3100;
/// The ports of a process for clients, readiness, peers and metrics.
const PORTS: [u16; 4] = [4001, 4002, 4003, 4004];
/// The API key of the only client account.
pub const FLEET_KEY: &str = "Token key-a";
/// A second API key of the client account, which configurations with even versions lack.
pub const ROTATED_KEY: &str = "Token key-b";
/// The name of the queue that requires no permission; the specification of its tasks ends with it.
pub const UNRESTRICTED_QUEUE: &str = "unrestricted";
/// The port of the proxy's control interface.
const PROXY_PORT: u16 = 3000;
/// The offset from a worker's port to the proxy port in front of it.
const PROXY_OFFSET: u16 = 10_000;
/// The first proxy port in front of the store; each process has its own.
const STORE_PROXY_PORT: u16 = 14_000;
/// The first proxy port in front of the permission service; each process has its own.
const PERMISSION_PROXY_PORT: u16 = 15_000;
/// The time between the request of a graceful stop and the forced termination of a process.
pub const STOP_GRACE: Duration = Duration::from_secs(4);
/// The service that the workers list at first.
pub(crate) const DEFAULT_SERVICE: &str = "service";
/// A service that workers may list later.
pub const OTHER_SERVICE: &str = "other-service";
/// The host name of the queues.
pub const FLEET_HOST: &str = "queue.example";

/// A cell of real processes on a stand-in for the users' platform.
pub struct FleetCell {
    addresses: CellAddresses,
    log_dir: PathBuf,
    processes: Vec<Option<CellProcess>>,
    _platform: CellProcess,
    /// The proxy in front of the store and the workers, if any.
    proxy: Option<CellProcess>,
    /// The CPU limit of the client account in thousandths of a core; 0 means no limit.
    limit: u64,
    /// Whether the processes follow evacuation requests.
    evacuable: bool,
    /// The limits in the settings of the processes, if any.
    limits: Option<ProcessLimits>,
    client: TestClient,
}

impl FleetCell {
    /// Starts a stand-in with 16-core workers and a cell, and waits until all processes accept
    /// client requests.
    pub async fn start(processes: usize, workers: u16) -> FleetCell {
        FleetCell::start_cell(processes, workers, false, 0, false, None).await
    }

    /// Like [`FleetCell::start`], with processes that follow evacuation requests. The workers are in
    /// the domains `d0` and `d1` by turns.
    pub async fn start_evacuable(processes: usize, workers: u16) -> FleetCell {
        FleetCell::start_cell(processes, workers, false, 0, true, None).await
    }

    /// Like [`FleetCell::start`], with a proxy in front of the store and the workers, and a CPU
    /// limit of the client account.
    pub async fn start_proxied(processes: usize, workers: u16, limit: u64) -> FleetCell {
        FleetCell::start_cell(processes, workers, true, limit, false, None).await
    }

    /// Like [`FleetCell::start_proxied`], with processes that follow evacuation requests.
    pub async fn start_proxied_evacuable(
        processes: usize,
        workers: u16,
        limit: u64,
    ) -> FleetCell {
        FleetCell::start_cell(processes, workers, true, limit, true, None).await
    }

    /// Like [`FleetCell::start`], with limits in the settings of the processes.
    pub async fn start_limited(
        processes: usize,
        workers: u16,
        limits: ProcessLimits,
    ) -> FleetCell {
        FleetCell::start_cell(processes, workers, false, 0, false, Some(limits)).await
    }

    async fn start_cell(
        processes: usize,
        workers: u16,
        proxied: bool,
        limit: u64,
        evacuable: bool,
        limits: Option<ProcessLimits>,
    ) -> FleetCell {
        let addresses = CellAddresses::reserve();
        let log_dir = std::env::temp_dir().join(format!(
            "geraniumwinch-fleet-{}-{}",
            std::process::id(),
            addresses.platform_prefix()
        ));
        // An earlier test may have had this process identifier and these addresses.
        let _ = std::fs::remove_dir_all(&log_dir);
        std::fs::create_dir_all(&log_dir).expect("creating the log directory");
        let offset = if proxied { PROXY_OFFSET } else { 0 };
        let args =
            ["--count", &workers.to_string(), "--proxy-offset", &offset.to_string()]
                .map(str::to_owned);
        let platform =
            start_stand_in("fleet", addresses.platform(PLATFORM_PORT), &args, &log_dir);
        let proxy = proxied.then(|| {
            start_stand_in("proxy", addresses.platform(PROXY_PORT), &[], &log_dir)
        });
        let client = TestClient::default();
        let mut cell = FleetCell {
            addresses,
            log_dir,
            processes: Vec::new(),
            _platform: platform,
            proxy,
            limit,
            evacuable,
            limits,
            client,
        };
        wait_until("the stand-in responds", async || {
            cell.post("/faults", &json!({})).await.status == 200
        })
        .await;
        if proxied {
            cell.add_routes(processes, workers).await;
        }
        cell.publish(1).await;
        for index in 0..processes {
            cell.processes.push(None);
            cell.start_process(index);
        }
        for index in 0..processes {
            cell.await_ready(index).await;
        }
        cell
    }

    /// Adds proxy routes to each worker, and to the store and the permission service for each process.
    async fn add_routes(&self, processes: usize, workers: u16) {
        wait_until("the proxy responds", async || self.set_rules(&[]).await == 200).await;
        let address = |port| self.addresses.platform(port);
        let mut routes = Vec::new();
        for port in (1..=workers).map(|index| PLATFORM_PORT + index) {
            let listen = address(port + PROXY_OFFSET);
            routes.push(json!({ "listen": listen, "target": address(port) }));
        }
        for index in 0..processes {
            let target = address(PLATFORM_PORT);
            routes.push(json!({ "listen": self.store_address(index), "target": target }));
            let listen = self.permission_address(index);
            routes.push(json!({ "listen": listen, "target": target }));
            let target = self.addresses.entry(0, index, PORTS[0]);
            routes
                .push(json!({ "listen": self.client_address(index), "target": target }));
        }
        let url = format!("http://{}/routes", address(PROXY_PORT));
        self.client.post_json(&url, &Value::Array(routes)).await;
    }

    /// Returns the address under which a process reaches the store.
    pub fn store_address(&self, index: usize) -> std::net::SocketAddr {
        match self.proxy {
            Some(_) => self.addresses.platform(STORE_PROXY_PORT + index as u16),
            None => self.addresses.platform(PLATFORM_PORT),
        }
    }

    /// Returns the address under which a process reaches the permission service.
    pub fn permission_address(&self, index: usize) -> std::net::SocketAddr {
        match self.proxy {
            Some(_) => self.addresses.platform(PERMISSION_PROXY_PORT + index as u16),
            None => self.addresses.platform(PLATFORM_PORT),
        }
    }

    /// Returns the proxy address under which processes reach a worker.
    pub fn worker_address(&self, index: u16) -> std::net::SocketAddr {
        self.addresses.platform(PLATFORM_PORT + 1 + index + PROXY_OFFSET)
    }

    /// Returns the proxy address under which clients reach a process.
    pub fn client_address(&self, index: usize) -> std::net::SocketAddr {
        self.addresses.entry(0, index, PORTS[0] + PROXY_OFFSET)
    }

    /// Returns the address under which clients reach a process without the proxy.
    pub fn process_address(&self, index: usize) -> std::net::SocketAddr {
        self.addresses.entry(0, index, PORTS[0])
    }

    /// Returns the URLs under which clients reach the processes through the proxy.
    pub fn proxied_urls(&self) -> Vec<String> {
        let url = |index| format!("http://{}", self.client_address(index));
        (0..self.processes.len()).map(url).collect()
    }

    /// Returns the addresses of a process for clients, readiness, peers and metrics.
    pub fn listen_addresses(&self, index: usize) -> [std::net::SocketAddr; 4] {
        PORTS.map(|port| self.addresses.entry(0, index, port))
    }

    /// Returns the directory of the settings and log files.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }
}

fn start_stand_in(
    kind: &str,
    listen: std::net::SocketAddr,
    args: &[String],
    log_dir: &Path,
) -> CellProcess {
    let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
    arguments.extend_from_slice(args);
    let log = log_dir.join(format!("{kind}.log"));
    CellProcess::start("geraniumwinch-standins", &arguments, &log)
}
