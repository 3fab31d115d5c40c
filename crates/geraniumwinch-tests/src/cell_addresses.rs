//! Reserves loopback addresses for a test cell.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

/// The maximum number of failure domains of a cell.
const MAX_DOMAINS: u32 = 8;

/// The port on which a listener marks the addresses of a cell as reserved.
const RESERVATION_PORT: u16 = 2000;

/// The loopback addresses of a cell; each domain has its own network within 127.0.0.0/8.
///
/// Process ids are reused within minutes, so they do not tell two cells apart. A listener on a port
/// of the cell reserves its addresses instead.
#[derive(Debug, Clone)]
pub struct CellAddresses {
    second: u8,
    third: u8,
    _reservation: Arc<TcpListener>,
}

impl CellAddresses {
    /// Reserves addresses that no other cell uses.
    ///
    /// # Panics
    ///
    /// Panics if all addresses are reserved.
    pub fn reserve() -> Self {
        let groups = 250 / (MAX_DOMAINS + 1);
        let first = std::process::id();
        for number in first..first + 250 * groups {
            let second = 1 + (number % 250) as u8;
            let third = ((number / 250) % groups * (MAX_DOMAINS + 1)) as u8;
            let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, 1));
            if let Ok(listener) = TcpListener::bind(SocketAddr::new(ip, RESERVATION_PORT))
            {
                return CellAddresses { second, third, _reservation: Arc::new(listener) };
            }
        }
        panic!("all loopback addresses for test cells are reserved");
    }

    /// Returns an address in network 0, the platform's, or `domain + 1`, a domain's.
    fn ip(&self, network: usize, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third + network as u8, host))
    }

    /// Returns the prefix of the addresses in a domain.
    pub fn domain_prefix(&self, domain: usize) -> String {
        format!("127.{}.{}.", self.second, usize::from(self.third) + 1 + domain)
    }

    /// Returns the prefix of the platform's addresses.
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

    /// Returns the address of an executor; the executors of a domain share an IP address.
    pub fn executor(&self, domain: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(domain + 1, 100), port)
    }

    /// Returns the address of a worker; the workers of a domain share an IP address.
    pub fn worker(&self, domain: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(domain + 1, 200), port)
    }
}
