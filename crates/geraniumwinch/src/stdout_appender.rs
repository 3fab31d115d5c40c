//! Log appender that limits the rate of lines and never blocks the process.

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

/// Maximum number of lines that wait for standard output; further lines are dropped.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of lines per event and second.
const MAX_LINES_PER_SECOND: u32 = 500;
/// Interval between writes, in which lines accumulate to be written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for the queued lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Prefix of a message that names its event.
const EVENT_PREFIX: &str = "event=";

/// Number of lines of one event within the current window of one second.
#[derive(Debug, Clone, Copy)]
struct EventCount {
    window_start: Instant,
    lines: u32,
    suppressed: u32,
}

/// Log appender that queues lines for a thread that writes them to standard output.
pub(crate) struct StdoutAppender {
    encoder: PatternEncoder,
    sender: SyncSender<Vec<u8>>,
    counts: Mutex<HashMap<String, EventCount>>,
    queued: &'static AtomicU64,
    lost: &'static AtomicU64,
}

impl std::fmt::Debug for StdoutAppender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StdoutAppender").finish_non_exhaustive()
    }
}

/// Number of lines that are queued and not written yet.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Number of lines that were dropped since the last write because the queue was full.
static LOST: AtomicU64 = AtomicU64::new(0);

impl StdoutAppender {
    /// Creates the appender and starts its writer thread.
    pub(crate) fn start(encoder: PatternEncoder) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        std::thread::spawn(move || write_lines(&receiver));
        let counts = Mutex::new(HashMap::new());
        StdoutAppender { encoder, sender, counts, queued: &QUEUED, lost: &LOST }
    }

    /// Counts a line of an event. Returns whether the line may be written, and how many lines were
    /// suppressed in the previous window if this line starts a new one.
    fn admit(&self, event: &str) -> (bool, u32) {
        let now = Instant::now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let new_window = EventCount { window_start: now, lines: 0, suppressed: 0 };
        let count = counts.entry(event.to_owned()).or_insert(new_window);
        let mut suppressed = 0;
        if now.duration_since(count.window_start) >= Duration::from_secs(1) {
            suppressed = count.suppressed;
            *count = new_window;
        }
        count.lines += 1;
        let admitted = count.lines <= MAX_LINES_PER_SECOND;
        if !admitted {
            count.suppressed += 1;
        }
        (admitted, suppressed)
    }

    /// Queues a line, or counts it as lost if the queue is full.
    fn enqueue(&self, line: Vec<u8>) {
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let event = message.strip_prefix(EVENT_PREFIX).unwrap_or("other");
        let event = event.split(' ').next().unwrap_or_default();
        let (admitted, suppressed) = self.admit(event);
        if suppressed > 0 {
            let line =
                format!("level=WARN event=log-limited kind={event} count={suppressed}\n");
            self.enqueue(line.into_bytes());
        }
        if admitted {
            let mut line = SimpleWriter(Vec::with_capacity(message.len() + 64));
            self.encoder.encode(&mut line, record)?;
            self.enqueue(line.0);
        }
        Ok(())
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.queued.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            std::thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Writes queued lines to standard output until the process ends.
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
        // An error is ignored: if standard output is closed, there is nowhere to report it.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        QUEUED.fetch_sub(lines, Ordering::Relaxed);
        std::thread::sleep(WRITE_INTERVAL);
    }
}
