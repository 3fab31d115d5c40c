//! A cell of the project's own processes on loopback addresses, with the platform's stand-ins.

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
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::OpenCall;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Kind;
use crate::worker::RunEvent;
use crate::worker::Worker;

pub const HOST: &str = "nony24.example";
pub const KEYS: [&str; 2] = ["6x73d3zji9n73hh2b9wu", "3fexd9dnn2ctnfzs989a"];
const PROGRAM: &str = "target/release/geraniumwinch";

/// The ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and then this one, if a case takes too long.
pub fn watch_time(most: Duration) {
    thread::spawn(move || {
        thread::sleep(most);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        println!("couldn't run: out of time");
        std::process::exit(2);
    });
}

/// Forgets a process that has ended.
fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|&started| started != pid);
}

/// A process of the cell.
struct Process {
    settings: PathBuf,
    log: PathBuf,
    client: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    child: Option<Child>,
}

/// The cell, the platform and the executors of a case.
pub struct Cell {
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub events: Arc<Mutex<Vec<RunEvent>>>,
    processes: Vec<Process>,
    _platform: Server,
    folder: PathBuf,
}

/// The result of a step of a case that could not be carried out.
pub type Outcome<T> = Result<T, String>;

/// Returns a loopback address of this run, so that runs at the same time don't take each other's ports.
pub fn run_ip() -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 10 + id % 200, 1 + id / 200 % 250, 1 + id / 50_000 % 250)
}

/// The first port that is tried, below those that the system hands out to clients.
const FIRST_PORT: u16 = 7000;

/// Returns a free address of this run that was not returned before.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: Mutex<u16> = Mutex::new(FIRST_PORT);
    let mut next = NEXT.lock().unwrap();
    loop {
        let port = *next;
        *next += 1;
        match TcpListener::bind((run_ip(), port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) if port > FIRST_PORT + 20_000 => return Err(error),
            Err(_) => {}
        }
    }
}

/// Returns a route without advice.
pub fn route(name: &str, prefix: &str, priority: u32) -> Value {
    json!({"name": name, "hostname": HOST, "prefix": prefix, "kind": "unsafe",
        "timeout_ms": 3000, "target_duration_ms": 3000, "priority": priority,
        "service": "service", "max_attempts": 4, "stretch": 4.0, "public": false})
}

impl Cell {
    /// Starts the platform, the executors with their labels, and the processes of the cell.
    pub fn start(
        record: &Arc<Record>,
        routes: Vec<Value>,
        labels: &[&[&str]],
        processes: usize,
    ) -> Outcome<Cell> {
        let store = Store::default();
        let address = free_address().map_err(|e| e.to_string())?;
        let platform = store.serve(address).map_err(|e| e.to_string())?;
        let tenant = |index: usize, name: &str| {
            json!({"name": name, "api_keys": [KEYS[index]], "priority": 1, "weight": 26,
                "cap": {"cpu": 871307, "mem_mb": 1000526, "gpu": 0}})
        };
        let config = json!({"version": 7, "routes": routes,
            "services": [{"name": "service", "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": false, "admission_check": false, "standby": false}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [tenant(0, "kaje80"), tenant(1, "zolu13")]});
        store.put("op/config", &config);
        let events: Arc<Mutex<Vec<RunEvent>>> = Arc::default();
        let mut workers = Vec::new();
        for (index, labels) in labels.iter().enumerate() {
            let kind = Kind {
                service: "service".into(),
                zone: format!("zone-{}", index % 3),
                cpu: 16000,
                mem_mb: 65536,
            };
            let id = format!("i-{index:04x}");
            let worker = Worker::start(&id, labels, kind, &store, record, &events);
            workers.push(worker.map_err(|e| e.to_string())?);
        }
        let folder =
            std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut cell = Cell {
            record: Arc::clone(record),
            workers,
            events,
            processes: Vec::new(),
            _platform: platform,
            folder,
        };
        for index in 0..processes {
            cell.add_process(index)?;
        }
        for index in 0..processes {
            cell.spawn(index)?;
        }
        cell.await_ready()?;
        Ok(cell)
    }

    fn add_process(&mut self, index: usize) -> Outcome<()> {
        let free = || free_address().map_err(|e| e.to_string());
        let [client, readiness, peers, metrics] = [free()?, free()?, free()?, free()?];
        let settings = self.folder.join(format!("{index}.ini"));
        let log = self.folder.join(format!("{index}.log"));
        let store = self._platform.address;
        let text = format!(
            "[process]\nname = edge-{index}\nfailure-domain = zone-{}\nlog-level = info\n\
             stop-grace-s = 6\n[vm]\ncpu-share = 0.25\nmemory-mb = 260\n\
             descriptors = 4100\n[listen]\ncallers = {client}\n\
             readiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n[platform]\n\
             store = {store}\npermissions = {store}\n[workers]\nlease-ms = 6000\n\
             heartbeat-ms = 1500\nevacuation-ms =\n[jobs]\nretention-s = 120\n",
            index % 3
        );
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let child = None;
        self.processes.push(Process { settings, log, client, readiness, metrics, child });
        Ok(())
    }

    /// Starts a process with the command of the deploy file.
    pub fn spawn(&mut self, index: usize) -> Outcome<()> {
        let process = &mut self.processes[index];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&process.log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("cell")
            .arg("--settings")
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        STARTED.lock().unwrap().push(child.id());
        process.child = Some(child);
        self.record.line(&format!("process {index} starts"));
        Ok(())
    }

    fn await_ready(&self) -> Outcome<()> {
        let end = Instant::now() + Duration::from_secs(20);
        let ready = |process: &Process| {
            let time = Duration::from_millis(500);
            let call = http::call(process.readiness, "GET", "/-/ready", &[], "", time);
            call.is_some_and(|(status, _)| status == 200)
        };
        while !self.processes.iter().all(ready) {
            if Instant::now() > end {
                self.record_logs(&["level="]);
                return Err("the processes don't become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all processes are ready");
        thread::sleep(Duration::from_millis(2500));
        Ok(())
    }

    /// Returns the process that owns the cell, by its metrics.
    pub fn owner(&self) -> Option<usize> {
        let time = Duration::from_millis(500);
        (0..self.processes.len()).find(|&index| {
            let process = &self.processes[index];
            let found = process.child.as_ref().and_then(|_| {
                http::call(process.metrics, "GET", "/metrics", &[], "", time)
            });
            let epoch = |line: &str| {
                let value = line.strip_prefix("geraniumwinch_cell_epoch ")?;
                value.trim().parse::<f64>().ok()
            };
            found.is_some_and(|(_, text)| {
                text.lines().find_map(epoch).is_some_and(|epoch| epoch > 0.0)
            })
        })
    }

    /// Returns the process id of a running process.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a process.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(pid) = self.pid(index) {
            self.record.line(&format!("process {index} gets SIG{signal}"));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            self.record.line(&format!("process {index} is killed"));
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Sends a client's request to a process and leaves its response open.
    pub fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<OpenCall> {
        self.record.line(&format!("client sends {method} {path} to process {index} {body:.300}"));
        let key = format!("Token {key}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("Geraniumwinch-Deadline-Ms", "3000"),
        ];
        http::send(self.processes[index].client, method, path, &headers, body)
    }

    /// Sends a client's request to a process and returns the response.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let call = self.send(index, method, path, key, body)?;
        let response = call.response(Duration::from_secs(3));
        match &response {
            Some((status, text)) => {
                self.record.line(&format!("client gets {status} {text} for {method} {path}"));
            }
            None => self.record.line(&format!("client gets nothing for {method} {path}")),
        }
        response
    }

    /// Returns the state of a submission.
    pub fn state(&self, index: usize, path: &str, key: &str) -> Option<String> {
        let (status, text) = self.call(index, "GET", path, key, "")?;
        if status == 410 {
            return Some("410".to_owned());
        }
        let body: Value = serde_json::from_str(&text).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Returns all starts and ends so far of tasks whose names begin with `prefix`.
    pub fn runs(&self, prefix: &str) -> Vec<RunEvent> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.task.starts_with(prefix)).cloned().collect()
    }

    /// Copies lines of the processes' logs that contain a text into the record.
    pub fn record_logs(&self, texts: &[&str]) {
        for (index, process) in self.processes.iter().enumerate() {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            for line in log.lines() {
                if texts.iter().any(|text| line.contains(text)) {
                    self.record.line(&format!("log of process {index}: {line}"));
                }
            }
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            if let Some(mut child) = self.processes[index].child.take() {
                let _ = child.kill();
                let _ = child.wait();
                forget(child.id());
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
