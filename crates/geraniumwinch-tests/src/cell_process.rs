//! A process of a cell.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A process of a cell; it is killed when it is dropped.
#[derive(Debug)]
pub struct CellProcess {
    child: Child,
    log: PathBuf,
}

impl CellProcess {
    /// Starts a program beside the running one, with its output in a log file.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> CellProcess {
        let output =
            File::options().create(true).append(true).open(log).expect("a log file");
        let errors = output.try_clone().expect("a second handle");
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{program} does not start: {error}"));
        CellProcess { child, log: log.to_owned() }
    }

    /// Starts a program whose output nobody reads; it stays open until the process is dropped.
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
            .unwrap_or_else(|error| panic!("{program} does not start: {error}"));
        CellProcess { child, log: log.to_owned() }
    }

    /// Sends a signal.
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, signal);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has ended; -1 stands for a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns the process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for CellProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program of the workspace beside the running one.
///
/// # Panics
///
/// Panics if the program is not built.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the path of the running program");
    let dirs = own.ancestors().skip(1).take(3);
    let mut paths = dirs.map(|dir| dir.join(program));
    let found = paths.find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{program} is not built; hint: run `make build`"))
}
