//! A cell of real processes of the system beside a store and executors.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;

use crate::executor::Executor;
use crate::executor::Run;
use crate::http;
use crate::http::Handler;
use crate::record::Record;
use crate::store::Store;

/// The API key of the only tenant.
const KEY: &str = "Token key-1";
/// The host name of the queue.
const HOST: &str = "queue.example";
/// The path prefix of the queue.
const PREFIX: &str = "/jobs/";
/// How long clients wait for a response.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);

/// The identifiers of the started processes.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills the started processes.
pub fn end_processes() {
    for &process in STARTED.lock().iter().flat_map(|started| started.iter()) {
        let _ = kill(Pid::from_raw(process), Signal::SIGKILL);
    }
}

/// The sizes and bounds of a cell.
pub struct CellPlan {
    pub nodes: usize,
    pub executors: usize,
    /// The bound `status_s`.
    pub status_s: u64,
}

/// A cell. Its processes end with it.
pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    nodes: Vec<Child>,
    network: [u8; 2],
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.kill();
            let _ = node.wait();
        }
        if let Ok(mut started) = STARTED.lock() {
            started.clear();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Cell {
    /// Starts a cell, and waits until all its processes are ready.
    pub fn start(record: Arc<Record>, plan: CellPlan) -> Result<Cell, String> {
        let network = free_network()?;
        let store = Arc::new(Store::default());
        let folder = std::env::temp_dir()
            .join(format!("geraniumwinch-review-{}-{}", network[0], network[1]));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut cell = Cell {
            record,
            store: Arc::clone(&store),
            executors: Vec::new(),
            nodes: Vec::new(),
            network,
            folder,
        };
        let handler: Handler = Arc::new(move |request| store.handle(&request));
        http::serve(cell.store_address(), handler).map_err(|error| error.to_string())?;
        for index in 0..plan.executors {
            let address = cell.address(100 + index as u8, 8191);
            let zone = format!("zone-{}", index % 3);
            let executor = Executor::new(
                index,
                address.to_string(),
                zone,
                16_000,
                Arc::clone(&cell.store),
                Arc::clone(&cell.record),
            );
            let served = Arc::clone(&executor);
            let handler: Handler = Arc::new(move |request| served.handle(request));
            http::serve(address, handler).map_err(|error| error.to_string())?;
            cell.executors.push(executor);
        }
        cell.configure(1);
        for index in 0..plan.nodes {
            let node = cell.start_node(index, &plan)?;
            if let Ok(mut started) = STARTED.lock() {
                started.push(node.id() as i32);
            }
            cell.nodes.push(node);
        }
        cell.await_ready()?;
        cell.record.note(&format!(
            "{} processes and {} executors are ready",
            plan.nodes, plan.executors
        ));
        Ok(cell)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, host)), port)
    }

    fn store_address(&self) -> SocketAddr {
        self.address(2, 8182)
    }

    fn node_address(&self, index: usize, port: u16) -> SocketAddr {
        self.address(11 + index as u8, port)
    }

    /// Writes a configuration with one queue, which asks for no advice, and one tenant.
    fn configure(&self, version: u64) {
        let configuration = json!({
            "version": version,
            "routes": [{
                "name": "jobs", "hostname": HOST, "prefix": PREFIX, "kind": "unsafe",
                "service": "service", "target_duration_ms": 1000, "priority": 1,
                "max_attempts": 4, "stretch": 4.0, "public": false, "timeout_ms": 3000,
            }],
            "services": [{ "name": "service", "admission_check": false }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{
                "name": "tenant-1", "api_keys": ["key-1"], "weight": 50,
                "cap": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
            }],
        });
        self.record.note(&format!("operator: op/config {configuration}"));
        self.store.put("op/config", &configuration);
    }

    /// Starts a process with the command of the deploy file and the rendered template.
    fn start_node(&self, index: usize, plan: &CellPlan) -> Result<Child, String> {
        let ip = self.node_address(index, 0).ip().to_string();
        let address = |port: u16| self.node_address(index, port).to_string();
        let fields: HashMap<&str, String> = HashMap::from([
            ("node_name", format!("edge-{index}")),
            ("zone", format!("zone-{}", index % 3)),
            ("ip", ip),
            ("port_range.0", "7420".to_owned()),
            ("listen.front", address(8183)),
            ("listen.readiness", address(8184)),
            ("limits.cpu_share", "0.25".to_owned()),
            ("platform.address", self.store_address().to_string()),
            ("heartbeat_ms", "1500".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.max_hold_ms", "6000".to_owned()),
            ("bounds.status_s", plan.status_s.to_string()),
        ]);
        let deploy =
            fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let find = |name: &str| {
            let line = deploy.lines().find(|line| line.starts_with(name));
            let quoted = line.and_then(|line| line.split('"').nth(1));
            quoted.map(str::to_owned).ok_or(format!("no `{name}` in the deploy file"))
        };
        let template =
            fs::read_to_string(find("template")?).map_err(|e| e.to_string())?;
        let settings = self.folder.join(format!("{index}.ini"));
        fs::write(&settings, render(&template, &fields)).map_err(|e| e.to_string())?;
        let run = find("run")?;
        let mut words = run.split_whitespace();
        let program = words.next().ok_or("an empty command")?;
        let arguments: Vec<String> = words
            .map(|word| match word {
                "/etc/geraniumwinch/boot.toml" => settings.display().to_string(),
                word => word.to_owned(),
            })
            .collect();
        let log = File::create(self.folder.join(format!("{index}.log")));
        let log = log.map_err(|error| error.to_string())?;
        Command::new(program)
            .args(arguments)
            .env_clear()
            .env("GERANIUMWINCH_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))
    }

    fn await_ready(&self) -> Result<(), String> {
        for _ in 0..150 {
            let ready = (0..self.nodes.len()).all(|index| {
                let address = self.node_address(index, 8184);
                let timeout = Duration::from_millis(500);
                let answer = http::call(address, "GET", "/-/ready", &[], "", timeout);
                matches!(answer, Some((200, _)))
            });
            if ready {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the processes are not ready".to_owned())
    }

    /// Sends a client's request to a process, and returns the status and the body.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        id: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, Value)> {
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("Geraniumwinch-Deadline-Ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let address = self.node_address(index, 8183);
        let answer = http::call(address, method, &path, &headers, body, timeout);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no response".to_owned(),
        };
        self.record
            .note(&format!("client: {method} {id} {body} at edge-{index} -> {text}"));
        answer
    }

    /// Submits a job; it has to be accepted.
    pub fn submit(&self, index: usize, id: &str, body: &Value) -> Result<(), String> {
        match self.call(index, "POST", id, &body.to_string(), CLIENT_TIMEOUT) {
            Some((200..=299, _)) => Ok(()),
            answer => Err(format!("the submission was not accepted: {answer:?}")),
        }
    }

    /// Returns the status and the state of a job.
    pub fn state(&self, index: usize, id: &str) -> (u16, String) {
        match self.call(index, "GET", id, "", CLIENT_TIMEOUT) {
            Some((status, body)) => {
                (status, body["state"].as_str().unwrap_or_default().to_owned())
            }
            None => (0, String::new()),
        }
    }

    /// Returns the runs of a job's tasks on all executors, by their beginning.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let all = self.executors.iter().flat_map(|executor| executor.runs());
        let mut runs: Vec<Run> = all.filter(|run| run.task.starts_with(id)).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }
}

/// Replaces the placeholders of a template by the fields of the platform.
fn render(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut rendered = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        rendered += before;
        rendered += fields.get(name).map(String::as_str).unwrap_or_default();
        rest = after;
    }
    rendered + rest
}

/// Finds two middle bytes of loopback addresses on which the ports are free.
fn free_network() -> Result<[u8; 2], String> {
    let seed = std::process::id();
    for attempt in 0..50 {
        let number = seed.wrapping_mul(31).wrapping_add(attempt * 97);
        let network = [100 + (number / 200 % 100) as u8, (number % 200) as u8 + 1];
        let ports = [(2, 8182), (11, 8183), (11, 9464), (11, 7420), (100, 8191)];
        let free = ports.iter().all(|&(host, port)| {
            let ip = Ipv4Addr::new(127, network[0], network[1], host);
            TcpListener::bind((ip, port)).is_ok()
        });
        if free {
            return Ok(network);
        }
    }
    Err("no free loopback addresses".to_owned())
}
