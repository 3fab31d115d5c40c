//! Errors of cell processes.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a call has not returned a usable response.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection was opened, so nothing was sent.
    #[snafu(display("request not sent: {message}"))]
    NotSent {
        /// The error message.
        message: String,
    },
    /// The request was sent, but no complete response arrived. It may have been executed, or may be
    /// executed later.
    #[snafu(display("no response: {message}"))]
    NoResponse {
        /// The error message.
        message: String,
    },
    /// The service refused the request without executing it.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// The response or a stored value can't be decoded.
    #[snafu(display("malformed data: {message}"))]
    Malformed {
        /// The error message.
        message: String,
    },
}

impl CallError {
    /// Returns whether the call is certain to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallError::NotSent { .. } | CallError::Refused { .. })
    }
}

/// Why a process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CellError {
    /// An address can't be listened on.
    #[snafu(display("failed to listen on {address}: {source}"))]
    Listen {
        /// The address from the settings, which may be in use or not be this VM's.
        address: SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// Signal handlers can't be installed.
    #[snafu(display("failed to install signal handlers: {source}"))]
    Signals {
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The settings can't be reloaded.
    #[snafu(display("failed to reload the settings: {message}"))]
    Reload {
        /// The error message.
        message: String,
    },
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;
