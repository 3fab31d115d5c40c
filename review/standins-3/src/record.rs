//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record's file.
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record { began: Instant::now(), file })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}
