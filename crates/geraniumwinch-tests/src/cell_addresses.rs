//! Loopback addresses of a cell that no other test process uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The number of domains for which a cell has addresses.
const MAX_DOMAINS: u32 = 8;

/// The addresses of a cell: each domain has a network of its own below 127.0.0.0/8.
#[derive(Debug, Clone, Copy)]
pub struct CellAddresses {
    second: u8,
    third: u8,
}

impl CellAddresses {
    /// Chooses the addresses by the number of this process.
    pub fn of_process() -> Self {
        let pid = std::process::id();
        let second = 1 + (pid % 250) as u8;
        let third = ((pid / 250) % (250 / (MAX_DOMAINS + 1)) * (MAX_DOMAINS + 1)) as u8;
        CellAddresses { second, third }
    }

    /// Returns an address in the network of a domain; network 0 is the platform's.
    fn ip(&self, network: usize, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third + network as u8, host))
    }

    /// Returns the beginning of every address in a domain.
    pub fn domain_prefix(&self, domain: usize) -> String {
        format!("127.{}.{}.", self.second, usize::from(self.third) + 1 + domain)
    }

    /// Returns the beginning of every address of the platform.
    pub fn platform_prefix(&self) -> String {
        format!("127.{}.{}.", self.second, self.third)
    }

    /// Returns the address of a platform service.
    pub fn platform(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(0, 1), port)
    }

    /// Returns the address of an entry process.
    pub fn entry(&self, domain: usize, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(domain + 1, 10 + index as u8), port)
    }

    /// Returns the address of an executor.
    pub fn executor(&self, domain: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(domain + 1, 100), port)
    }

    /// Returns the address of a worker.
    pub fn worker(&self, domain: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(domain + 1, 200), port)
    }
}
