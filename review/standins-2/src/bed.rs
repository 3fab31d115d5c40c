//! A small deployment: the store, executors, and the project's own processes with the settings that the
//! platform renders from the template of the deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Deref;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;

use crate::executor::Executor;
use crate::executor::MAX_HOLD_MS;
use crate::executor::Place;
use crate::http::Reply;
use crate::http::Server;
use crate::http::call;
use crate::http::own_address;
use crate::record::Record;
use crate::store::Store;

/// The zones, each with a process.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The path of the settings in the deploy file.
const SETTINGS_PATH: &str = "/etc/geraniumwinch/boot.toml";
/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);
/// How often a client retries.
const RETRIES: usize = 4;
/// The memory that the platform allows a process, in kibibytes.
const MEMORY_KIB: u64 = 260 * 1024;
/// How often the platform looks at it, and when it restarts a process that it has killed.
const MEMORY_CHECK: Duration = Duration::from_millis(5);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How long the processes may take until they are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
pub const SERVICE: &str = "service";
const HOST: &str = "queue.example";
const PREFIX: &str = "/queue/";
const KEY: &str = "review-key";

/// The processes that this one has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, for a case that takes too long.
pub fn kill_started() {
    for &process in STARTED.lock().expect("lock").iter() {
        let _ = kill(Pid::from_raw(process as i32), Signal::SIGKILL);
    }
}

/// Removes a process that has ended, whose number may be used again.
fn forget_started(process: u32) {
    STARTED.lock().expect("lock").retain(|&started| started != process);
}

/// The result of a case: whether the rule held, or why the case couldn't run.
pub type Verdict = Result<bool, String>;

/// A process of the system and its addresses.
struct Node {
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    front: SocketAddr,
    readiness: SocketAddr,
    /// How often the platform has killed it for its memory.
    kills: Mutex<usize>,
}

/// The deployment.
pub struct Bed {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    nodes: Vec<Node>,
    root: PathBuf,
    folder: PathBuf,
    /// The words of the command in the deploy file.
    command: Vec<String>,
    store_server: Server,
    /// Whether the case has ended, so that no process starts any more.
    stopped: AtomicBool,
}

/// A deployment whose processes end with the case.
pub struct RunningBed(Arc<Bed>);

impl Deref for RunningBed {
    type Target = Arc<Bed>;

    fn deref(&self) -> &Arc<Bed> {
        &self.0
    }
}

impl Drop for RunningBed {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Bed {
    /// Starts the platform, the executors and the processes, and waits until these are ready.
    pub fn start(
        root: &Path,
        record: &Arc<Record>,
        places: Vec<Place>,
    ) -> Result<RunningBed, String> {
        let store = Arc::new(Store::new());
        let served = Arc::clone(&store);
        let store_server = Server::start(move |request| match request.path.as_str() {
            "/-/advise" => Reply::Answer(200, json!({ "allowed": [] })),
            _ => served.handle(&request),
        });
        let executors = places.into_iter();
        let executors =
            executors.map(|place| Executor::start(place, &store, record)).collect();
        let folder = std::env::temp_dir()
            .join(format!("geraniumwinch-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let command = deployed_command(root)?;
        let mut bed = Bed {
            record: Arc::clone(record),
            store,
            executors,
            nodes: Vec::new(),
            root: root.to_owned(),
            folder,
            command,
            store_server,
            stopped: AtomicBool::new(false),
        };
        bed.publish(1, SERVICE);
        for index in 0..ZONES.len() {
            let node = bed.create_node(index)?;
            bed.nodes.push(node);
        }
        let bed = RunningBed(Arc::new(bed));
        (0..ZONES.len()).try_for_each(|index| bed.start_node(index))?;
        bed.await_ready()?;
        Ok(bed)
    }

    /// Writes a version of the operator's configuration, which sends the queue to a service.
    pub fn publish(&self, version: u64, service: &str) {
        self.record
            .line(&format!("operator: version {version}, the queue goes to {service}"));
        let services: BTreeSet<&str> =
            self.executors.iter().map(|e| e.place().service.as_str()).collect();
        self.store.put("op/config", &configuration(version, service, &services));
    }

    /// Renders the template of the deploy file for a process.
    fn create_node(&self, index: usize) -> Result<Node, String> {
        let [front, readiness, peers, metrics] = free_addresses(index)?;
        let template = fs::read_to_string(self.root.join("deploy/cell.ini"))
            .map_err(|error| error.to_string())?;
        let store = self.store_server.address().to_string();
        let text = template
            .replace("{{ip}}:{{port_range.0}}", &peers.to_string())
            .replace("{{ip}}:9464", &metrics.to_string())
            .replace("{{node_name}}", &format!("edge-{}-1", ZONES[index]))
            .replace("{{zone}}", ZONES[index])
            .replace("{{bounds.grace_s}}", "6")
            .replace("{{limits.cpu_share}}", "0.25")
            .replace("{{listen.front}}", &front.to_string())
            .replace("{{listen.readiness}}", &readiness.to_string())
            .replace("{{platform.address}}", &store)
            .replace("{{advice}}", &store)
            .replace("{{bounds.max_hold_ms}}", &MAX_HOLD_MS.to_string())
            .replace("{{heartbeat_ms}}", "1500")
            .replace("{{bounds.evacuate_ms}}", "")
            .replace("{{bounds.status_s}}", "120");
        if let Some(at) = text.find("{{") {
            return Err(format!("an unknown placeholder: {:.40}", &text[at..]));
        }
        let settings = self.folder.join(format!("{index}.ini"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let (child, kills) = (Mutex::new(None), Mutex::new(0));
        Ok(Node { child, settings, front, readiness, kills })
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_node(&self, index: usize) -> Result<(), String> {
        let settings = self.nodes[index].settings.display().to_string();
        let mut words =
            self.command.iter().map(|word| word.replace(SETTINGS_PATH, &settings));
        let program = self.root.join(words.next().unwrap_or_default());
        let log = self.folder.join(format!("{index}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let mut slot = self.nodes[index].child.lock().expect("lock");
        if self.stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let child = Command::new(program)
            .args(words)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.line(&format!("process {index} starts"));
        STARTED.lock().expect("lock").push(child.id());
        *slot = Some(child);
        Ok(())
    }

    /// Kills each process that exceeds its memory, and restarts it, until the case ends.
    pub fn enforce_memory(self: &Arc<Self>) {
        let bed = Arc::downgrade(self);
        thread::spawn(move || {
            while let Some(bed) = bed.upgrade() {
                for index in 0..bed.nodes.len() {
                    bed.check_memory(index);
                }
                drop(bed);
                thread::sleep(MEMORY_CHECK);
            }
        });
    }

    fn check_memory(self: &Arc<Self>, index: usize) {
        let node = &self.nodes[index];
        let mut slot = node.child.lock().expect("lock");
        let Some(child) = slot.as_mut() else { return };
        let memory = memory_kib(child.id());
        if memory <= MEMORY_KIB {
            return;
        }
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGKILL);
        let _ = child.wait();
        forget_started(child.id());
        *slot = None;
        *node.kills.lock().expect("lock") += 1;
        self.record.line(&format!("process {index} had {memory} KiB and is killed"));
        let bed = Arc::downgrade(self);
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            if let Some(bed) = bed.upgrade() {
                let _ = bed.start_node(index);
            }
        });
    }

    /// Returns how often each process was killed for its memory.
    pub fn memory_kills(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| *node.kills.lock().expect("lock")).collect()
    }

    fn await_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            let timeout = Duration::from_millis(500);
            let ready = || call(node.readiness, "GET", "/-/ready", &[], "", timeout);
            while ready().is_none_or(|(status, _)| status != 200) {
                if Instant::now() > end {
                    return Err("a process does not get ready".to_owned());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Sends a client's call for a submission to a process.
    fn client_call(
        &self,
        node: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let key = format!("Token {KEY}");
        let timeout_ms = CLIENT_TIMEOUT.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("Geraniumwinch-Deadline-Ms", timeout_ms.as_str()),
        ];
        let path = format!("{PREFIX}{id}");
        let front = self.nodes[node].front;
        let answer = call(front, method, &path, &headers, body, CLIENT_TIMEOUT);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text:.60}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client: {method} {id} at process {node}: {shown}"));
        answer
    }

    /// Submits, and retries at other processes until the submission is accepted.
    pub fn submit(&self, id: &str, body: &Value) -> Result<(), String> {
        let body = body.to_string();
        self.record.line(&format!("client: {id} is {body}"));
        for attempt in 0..=RETRIES {
            let answer = self.client_call(attempt % self.nodes.len(), "POST", id, &body);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(format!("{id} was not accepted"))
    }

    /// Returns the state that a process shows for a submission; `None` without an answer of 200.
    pub fn state(&self, id: &str) -> Option<String> {
        (0..self.nodes.len()).find_map(|node| {
            let (status, text) = self.client_call(node, "GET", id, "")?;
            let body: Value = serde_json::from_str(&text).ok()?;
            (status == 200).then(|| body["state"].as_str().map(str::to_owned))?
        })
    }

    /// Waits until a submission has ended, and returns the last state that was shown.
    pub fn await_end(&self, id: &str, wait: Duration) -> String {
        let end = Instant::now() + wait;
        loop {
            let state = self.state(id).unwrap_or_default();
            if !matches!(state.as_str(), "pending" | "running" | "")
                || Instant::now() > end
            {
                return state;
            }
            thread::sleep(Duration::from_millis(250));
        }
    }

    /// Waits until a condition holds, and returns whether it did in time.
    pub fn wait_until(&self, wait: Duration, condition: impl Fn() -> bool) -> bool {
        let end = Instant::now() + wait;
        while !condition() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Ends all processes and removes their files.
    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().expect("lock").take() {
                let _ = child.kill();
                let _ = child.wait();
                forget_started(child.id());
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    /// Copies the lines of the processes' logs that hold one of some words to the record.
    pub fn record_logs(&self, words: &[&str]) {
        for index in 0..self.nodes.len() {
            let text = fs::read_to_string(self.folder.join(format!("{index}.log")));
            for line in text.unwrap_or_default().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record.line(&format!("log of process {index}: {line}"));
                }
            }
        }
    }
}

/// Returns the resident memory of a process.
fn memory_kib(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// Returns the words of the command in the deploy file.
fn deployed_command(root: &Path) -> Result<Vec<String>, String> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))
        .map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    let command = command.ok_or("the deploy file has no command")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}

/// Returns free loopback addresses for a process.
fn free_addresses(index: usize) -> Result<[SocketAddr; 4], String> {
    let ip = own_address(1 + index as u8);
    let mut listeners = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind((ip, 0));
        listeners.push(listener.map_err(|error| error.to_string())?);
    }
    let address = |index: usize| listeners[index].local_addr().expect("a bound address");
    Ok([address(0), address(1), address(2), address(3)])
}

/// Returns the operator's configuration: one queue without advice, and one tenant without a cap.
fn configuration(version: u64, service: &str, services: &BTreeSet<&str>) -> Value {
    let services = services.iter().map(|name| {
        json!({
            "name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1",
            "tls": false, "admission_check": false, "standby": false,
        })
    });
    let services: Vec<Value> = services.collect();
    json!({
        "version": version,
        "routes": [{
            "name": "r-queue", "hostname": HOST, "prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 3000, "priority": 2,
            "service": service, "max_attempts": 4, "stretch": 4.0, "public": false,
        }],
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{
            "name": "tenant", "api_keys": [KEY], "priority": 1, "weight": 32,
            "cap": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
        }],
    })
}
