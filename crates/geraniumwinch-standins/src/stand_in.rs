//! What the stand-ins share.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The options of a stand-in.
#[derive(Debug, Clone)]
pub struct StandInOptions {
    /// The first address to listen on.
    pub listen: SocketAddr,
    /// The number of workers or executors.
    pub count: u16,
    /// The prefix of their names.
    pub name: String,
    /// The cores of a worker.
    pub cores: u64,
    /// The memory of a worker in GB.
    pub memory_gb: u64,
    /// What is added to the ports of workers in their entries, where a proxy stands before them.
    pub proxy_offset: u16,
}

impl StandInOptions {
    /// Returns the name and the address of each of the workers or executors.
    pub fn instances(&self) -> Vec<(String, SocketAddr)> {
        let port = self.listen.port();
        let address = |index| SocketAddr::new(self.listen.ip(), port + index);
        (0..self.count)
            .map(|index| (format!("{}-{index}", self.name), address(index)))
            .collect()
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Locks a mutex, even after a panic elsewhere.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
