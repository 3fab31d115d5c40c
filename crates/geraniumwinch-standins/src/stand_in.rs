//! Options and helpers shared by the stand-ins.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The command-line options of a stand-in.
#[derive(Debug, Clone)]
pub struct StandInOptions {
    /// The first address to listen on.
    pub listen: SocketAddr,
    /// The number of workers or executors.
    pub count: u16,
    /// The name prefix of the workers or executors.
    pub name: String,
    /// The number of cores of each worker.
    pub cores: u64,
    /// The memory of each worker in GB.
    pub memory_gb: u64,
    /// The offset added to worker ports in the workers' entries, so that calls go through a proxy.
    pub proxy_offset: u16,
}

impl StandInOptions {
    /// Returns the name and the address of each worker or executor; ports are consecutive.
    pub fn instances(&self) -> Vec<(String, SocketAddr)> {
        let port = self.listen.port();
        let address = |index| SocketAddr::new(self.listen.ip(), port + index);
        (0..self.count)
            .map(|index| (format!("{}-{index}", self.name), address(index)))
            .collect()
    }
}

/// Returns the current Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Locks a mutex, also if a thread has panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
