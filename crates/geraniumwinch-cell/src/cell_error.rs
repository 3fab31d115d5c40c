//! Errors of a cell's processes.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a call brought no answer.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection was opened, so that nothing was sent.
    #[snafu(display("not connected: {message}"))]
    NotSent {
        /// The particulars.
        message: String,
    },
    /// The request was sent and may have been carried out, or may be later.
    #[snafu(display("no answer: {message}"))]
    NoResponse {
        /// The particulars.
        message: String,
    },
    /// The service has refused and done nothing.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be read.
    #[snafu(display("the answer can't be read: {message}"))]
    Malformed {
        /// The particulars.
        message: String,
    },
}

impl CallError {
    /// Returns whether the call has certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallError::NotSent { .. } | CallError::Refused { .. })
    }
}

/// Why a process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CellError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings can't be read again.
    #[snafu(display("can't read the settings again: {message}"))]
    Reload {
        /// The particulars.
        message: String,
    },
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;
