//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Record { began: Instant::now(), file })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line, also to the standard output.
    pub fn note(&self, line: &str) {
        let line = format!("{:8.3} s  {line}", self.now().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
