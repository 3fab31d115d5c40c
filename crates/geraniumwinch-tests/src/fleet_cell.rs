//! A cell of real processes on a stand-in for the users' platform.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use awc::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::CellAddresses;
use crate::CellProcess;
use crate::FleetLoad;
use crate::TestClient;
use crate::TestResponse;
use crate::wait_until;

/// The port of the stand-in's store; workers follow it.
const PLATFORM_PORT: u16 = 3100;
/// The ports of a process: callers, readiness, peers, metrics.
const PORTS: [u16; 4] = [4001, 4002, 4003, 4004];
/// The key of the one client account.
pub const FLEET_KEY: &str = "Token key-a";
/// The key of the same client account that configurations with even numbers lack.
pub const ROTATED_KEY: &str = "Token key-b";
/// The port of the proxy's control calls.
const PROXY_PORT: u16 = 3000;
/// What is added to a worker's port to get the proxy's port in front of it.
const PROXY_OFFSET: u16 = 10_000;
/// The first port of the proxy in front of the store; each process has one of its own.
const STORE_PROXY_PORT: u16 = 14_000;
/// The host name of the queues.
const HOST: &str = "queue.example";

/// A cell of real processes on a stand-in for the users' platform.
pub struct FleetCell {
    addresses: CellAddresses,
    log_dir: PathBuf,
    processes: Vec<Option<CellProcess>>,
    _platform: CellProcess,
    /// The proxy in front of the store and the workers, if there is one.
    proxy: Option<CellProcess>,
    /// The processors that the client account may use, in thousandths of a core; 0 has no limit.
    limit: u64,
    client: TestClient,
}

impl FleetCell {
    /// Starts a stand-in with workers of 16 processors, and processes, and waits until all take
    /// callers.
    pub async fn start(processes: usize, workers: u16) -> FleetCell {
        FleetCell::start_as(processes, workers, false, 0).await
    }

    /// Starts the same with a proxy in front of the store and the workers, and a limit of the
    /// client account.
    pub async fn start_proxied(processes: usize, workers: u16, limit: u64) -> FleetCell {
        FleetCell::start_as(processes, workers, true, limit).await
    }

    /// Starts a cell.
    async fn start_as(
        processes: usize,
        workers: u16,
        proxied: bool,
        limit: u64,
    ) -> FleetCell {
        let addresses = CellAddresses::reserve();
        let log_dir = std::env::temp_dir().join(format!(
            "geraniumwinch-fleet-{}-{}",
            std::process::id(),
            addresses.platform_prefix()
        ));
        std::fs::create_dir_all(&log_dir).expect("a folder for logs");
        let offset = if proxied { PROXY_OFFSET } else { 0 };
        let words =
            ["--count", &workers.to_string(), "--proxy-offset", &offset.to_string()]
                .map(str::to_owned);
        let platform =
            start_stand_in("fleet", addresses.platform(PLATFORM_PORT), &words, &log_dir);
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
            client,
        };
        wait_until("the stand-in answers", async || {
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

    /// Lets the proxy listen in front of the workers, and of the store for each process.
    async fn add_routes(&self, processes: usize, workers: u16) {
        wait_until("the proxy answers", async || self.set_rules(&[]).await == 200).await;
        let address = |port| self.addresses.platform(port);
        let mut routes = Vec::new();
        for port in (1..=workers).map(|index| PLATFORM_PORT + index) {
            let listen = address(port + PROXY_OFFSET);
            routes.push(json!({ "listen": listen, "target": address(port) }));
        }
        for index in 0..processes {
            let target = address(PLATFORM_PORT);
            routes.push(json!({ "listen": self.store_address(index), "target": target }));
        }
        let url = format!("http://{}/routes", address(PROXY_PORT));
        self.client.post_json(&url, &Value::Array(routes)).await;
    }

    /// Returns the address at which a process reaches the store.
    pub fn store_address(&self, index: usize) -> std::net::SocketAddr {
        match self.proxy {
            Some(_) => self.addresses.platform(STORE_PROXY_PORT + index as u16),
            None => self.addresses.platform(PLATFORM_PORT),
        }
    }

    /// Returns the address at which processes reach a worker through the proxy.
    pub fn worker_address(&self, index: u16) -> std::net::SocketAddr {
        self.addresses.platform(PLATFORM_PORT + 1 + index + PROXY_OFFSET)
    }

    /// Replaces the proxy's rules and returns the status of its answer.
    pub async fn set_rules(&self, rules: &[Value]) -> u16 {
        let url = format!("http://{}/rules", self.addresses.platform(PROXY_PORT));
        let headers = [("Content-Type", "application/json")];
        let body = Value::Array(rules.to_vec()).to_string();
        self.client.send(Method::POST, &url, &headers, body).await.status
    }

    /// Begins a new lifetime of a worker.
    pub async fn restart_worker(&self, index: u16) {
        self.post("/restart", &json!(index)).await;
    }

    /// Has the store drop its history.
    pub async fn compact_store(&self) {
        self.post("/forget", &json!({})).await;
    }

    /// Starts a process whose output nobody reads.
    pub fn start_process_with_unread_output(&mut self, index: usize) {
        let arguments = self.write_settings(index);
        let log = self.log_path(index);
        let process =
            CellProcess::start_with_unread_output("geraniumwinch", &arguments, &log);
        self.processes[index] = Some(process);
    }

    /// Starts a process.
    pub fn start_process(&mut self, index: usize) {
        let arguments = self.write_settings(index);
        let log = self.log_path(index);
        let process = CellProcess::start("geraniumwinch", &arguments, &log);
        self.processes[index] = Some(process);
    }

    /// Writes the settings of a process and returns its arguments.
    fn write_settings(&self, index: usize) -> [String; 3] {
        let settings = self.log_dir.join(format!("{index}.ini"));
        std::fs::write(&settings, self.settings(index)).expect("settings are written");
        ["cell".to_owned(), "--settings".to_owned(), settings.display().to_string()]
    }

    /// Returns where a process writes its log.
    fn log_path(&self, index: usize) -> PathBuf {
        self.log_dir.join(format!("{index}.log"))
    }

    /// Creates the settings of a process.
    fn settings(&self, index: usize) -> String {
        let [callers, readiness, peers, metrics] =
            PORTS.map(|port| self.addresses.entry(0, index, port));
        let store = self.store_address(index);
        let permissions = self.addresses.platform(PLATFORM_PORT);
        format!(
            "[process]\nname = node-{index}\nfailure-domain = d{index}\n\
             stop-grace-s = 4\n[vm]\ncpu-share = 1\n[listen]\ncallers = {callers}\n\
             readiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\
             [platform]\nstore = {store}\npermissions = {permissions}\n\
             [workers]\nlease-ms = 6000\nheartbeat-ms = 1500\n[jobs]\nretention-s = 120\n"
        )
    }

    /// Waits until a process takes callers.
    pub async fn await_ready(&self, index: usize) {
        let url = format!("http://{}/-/ready", self.addresses.entry(0, index, PORTS[1]));
        wait_until("a process is ready", async || {
            self.client.send(Method::GET, &url, &[], "").await.status == 200
        })
        .await;
    }

    /// Publishes a configuration with the queues `/jobs/` and `/open/`; those with even numbers lack
    /// [`ROTATED_KEY`].
    pub async fn publish(&self, version: u64) {
        let route = |name: &str, prefix: &str, public: bool| {
            json!({
                "name": name, "hostname": HOST, "prefix": prefix, "kind": "unsafe",
                "target_duration_ms": 1000, "priority": 1, "service": "service",
                "max_attempts": 2, "stretch": 2.0, "public": public,
                "advice": { "decide_ms": 1.0, "per_item_ms": 0.1, "validity_ms": 2000 },
            })
        };
        let keys: &[&str] =
            if version.is_multiple_of(2) { &["key-a"] } else { &["key-a", "key-b"] };
        let configuration = json!({
            "version": version,
            "routes": [route("jobs", "/jobs/", false), route("open", "/open/", true)],
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

    /// Sets the stand-in's switches of faults.
    pub async fn set_faults(&self, faults: Value) {
        self.post("/faults", &faults).await;
    }

    /// Posts to the stand-in.
    async fn post(&self, path: &str, body: &Value) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.platform(PLATFORM_PORT));
        let headers = [("Content-Type", "application/json")];
        self.client.send(Method::POST, &url, &headers, body.to_string()).await
    }

    /// Calls a process as a caller.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.entry(0, index, PORTS[0]));
        let mut headers = vec![("Host", HOST), ("Geraniumwinch-Deadline-Ms", "3000")];
        headers.extend(key.map(|key| ("Authorization", key)));
        self.client.send(method, &url, &headers, body.to_owned()).await
    }

    /// Hands a job of one step in.
    pub async fn submit(&self, index: usize, id: &str, spec: &str, tasks: u32) -> u16 {
        let step =
            json!({ "count": tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let path = format!("/jobs/{id}");
        self.call(index, Method::POST, &path, Some(FLEET_KEY), &body).await.status
    }

    /// Creates callers that hand jobs in to all processes.
    pub fn load(
        &self,
        seed: u64,
        jobs: u64,
        spacing: Duration,
        task_millis: u64,
    ) -> FleetLoad {
        let url = |index| format!("http://{}", self.addresses.entry(0, index, PORTS[0]));
        let urls = (0..self.processes.len()).map(url).collect();
        FleetLoad { seed, jobs, spacing, task_millis, urls, host: HOST }
    }

    /// Returns the state of a job, or nothing if the process can't tell.
    pub async fn state(&self, index: usize, id: &str) -> Option<String> {
        let path = format!("/jobs/{id}");
        let answer = self.call(index, Method::GET, &path, Some(FLEET_KEY), "").await;
        (answer.status == 200).then(|| answer.field("state"))
    }

    /// Waits until a process shows a job in a state.
    pub async fn await_state(&self, index: usize, id: &str, state: &str) {
        wait_until(&format!("job {id} is {state}"), async || {
            self.state(index, id).await.as_deref() == Some(state)
        })
        .await;
    }

    /// Returns which process owns the cell, by its metrics.
    pub async fn owner(&self) -> Option<usize> {
        for index in 0..self.processes.len() {
            if self.processes[index].is_none() {
                continue;
            }
            let url =
                format!("http://{}/metrics", self.addresses.entry(0, index, PORTS[3]));
            let answer = self.client.send(Method::GET, &url, &[], "").await;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let epoch =
                text.lines().find(|line| line.starts_with("geraniumwinch_cell_epoch "));
            if epoch.is_some_and(|line| !line.ends_with(" 0")) {
                return Some(index);
            }
        }
        None
    }

    /// Waits until a process owns the cell and returns which.
    pub async fn await_owner(&self) -> usize {
        wait_until("a process owns the cell", async || self.owner().await.is_some())
            .await;
        self.owner().await.expect("it has just been found")
    }

    /// Kills a process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.processes[index].take() {
            process.kill();
        }
    }

    /// Asks a process to stop.
    pub fn terminate(&self, index: usize) {
        if let Some(process) = &self.processes[index] {
            process.terminate();
        }
    }

    /// Returns a process.
    pub fn process(&mut self, index: usize) -> &mut CellProcess {
        self.processes[index].as_mut().expect("the process runs")
    }

    /// Returns the folder of the logs.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }

    /// Returns all runs that workers have started.
    pub async fn runs(&self) -> Vec<Value> {
        let url = format!("http://{}/account", self.addresses.platform(PLATFORM_PORT));
        let account = self.client.get_json(&url).await;
        account["runs"].as_array().cloned().unwrap_or_default()
    }

    /// Checks that no task ran twice at the same time or after it was done; an end that nobody was
    /// told of before its worker began a new lifetime is lost.
    ///
    /// # Panics
    ///
    /// Panics with the runs of a task that did.
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
                let apart = time(first, "ended_ms") <= time(second, "started_ms");
                let done = first["how"] == "done" && first["forgotten"] != true;
                assert!(apart && !done, "{first} and {second}");
            }
        }
    }
}

/// Starts a stand-in.
fn start_stand_in(
    kind: &str,
    listen: std::net::SocketAddr,
    words: &[String],
    log_dir: &Path,
) -> CellProcess {
    let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
    arguments.extend_from_slice(words);
    let log = log_dir.join(format!("{kind}.log"));
    CellProcess::start("geraniumwinch-standins", &arguments, &log)
}
