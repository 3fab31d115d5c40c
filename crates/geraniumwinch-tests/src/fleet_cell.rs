//! Cells of real processes on a stand-in for the users' platform.

use std::cell::Cell;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::CellAddresses;
use crate::CellProcess;
use crate::ConnectionLoad;
use crate::FleetLoad;
use crate::ProcessEnd;
use crate::TestClient;
use crate::TestResponse;
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
/// The time between the request of a graceful stop and the forced termination of a process.
pub const STOP_GRACE: Duration = Duration::from_secs(4);
/// The interval at which a stopping process is checked for its end.
const END_POLL: Duration = Duration::from_millis(5);
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
    client: TestClient,
}

impl FleetCell {
    /// Starts a stand-in with 16-core workers and a cell, and waits until all processes accept
    /// client requests.
    pub async fn start(processes: usize, workers: u16) -> FleetCell {
        FleetCell::start_cell(processes, workers, false, 0, false).await
    }

    /// Like [`FleetCell::start`], with processes that follow evacuation requests. The workers are in
    /// the domains `d0` and `d1` by turns.
    pub async fn start_evacuable(processes: usize, workers: u16) -> FleetCell {
        FleetCell::start_cell(processes, workers, false, 0, true).await
    }

    /// Like [`FleetCell::start`], with a proxy in front of the store and the workers, and a CPU
    /// limit of the client account.
    pub async fn start_proxied(processes: usize, workers: u16, limit: u64) -> FleetCell {
        FleetCell::start_cell(processes, workers, true, limit, false).await
    }

    /// Like [`FleetCell::start_proxied`], with processes that follow evacuation requests.
    pub async fn start_proxied_evacuable(
        processes: usize,
        workers: u16,
        limit: u64,
    ) -> FleetCell {
        FleetCell::start_cell(processes, workers, true, limit, true).await
    }

    async fn start_cell(
        processes: usize,
        workers: u16,
        proxied: bool,
        limit: u64,
        evacuable: bool,
    ) -> FleetCell {
        let addresses = CellAddresses::reserve();
        let log_dir = std::env::temp_dir().join(format!(
            "geraniumwinch-fleet-{}-{}",
            std::process::id(),
            addresses.platform_prefix()
        ));
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

    /// Adds proxy routes to each worker, and to the store for each process.
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

    /// Returns the proxy address under which processes reach a worker.
    pub fn worker_address(&self, index: u16) -> std::net::SocketAddr {
        self.addresses.platform(PLATFORM_PORT + 1 + index + PROXY_OFFSET)
    }

    /// Replaces the proxy's rules and returns the status of the response.
    pub async fn set_rules(&self, rules: &[Value]) -> u16 {
        let url = format!("http://{}/rules", self.addresses.platform(PROXY_PORT));
        let headers = [("Content-Type", "application/json")];
        let body = Value::Array(rules.to_vec()).to_string();
        self.client.send(Method::POST, &url, &headers, body).await.status
    }

    /// Restarts a worker with a new incarnation.
    pub async fn restart_worker(&self, index: u16) {
        self.post("/restart", &json!(index)).await;
    }

    /// Changes the state that the store lists a worker with; `None` removes the worker.
    pub async fn set_worker_state(&self, index: u16, state: Option<&str>) {
        self.post("/worker-state", &json!({ "worker": index, "state": state })).await;
    }

    /// Changes the number of processors that a worker lists.
    pub async fn set_worker_cores(&self, index: u16, cores: u64) {
        self.post("/worker-cores", &json!({ "worker": index, "cores": cores })).await;
    }

    /// Writes entries of another writer to the list of workers, as pairs of an identifier and a
    /// value.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not take them.
    pub async fn write_entries(&self, entries: &[(String, String)]) {
        let response = self.post("/entries", &json!(entries)).await;
        assert_eq!(response.status, 200, "the stand-in takes the entries");
    }

    /// Lists entries among those of the workers that name no usable worker, or removes them.
    pub async fn list_odd_workers(&self, listed: bool) {
        self.post("/odd-workers", &json!(listed)).await;
    }

    /// Requests the evacuation of a domain, or takes the domain back. Returns once the store has the
    /// change.
    pub async fn set_evacuation(&self, domain: &str, requested: bool) {
        let change = json!({ "domain": domain, "requested": requested });
        self.post("/evacuation", &change).await;
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

    /// Compacts the store's history, so that watches from earlier revisions must start over.
    pub async fn compact_store(&self) {
        self.post("/forget", &json!({})).await;
    }

    /// Starts a process whose standard output is never read.
    pub fn start_process_with_unread_output(&mut self, index: usize) {
        let arguments = self.write_settings(index);
        let log = self.log_path(index);
        let process =
            CellProcess::start_with_unread_output("geraniumwinch", &arguments, &log);
        self.processes[index] = Some(process);
    }

    /// Starts or restarts a process.
    pub fn start_process(&mut self, index: usize) {
        let arguments = self.write_settings(index);
        let log = self.log_path(index);
        let process = CellProcess::start("geraniumwinch", &arguments, &log);
        self.processes[index] = Some(process);
    }

    /// Writes the settings file of a process and returns its command line arguments.
    fn write_settings(&self, index: usize) -> [String; 3] {
        let settings = self.log_dir.join(format!("{index}.ini"));
        std::fs::write(&settings, self.settings(index))
            .expect("writing the settings file");
        ["cell".to_owned(), "--settings".to_owned(), settings.display().to_string()]
    }

    /// Returns the path of a process's log file.
    fn log_path(&self, index: usize) -> PathBuf {
        self.log_dir.join(format!("{index}.log"))
    }

    /// Returns the contents of a process's settings file.
    fn settings(&self, index: usize) -> String {
        let [clients, readiness, peers, metrics] =
            PORTS.map(|port| self.addresses.entry(0, index, port));
        let store = self.store_address(index);
        let permissions = self.addresses.platform(PLATFORM_PORT);
        let evacuation = if self.evacuable { "evacuation-ms = 5000\n" } else { "" };
        format!(
            "[process]\nname = node-{index}\nfailure-domain = d{index}\n\
             stop-grace-s = {}\n[vm]\ncpu-share = 1\n[listen]\ncallers = {clients}\n\
             readiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\
             [platform]\nstore = {store}\npermissions = {permissions}\n\
             [workers]\nlease-ms = 6000\nheartbeat-ms = 1500\n{evacuation}\
             [jobs]\nretention-s = 120\n",
            STOP_GRACE.as_secs()
        )
    }

    /// Waits until a process accepts client requests.
    pub async fn await_ready(&self, index: usize) {
        let url = format!("http://{}/-/ready", self.addresses.entry(0, index, PORTS[1]));
        wait_until("a process is ready", async || {
            self.client.send(Method::GET, &url, &[], "").await.status == 200
        })
        .await;
    }

    /// Publishes a configuration with the queues `/jobs/`, `/open/` and `/unrestricted/`, which alone
    /// requires no permission; even versions lack [`ROTATED_KEY`].
    pub async fn publish(&self, version: u64) {
        let route = |name: &str, public: bool| {
            let prefix = format!("/{name}/");
            json!({
                "name": name, "hostname": FLEET_HOST, "prefix": prefix, "kind": "unsafe",
                "target_duration_ms": 1000, "priority": 1, "service": "service",
                "max_attempts": 2, "stretch": 2.0, "public": public,
                "advice": { "decide_ms": 1.0, "per_item_ms": 0.1, "validity_ms": 2000 },
            })
        };
        let mut unrestricted = route(UNRESTRICTED_QUEUE, false);
        unrestricted["advice"] = Value::Null;
        let keys: &[&str] =
            if version.is_multiple_of(2) { &["key-a"] } else { &["key-a", "key-b"] };
        let configuration = json!({
            "version": version,
            "routes": [route("jobs", false), route("open", true), unrestricted],
            "services": [{ "name": "service" }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{
                "name": "a", "api_keys": keys, "weight": 50,
                "cap": { "cpu": self.limit, "mem_mb": 0, "gpu": 0 },
            }],
        });
        self.post("/operator", &configuration).await;
    }

    /// Replaces the faults injected into the stand-in.
    pub async fn set_faults(&self, faults: Value) {
        self.post("/faults", &faults).await;
    }

    /// Sends a POST request to the stand-in.
    async fn post(&self, path: &str, body: &Value) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.platform(PLATFORM_PORT));
        let headers = [("Content-Type", "application/json")];
        self.client.send(Method::POST, &url, &headers, body.to_string()).await
    }

    /// Sends a request to a process as a client.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.entry(0, index, PORTS[0]));
        let mut headers =
            vec![("Host", FLEET_HOST), ("Geraniumwinch-Deadline-Ms", "3000")];
        headers.extend(key.map(|key| ("Authorization", key)));
        self.client.send(method, &url, &headers, body.to_owned()).await
    }

    /// Submits a job with one step and returns the status.
    pub async fn submit(&self, index: usize, id: &str, spec: &str, tasks: u32) -> u16 {
        let step =
            json!({ "count": tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let path = format!("/jobs/{id}");
        self.call(index, Method::POST, &path, Some(FLEET_KEY), &body).await.status
    }

    /// Submits a job with one task through the proxy, and returns the status; 0 means no response.
    pub async fn submit_through_proxy(&self, index: usize, id: &str, spec: &str) -> u16 {
        let url = format!("http://{}/jobs/{id}", self.client_address(index));
        let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let headers = [
            ("Host", FLEET_HOST),
            ("Geraniumwinch-Deadline-Ms", "3000"),
            ("Authorization", FLEET_KEY),
        ];
        self.client.send(Method::POST, &url, &headers, body).await.status
    }

    /// Creates a load of jobs that are submitted to all processes.
    pub fn load(
        &self,
        seed: u64,
        jobs: u64,
        interval: Duration,
        task_millis: u64,
        unrestricted: bool,
    ) -> FleetLoad {
        let url = |index| format!("http://{}", self.addresses.entry(0, index, PORTS[0]));
        let urls = (0..self.processes.len()).map(url).collect();
        let (crashing, host) = (false, FLEET_HOST);
        FleetLoad {
            seed,
            jobs,
            interval,
            task_millis,
            unrestricted,
            crashing,
            urls,
            host,
        }
    }

    /// Creates a load of clients that keep their connections open until `stopped` is set.
    pub fn connection_load(
        &self,
        seed: u64,
        task_millis: u64,
        stopped: Rc<Cell<bool>>,
    ) -> ConnectionLoad {
        let address = |index| self.addresses.entry(0, index, PORTS[0]);
        let addresses = (0..self.processes.len()).map(address).collect();
        ConnectionLoad { seed, task_millis, addresses, host: FLEET_HOST, stopped }
    }

    /// Returns the state of a job in the queue `/jobs/`, or `None` if the process does not report it.
    pub async fn state(&self, index: usize, id: &str) -> Option<String> {
        self.state_at(index, &format!("/jobs/{id}")).await
    }

    /// Returns the state of the job at a path, or `None` if the process does not report it.
    pub async fn state_at(&self, index: usize, path: &str) -> Option<String> {
        let response = self.call(index, Method::GET, path, Some(FLEET_KEY), "").await;
        (response.status == 200).then(|| response.field("state"))
    }

    /// Waits until a process reports a state of a job.
    pub async fn await_state(&self, index: usize, id: &str, state: &str) {
        wait_until(&format!("job {id} is {state}"), async || {
            self.state(index, id).await.as_deref() == Some(state)
        })
        .await;
    }

    /// Returns the index of the process whose metrics show that it owns the cell.
    pub async fn owner(&self) -> Option<usize> {
        for index in 0..self.processes.len() {
            if self.processes[index].is_none() {
                continue;
            }
            let epoch = self.metric(index, "geraniumwinch_cell_epoch").await;
            if epoch.is_some_and(|epoch| epoch > 0.0) {
                return Some(index);
            }
        }
        None
    }

    /// Returns the value of a metric without labels, if the process reports it.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.addresses.entry(0, index, PORTS[3]));
        let response = self.client.send(Method::GET, &url, &[], "").await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let value = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
        text.lines().find_map(value)
    }

    /// Waits until a process owns the cell and returns its index.
    pub async fn await_owner(&self) -> usize {
        wait_until("a process owns the cell", async || self.owner().await.is_some())
            .await;
        self.owner().await.expect("the owner that was just observed")
    }

    /// Kills a process if it runs.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.processes[index].take() {
            process.kill();
        }
    }

    /// Requests a graceful stop of a process.
    pub fn terminate(&self, index: usize) {
        if let Some(process) = &self.processes[index] {
            process.terminate();
        }
    }

    /// Stops a process like the platform: with SIGTERM, and with SIGKILL after the grace period. The
    /// task ends when the process is gone, with its end.
    ///
    /// # Panics
    ///
    /// Panics if the process is not running.
    pub fn stop(&mut self, index: usize) -> JoinHandle<ProcessEnd> {
        let mut process = self.processes[index].take().expect("the process is running");
        process.terminate();
        let killed_at = Instant::now() + STOP_GRACE;
        actix_rt::spawn(async move {
            while process.exit_code().is_none() && Instant::now() < killed_at {
                tokio::time::sleep(END_POLL).await;
            }
            process.kill();
            ProcessEnd { index, at: Instant::now(), planned: true }
        })
    }

    /// Freezes a process for some time.
    ///
    /// # Panics
    ///
    /// Panics if the process is not running.
    pub async fn pause(&self, index: usize, time: Duration) {
        let process = self.processes[index].as_ref().expect("the process is running");
        process.freeze();
        tokio::time::sleep(time).await;
        process.resume();
    }

    /// Returns a running process.
    pub fn process(&mut self, index: usize) -> &mut CellProcess {
        self.processes[index].as_mut().expect("a running process")
    }

    /// Returns the directory of the settings and log files.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }

    /// Returns the panics in the logs of the processes.
    pub fn panics(&self) -> Vec<String> {
        let log =
            |index| std::fs::read_to_string(self.log_path(index)).unwrap_or_default();
        let logs = (0..self.processes.len()).map(log).collect::<String>();
        logs.lines().filter(|line| line.contains("panicked")).map(str::to_owned).collect()
    }

    /// Returns all runs that the workers have started.
    pub async fn runs(&self) -> Vec<Value> {
        let url = format!("http://{}/account", self.addresses.platform(PLATFORM_PORT));
        let account = self.client.get_json(&url).await;
        account["runs"].as_array().cloned().unwrap_or_default()
    }

    /// Checks that no task ran twice at the same time, or again after it was done.
    ///
    /// An outcome that was not acknowledged before its worker restarted is lost, so such a task may
    /// run again.
    ///
    /// # Panics
    ///
    /// Panics with the two runs of a task that violate this.
    pub async fn check_runs(&self) {
        let runs = self.runs().await;
        for (index, one) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                if one["task"] != other["task"] {
                    continue;
                }
                let time = |run: &Value, field: &str| run[field].as_u64().unwrap_or(0);
                let (first, second) =
                    match time(one, "started_ms") <= time(other, "started_ms") {
                        true => (one, other),
                        false => (other, one),
                    };
                let disjoint = time(first, "ended_ms") <= time(second, "started_ms");
                let done = first["how"] == "done" && first["forgotten"] != true;
                assert!(disjoint && !done, "task ran twice: {first} and {second}");
            }
        }
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
