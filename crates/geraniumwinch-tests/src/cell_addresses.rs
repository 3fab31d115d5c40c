//! Loopback addresses of a cell that no other test process uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

/// The number of domains for which a cell has addresses.
const MAX_DOMAINS: u32 = 8;

/// The port that marks the addresses of a cell as taken.
const RESERVATION: u16 = 2000;

/// The addresses of a cell: each domain has a network of its own below 127.0.0.0/8.
///
/// The number of the process alone does not tell two cells apart, since numbers come round again
/// within minutes. So a listener on a port of the cell reserves its addresses.
#[derive(Debug, Clone)]
pub struct CellAddresses {
    second: u8,
    third: u8,
    _reservation: Arc<TcpListener>,
}

impl CellAddresses {
    /// Reserves addresses that no other cell has.
    ///
    /// # Panics
    ///
    /// Panics if every address is taken.
    pub fn reserve() -> Self {
        let groups = 250 / (MAX_DOMAINS + 1);
        let first = std::process::id();
        for number in first..first + 250 * groups {
            let second = 1 + (number % 250) as u8;
            let third = ((number / 250) % groups * (MAX_DOMAINS + 1)) as u8;
            let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, 1));
            if let Ok(listener) = TcpListener::bind(SocketAddr::new(ip, RESERVATION)) {
                return CellAddresses { second, third, _reservation: Arc::new(listener) };
            }
        }
        panic!("every address of a cell is taken");
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
