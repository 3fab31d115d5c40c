//! Log lines that are bounded in number and never block the process.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// The lines that wait for the standard output before further ones are left out.
const QUEUE: usize = 4096;
/// The most lines of one event a second.
const LINES_PER_SECOND: u32 = 500;
/// The time in which lines gather before they are written.
const GATHERING: Duration = Duration::from_millis(20);
/// The longest wait for the lines that are left when the process ends.
const FLUSH: Duration = Duration::from_millis(200);
/// What a line's message begins with.
const EVENT: &str = "event=";

/// The lines of one event within the present second.
#[derive(Debug, Clone, Copy)]
struct EventCount {
    since: Instant,
    lines: u32,
    left_out: u32,
}

/// Hands lines to a thread that writes them to the standard output.
pub(crate) struct LineWriter {
    encoder: PatternEncoder,
    sender: SyncSender<Vec<u8>>,
    counts: Mutex<HashMap<String, EventCount>>,
    queued: &'static AtomicU64,
    lost: &'static AtomicU64,
}

impl std::fmt::Debug for LineWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LineWriter").finish_non_exhaustive()
    }
}

/// The lines that were handed over and not written yet.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// The lines that were left out because the standard output takes none.
static LOST: AtomicU64 = AtomicU64::new(0);

impl LineWriter {
    /// Creates the writer and its thread.
    pub(crate) fn start(encoder: PatternEncoder) -> Self {
        let (sender, receiver) = sync_channel(QUEUE);
        std::thread::spawn(move || write_lines(&receiver));
        let counts = Mutex::new(HashMap::new());
        LineWriter { encoder, sender, counts, queued: &QUEUED, lost: &LOST }
    }

    /// Counts a line of an event; returns whether it may be written and how many lines of the
    /// second before were left out.
    fn admit(&self, event: &str) -> (bool, u32) {
        let now = Instant::now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = EventCount { since: now, lines: 0, left_out: 0 };
        let count = counts.entry(event.to_owned()).or_insert(fresh);
        let mut left_out = 0;
        if now.duration_since(count.since) >= Duration::from_secs(1) {
            left_out = count.left_out;
            *count = fresh;
        }
        count.lines += 1;
        let admitted = count.lines <= LINES_PER_SECOND;
        if !admitted {
            count.left_out += 1;
        }
        (admitted, left_out)
    }

    /// Hands a line over, or counts it as lost.
    fn send(&self, line: Vec<u8>) {
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for LineWriter {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let event = message.strip_prefix(EVENT).unwrap_or("other");
        let event = event.split(' ').next().unwrap_or_default();
        let (admitted, left_out) = self.admit(event);
        if left_out > 0 {
            let line =
                format!("level=WARN event=log-limited kind={event} count={left_out}\n");
            self.send(line.into_bytes());
        }
        if admitted {
            let mut line = SimpleWriter(Vec::with_capacity(message.len() + 64));
            self.encoder.encode(&mut line, record)?;
            self.send(line.0);
        }
        Ok(())
    }

    fn flush(&self) {
        let end = Instant::now() + FLUSH;
        while self.queued.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            std::thread::sleep(GATHERING);
        }
    }
}

/// Writes lines until the process ends.
fn write_lines(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = receiver.recv() {
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let lost = LOST.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!("level=WARN event=log-lines-lost count={lost}\n");
            text.extend_from_slice(line.as_bytes());
        }
        let mut output = std::io::stdout().lock();
        // There is nowhere to report that the standard output is closed.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        QUEUED.fetch_sub(lines, Ordering::Relaxed);
        std::thread::sleep(GATHERING);
    }
}
