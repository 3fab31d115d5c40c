//! The limits of the VM that a process runs on.

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

/// The memory that is assumed where the system says nothing, in bytes.
const UNKNOWN_MEMORY: u64 = 256 << 20;
/// The number of descriptors that is assumed where the system says nothing.
const UNKNOWN_DESCRIPTORS: u64 = 1024;
/// The share of the memory that request bodies of one interface may take.
const BODY_SHARE: u64 = 8;
/// The maximum memory for request bodies of one interface, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// The number of bodies of the maximum size for which there is always room.
const MIN_BODIES: u64 = 4;
/// The share of the memory that the connections of callers may take.
const CONNECTION_MEMORY_SHARE: u64 = 4;
/// The share of the memory that the jobs of a cell may take.
const JOB_MEMORY_SHARE: u64 = 4;
/// The descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The share of the descriptors that the connections of callers may take. Workers, the store and other
/// processes need the others.
const CONNECTION_DESCRIPTOR_SHARE: u64 = 4;
/// The share of the descriptors that the connections of other processes may take: the owner serves the
/// requests of all.
const PEER_DESCRIPTOR_SHARE: u64 = 2;
/// The minimum number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// The limits of the VM that a process runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// The memory in bytes.
    pub memory_bytes: u64,
    /// The number of descriptors that the process may open.
    pub descriptors: u64,
}

impl VmLimits {
    /// Returns the given limits in megabytes and descriptors, and those of the system for what is not
    /// given.
    pub fn detect(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let given = memory_mb.map(|megabytes| megabytes.saturating_mul(1_000_000));
        let memory_bytes = given.or_else(system_memory).unwrap_or(UNKNOWN_MEMORY);
        let descriptors = descriptors.unwrap_or_else(|| {
            getrlimit(Resource::RLIMIT_NOFILE)
                .map_or(UNKNOWN_DESCRIPTORS, |(soft, _)| soft)
        });
        VmLimits { memory_bytes, descriptors }
    }

    /// Returns the memory that the request bodies of one interface may take, in bytes. `max_body` is the
    /// maximum size of one.
    pub fn body_bytes(&self, max_body: usize) -> usize {
        let share = (self.memory_bytes / BODY_SHARE).min(MAX_BODY_BYTES);
        let least = (max_body as u64).saturating_mul(MIN_BODIES);
        usize::try_from(share.max(least)).unwrap_or(usize::MAX)
    }

    /// Returns the memory that the jobs of a cell may take, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.memory_bytes / JOB_MEMORY_SHARE
    }

    /// Returns how many connections of callers may be open, if each of them is counted as `connection_bytes`
    /// beside the body of its request.
    pub fn connections(&self, connection_bytes: u64) -> usize {
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_SHARE / connection_bytes;
        let by_descriptors = self.socket_descriptors() / CONNECTION_DESCRIPTOR_SHARE;
        let connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// Returns how many connections of other processes of the cell may be open.
    pub fn peer_connections(&self) -> usize {
        let connections = self.socket_descriptors() / PEER_DESCRIPTOR_SHARE;
        usize::try_from(connections.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX)
    }

    /// Returns the number of descriptors that are left for connections.
    fn socket_descriptors(&self) -> u64 {
        self.descriptors - FILE_DESCRIPTORS.min(self.descriptors / 4)
    }
}

/// Returns the memory of the system in bytes, if it says so.
fn system_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}
