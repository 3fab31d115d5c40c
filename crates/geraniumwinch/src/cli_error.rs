//! Errors of commands and their exit codes.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The command line is invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// Description of the problem.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Settings or a configuration set are invalid.
    #[snafu(display("{count} problems\n{lines}"))]
    Invalid {
        /// The number of problems.
        count: usize,
        /// The problems, one per line.
        lines: String,
    },
    /// An entry process failed.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// The process's error.
        source: geraniumwinch_node::NodeError,
    },
    /// A cell process failed.
    #[snafu(display("{source}"), context(false))]
    Cell {
        /// The process's error.
        source: geraniumwinch_cell::CellError,
    },
    /// The server is unreachable.
    #[snafu(display(
        "can't reach {server}: {message}; hint: specify an entry process with `--server`"
    ))]
    Unreachable {
        /// URL of the server.
        server: String,
        /// Error of the connection.
        message: String,
    },
    /// The server refused the request.
    #[snafu(display("refused with status {status}: {body}"))]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: String,
    },
    /// Another operator published a newer revision first.
    #[snafu(display("{body}"))]
    Conflict {
        /// Response body.
        body: String,
    },
}

impl CliError {
    /// Returns the exit code of the program.
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

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, CliError>;
