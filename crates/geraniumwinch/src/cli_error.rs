//! Errors of the command line and their exit codes.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// Settings or a set have errors.
    #[snafu(display("{count} problems\n{lines}"))]
    Invalid {
        /// The number of problems.
        count: usize,
        /// The problems, one a line.
        lines: String,
    },
    /// The process can't go on.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// The process's error.
        source: geraniumwinch_node::NodeError,
    },
    /// The process of a cell can't go on.
    #[snafu(display("{source}"), context(false))]
    Cell {
        /// The process's error.
        source: geraniumwinch_cell::CellError,
    },
    /// The server can't be reached.
    #[snafu(display(
        "can't reach {server}: {message}; hint: name an entry process by `--server`"
    ))]
    Unreachable {
        /// The server.
        server: String,
        /// The particulars.
        message: String,
    },
    /// The server refused the call.
    #[snafu(display("refused with status {status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// Another operator has published first.
    #[snafu(display("{body}"))]
    Conflict {
        /// The body.
        body: String,
    },
}

impl CliError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CliError::Node { .. } | CliError::Cell { .. } | CliError::Refused { .. } => 1,
            CliError::Usage { .. }
            | CliError::ReadFile { .. }
            | CliError::Invalid { .. } => 2,
            CliError::Unreachable { .. } => 3,
            CliError::Conflict { .. } => 4,
        }
    }
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, CliError>;
