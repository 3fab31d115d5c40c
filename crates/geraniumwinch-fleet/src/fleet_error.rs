//! Errors of encoding and decoding job records.

use snafu::Snafu;

/// An error of encoding or decoding a job record.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// The record could not be encoded.
    #[snafu(display("failed to encode a job record: {source}"))]
    Encode {
        /// The underlying postcard error.
        source: postcard::Error,
    },
    /// The bytes are not a valid job record.
    #[snafu(display("failed to decode a job record: {source}"))]
    Decode {
        /// The underlying postcard error.
        source: postcard::Error,
    },
    /// The record has a format number that this version does not support.
    #[snafu(display("job record has unsupported format {format}"))]
    Format {
        /// The format number; 0 if the record is empty.
        format: u8,
    },
}

/// The result of encoding or decoding a job record.
pub type Result<T> = std::result::Result<T, FleetError>;
