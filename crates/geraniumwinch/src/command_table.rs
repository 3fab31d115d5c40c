//! Table of the commands.

use getopts::Matches;
use getopts::Options;

use crate::cli_error::Result;
use crate::commands;

/// A command of the program.
pub(crate) struct CliCommand {
    /// Name of the command.
    pub(crate) name: &'static str,
    /// Arguments after the options.
    pub(crate) arguments: &'static str,
    /// Description of the command.
    pub(crate) doc: &'static str,
    /// Creates the command's options.
    pub(crate) options: fn() -> Options,
    /// Runs the command.
    pub(crate) run: fn(&Matches) -> Result<()>,
}

/// All commands, in the order of the overview.
pub(crate) const COMMANDS: &[CliCommand] = &[
    CliCommand {
        name: "entry",
        arguments: "--settings FILE",
        doc: "Run an entry process until it receives a signal to stop.",
        options: commands::entry::options,
        run: commands::entry::run,
    },
    CliCommand {
        name: "cell",
        arguments: "--settings FILE",
        doc: "Run a cell process on the users' platform until it receives a signal to stop.",
        options: commands::entry::options,
        run: commands::cell::run,
    },
    CliCommand {
        name: "explain",
        arguments: "ID LOGFILE...",
        doc: "Print the log lines of all processes about a job, in chronological order.",
        options: Options::new,
        run: commands::explain::run,
    },
    CliCommand {
        name: "losses",
        arguments: "LOGFILE...",
        doc: "Count by cause the jobs that were late, refused or not done, from the logs of all processes.",
        options: Options::new,
        run: commands::losses::run,
    },
    CliCommand {
        name: "check",
        arguments: "FILE",
        doc: "Validate settings or a configuration set, offline.",
        options: Options::new,
        run: commands::check::run,
    },
    CliCommand {
        name: "apply",
        arguments: "FILE",
        doc: "Publish a configuration set and wait until it is in force.",
        options: commands::apply::options,
        run: commands::apply::run,
    },
    CliCommand {
        name: "show",
        arguments: "",
        doc: "Print the configuration in force.",
        options: commands::client_options,
        run: commands::show::run,
    },
    CliCommand {
        name: "submit",
        arguments: "QUEUE FILE",
        doc: "Submit a job that a JSON file describes.",
        options: commands::client_options,
        run: commands::jobs::submit,
    },
    CliCommand {
        name: "job",
        arguments: "JOB",
        doc: "Print the state of a job and what it waits for.",
        options: commands::client_options,
        run: commands::jobs::query,
    },
    CliCommand {
        name: "cancel",
        arguments: "JOB",
        doc: "Cancel a job.",
        options: commands::client_options,
        run: commands::jobs::cancel,
    },
    CliCommand {
        name: "status",
        arguments: "",
        doc: "Print the failure domains with their owners, teams and processes.",
        options: commands::status::options,
        run: commands::status::run,
    },
    CliCommand {
        name: "evacuate",
        arguments: "DOMAIN",
        doc: "Let nothing more start in a failure domain, or take that back.",
        options: commands::evacuate::options,
        run: commands::evacuate::run,
    },
    CliCommand {
        name: "hash-key",
        arguments: "",
        doc: "Read a key from standard input and print its SHA-256 hash.",
        options: Options::new,
        run: commands::hash_key::run,
    },
];

impl CliCommand {
    /// Returns the usage line and the description, which start the command's help.
    pub(crate) fn brief(&self) -> String {
        let arguments = self.arguments;
        format!(
            "Usage: geraniumwinch {} [OPTIONS] {arguments}\n\n{}",
            self.name, self.doc
        )
    }
}

/// Returns the usage overview of all commands.
pub(crate) fn overview() -> String {
    let mut text = String::from("Usage: geraniumwinch COMMAND [OPTIONS]\n\nCommands:\n");
    for command in COMMANDS {
        let usage = format!("{} {}", command.name, command.arguments);
        text.push_str(&format!("  {usage:<24} {}\n", command.doc));
    }
    text.push_str(
        "\nEach command has `--help`. Exit codes: 0 success, 1 refused or failed, ",
    );
    text.push_str(
        "2 invalid usage, settings or set, 3 server unreachable, 4 conflict.\n",
    );
    text
}
