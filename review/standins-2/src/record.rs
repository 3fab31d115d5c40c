//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
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

    /// Returns the time since the start of the case in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{:>8.3} {text}", self.now_ms() as f64 / 1000.0);
    }

    /// Writes a line there and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Nobody may be reading any more.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}
