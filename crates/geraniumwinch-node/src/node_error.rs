//! Errors of a process and its components.

use std::net::SocketAddr;

use snafu::Snafu;

/// An error of a process or one of its components.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// Listening on the peer address failed.
    #[snafu(display("can't listen for peers on {address}: {source}"))]
    PeerListen {
        /// The address from the settings, which may be in use or not be this VM's.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Listening on the HTTP address failed.
    #[snafu(display("can't listen for clients on {address}: {source}"))]
    HttpListen {
        /// The address from the settings, which may be in use or not be this VM's.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A call to the store timed out or returned an error.
    #[snafu(display("the call to the store failed: {message}"))]
    Store {
        /// What the client or the decoder reported.
        message: String,
    },
    /// A value in the store is invalid.
    #[snafu(display("the store's value at `{key}` is invalid: {message}"))]
    StoredValue {
        /// The key in the store.
        key: String,
        /// What the client or the decoder reported.
        message: String,
    },
    /// A call to a platform service timed out or returned an error.
    #[snafu(display("the call to {service} failed: {message}"))]
    Platform {
        /// The name of the service, for logs.
        service: &'static str,
        /// What the client or the decoder reported.
        message: String,
    },
    /// A peer did not respond in time.
    #[snafu(display("peer {address} did not respond in time"))]
    PeerTimeout {
        /// The address that the call was sent to.
        address: SocketAddr,
    },
    /// The ownership of the failure domain has passed to another process.
    #[snafu(display(
        "the ownership of the failure domain has passed to another process"
    ))]
    OwnershipLost,
}

/// The result of a fallible operation of a process.
pub type Result<T> = std::result::Result<T, NodeError>;
