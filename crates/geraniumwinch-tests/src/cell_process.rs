//! Child processes of a test cell.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tokio::task::JoinHandle;

/// Number of lines of its log that are printed for each process of a failed test.
const REPORTED_LINES: usize = 25;
/// Maximum length of such a line in characters.
const REPORTED_LENGTH: usize = 300;

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct CellProcess {
    child: Child,
    log: PathBuf,
    /// The task that suspends and resumes the process while it is slowed down.
    pulses: Option<JoinHandle<()>>,
}

impl CellProcess {
    /// Starts a program of the workspace and appends its output to a log file.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> CellProcess {
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("opening the log file");
        let errors = output.try_clone().expect("duplicating the handle of the log file");
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {program}: {error}"));
        CellProcess { child, log: log.to_owned(), pulses: None }
    }

    /// Starts a program whose standard output is a pipe that is never read.
    ///
    /// The pipe stays open until the process is dropped, so that it fills up instead of breaking.
    pub fn start_with_unread_output(
        program: &str,
        arguments: &[String],
        log: &Path,
    ) -> CellProcess {
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {program}: {error}"));
        CellProcess { child, log: log.to_owned(), pulses: None }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, signal);
    }

    /// Freezes the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Lets the process run and suspends it by turns, for the given times.
    pub fn slow_down(&mut self, (running, suspended): (Duration, Duration)) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let pulses = actix_rt::spawn(async move {
            loop {
                let _ = kill(pid, Signal::SIGSTOP);
                tokio::time::sleep(suspended).await;
                let _ = kill(pid, Signal::SIGCONT);
                tokio::time::sleep(running).await;
            }
        });
        self.pulses = Some(pulses);
    }

    /// Lets a process run freely that was slowed down.
    pub fn end_slow_down(&mut self) {
        if let Some(pulses) = self.pulses.take() {
            pulses.abort();
        }
        self.resume();
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.end_slow_down();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has exited, or -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the contents of the log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Prints whether the process has ended, and the last lines of its log.
    fn print_report(&mut self) {
        let state = match self.child.try_wait() {
            Ok(Some(status)) => format!("ended, {status}"),
            Ok(None) => "running".to_owned(),
            Err(error) => error.to_string(),
        };
        let name = self.log.file_stem().unwrap_or_default().to_string_lossy();
        eprintln!("process {name}: {state}");
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(REPORTED_LINES)..] {
            eprintln!("  {}", line.chars().take(REPORTED_LENGTH).collect::<String>());
        }
    }
}

impl Drop for CellProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_report();
        }
        self.kill();
    }
}

/// Finds a program of the workspace near the running executable.
///
/// # Panics
///
/// Panics if the program is not built.
pub fn program_path(program: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the running executable");
    let dirs = executable.ancestors().skip(1).take(3);
    let mut paths = dirs.map(|dir| dir.join(program));
    let found = paths.find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{program} is not built; hint: run `make build`"))
}
