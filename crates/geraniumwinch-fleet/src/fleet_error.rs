//! Errors of records.

use snafu::Snafu;

/// Why a record can't be written or read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// The record can't be encoded.
    #[snafu(display("the record of a job can't be encoded: {source}"))]
    Encode {
        /// The library's error.
        source: postcard::Error,
    },
    /// The bytes are no record of a job.
    #[snafu(display("the record of a job can't be read: {source}"))]
    Decode {
        /// The library's error.
        source: postcard::Error,
    },
    /// The record was written in a format that this version doesn't know.
    #[snafu(display("the record of a job has the unknown format {format}"))]
    Format {
        /// The number of the format.
        format: u8,
    },
}

/// The result of writing or reading a record.
pub type Result<T> = std::result::Result<T, FleetError>;
