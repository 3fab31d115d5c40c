//! The processes of a cell: their start, their end, and what they say of themselves.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use tokio::task::JoinHandle;

use crate::CellProcess;
use crate::ProcessEnd;
use crate::ProcessLimits;
use crate::ProcessUsage;
use crate::wait_until;

use super::FleetCell;
use super::PORTS;
use super::STOP_GRACE;

/// The interval at which a stopping process is checked for its end.
const END_POLL: Duration = Duration::from_millis(5);

impl FleetCell {
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

    /// Returns the contents of a process's settings file.
    fn settings(&self, index: usize) -> String {
        let [clients, readiness, peers, metrics] =
            PORTS.map(|port| self.addresses.entry(0, index, port));
        let store = self.store_address(index);
        let permissions = self.permission_address(index);
        let evacuation = if self.evacuable { "evacuation-ms = 5000\n" } else { "" };
        let limits = self.limits.map_or_else(String::new, |limits| {
            let ProcessLimits { memory_mb, descriptors } = limits;
            format!("memory-mb = {memory_mb}\ndescriptors = {descriptors}\n")
        });
        format!(
            "[process]\nname = node-{index}\nfailure-domain = d{index}\n\
             stop-grace-s = {}\n[vm]\ncpu-share = 1\n{limits}[listen]\ncallers = {clients}\n\
             readiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\
             [platform]\nstore = {store}\npermissions = {permissions}\n\
             [workers]\nlease-ms = 6000\nheartbeat-ms = 1500\n{evacuation}\
             [jobs]\nretention-s = 120\n",
            STOP_GRACE.as_secs()
        )
    }

    /// Returns the path of a process's log file.
    fn log_path(&self, index: usize) -> PathBuf {
        self.log_dir.join(format!("{index}.log"))
    }

    /// Waits until a process accepts client requests.
    pub async fn await_ready(&self, index: usize) {
        let url = format!("http://{}/-/ready", self.addresses.entry(0, index, PORTS[1]));
        wait_until("a process is ready", async || {
            self.client.send(Method::GET, &url, &[], "").await.status == 200
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

    /// Checks that a process uses at most `max_mb` megabytes of memory.
    ///
    /// # Panics
    ///
    /// Panics if it uses more.
    pub fn check_memory(&mut self, index: usize, max_mb: u64) {
        let used = ProcessUsage::of(self.process(index).pid()).memory / 1_000_000;
        println!("process {index} uses {used} MB");
        assert!(used <= max_mb, "process {index} uses {used} MB of {max_mb}");
    }

    /// Returns the panics in the logs of the processes.
    pub fn panics(&self) -> Vec<String> {
        let log =
            |index| std::fs::read_to_string(self.log_path(index)).unwrap_or_default();
        let logs = (0..self.processes.len()).map(log).collect::<String>();
        logs.lines().filter(|line| line.contains("panicked")).map(str::to_owned).collect()
    }
}
