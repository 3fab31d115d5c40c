//! Encoding and decoding errors.

use snafu::Snafu;

/// An error of encoding or decoding a message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The message does not start with the magic bytes and the version of the protocol.
    #[snafu(display(
        "the message does not start with the header of protocol version {version}"
    ))]
    ProtocolMismatch {
        /// The version that this process supports.
        version: u8,
    },
    /// The message exceeds the size limit.
    #[snafu(display("the message of {bytes} bytes exceeds the limit of {limit} bytes"))]
    Oversized {
        /// The size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The codec can't encode or decode the message.
    #[snafu(display("the message is malformed: {source}"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, WireError>;
