//! Errors that end a process or a part of it.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a process or a part of it can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The peer address can't be used.
    #[snafu(display("can't listen for peers on {address}: {source}"))]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// The library's error.
        source: nng::Error,
    },
    /// The HTTP address can't be used.
    #[snafu(display("can't listen for callers on {address}: {source}"))]
    HttpListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The store did not answer in time or answered with an error.
    #[snafu(display("the store failed: {message}"))]
    Store {
        /// The particulars.
        message: String,
    },
    /// A value in the store can't be read.
    #[snafu(display("the store's value at `{key}` can't be read: {message}"))]
    StoredValue {
        /// The key.
        key: String,
        /// The particulars.
        message: String,
    },
    /// A platform service did not answer in time or answered with an error.
    #[snafu(display("the call to {service} failed: {message}"))]
    Platform {
        /// The service.
        service: &'static str,
        /// The particulars.
        message: String,
    },
    /// A peer did not answer in time.
    #[snafu(display("peer {address} did not answer"))]
    PeerTimeout {
        /// The address.
        address: SocketAddr,
    },
    /// The ownership of the domain has passed to another process.
    #[snafu(display("the ownership of the failure domain has passed on"))]
    OwnershipLost,
}

/// The result of an operation of the process.
pub type Result<T> = std::result::Result<T, NodeError>;
