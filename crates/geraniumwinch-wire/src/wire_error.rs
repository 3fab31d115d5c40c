//! Errors of encoding and decoding.

use snafu::Snafu;

/// Why a message can't be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The message does not begin with the protocol's mark and version.
    #[snafu(display("the message is no message of protocol version {version}"))]
    ProtocolMismatch {
        /// The version spoken here.
        version: u8,
    },
    /// The message is larger than the limit.
    #[snafu(display("the message has {bytes} bytes; the limit is {limit}"))]
    Oversized {
        /// The size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The message's content can't be read or written.
    #[snafu(display("the message is malformed: {source}"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, WireError>;
