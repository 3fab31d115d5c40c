//! The highest memory and descriptor usage of a process.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::ProcessUsage;

/// The interval at which the usage is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The highest usage of a process since the watch began, as far as samples show it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeakUsage {
    /// The resident memory with the bytes that wait unread in connections, in bytes.
    pub memory: u64,
    /// The open descriptors.
    pub descriptors: usize,
}

/// Watches the usage of a process until it is dropped.
#[derive(Debug)]
pub struct UsageWatch {
    peak: Rc<Cell<PeakUsage>>,
    task: JoinHandle<()>,
}

impl UsageWatch {
    /// Begins to watch a process. `address` is that of the connections whose unread bytes count.
    pub fn begin(pid: u32, address: SocketAddr) -> UsageWatch {
        let peak = Rc::new(Cell::new(PeakUsage::default()));
        let shared = Rc::clone(&peak);
        let task = actix_rt::spawn(async move {
            loop {
                let memory = ProcessUsage::of(pid).memory + unread_bytes(address);
                let descriptors = open_descriptors(pid);
                let former = shared.get();
                shared.set(PeakUsage {
                    memory: former.memory.max(memory),
                    descriptors: former.descriptors.max(descriptors),
                });
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        UsageWatch { peak, task }
    }

    /// Returns the highest usage so far.
    pub fn peak(&self) -> PeakUsage {
        self.peak.get()
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the number of open descriptors of a process.
fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that were received and not read yet on the connections of a local address.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { return 0 };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut unread = 0;
    for line in table.lines().skip(1) {
        let mut fields = line.split_whitespace().skip(1);
        let (found, state) = (fields.next(), fields.nth(1));
        let queues = fields.next().and_then(|queues| queues.split_once(':'));
        // For a listening socket, the queue is the number of connections.
        if found == Some(&*local) && state != Some("0A") {
            let received =
                queues.and_then(|(_, text)| u64::from_str_radix(text, 16).ok());
            unread += received.unwrap_or(0);
        }
    }
    unread
}
