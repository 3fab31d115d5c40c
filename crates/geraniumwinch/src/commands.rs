//! The commands.

pub(crate) mod apply;
pub(crate) mod cell;
pub(crate) mod check;
pub(crate) mod entry;
pub(crate) mod explain;
pub(crate) mod hash_key;
pub(crate) mod jobs;
pub(crate) mod show;
pub(crate) mod status;

use getopts::Matches;
use getopts::Options;

use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::client_call::read_file;

/// Creates the options of commands that call a server.
pub(crate) fn client_options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "server", "the URL of an entry process", "http://IP:PORT");
    options.optopt(
        "k",
        "key-file",
        "the file that holds the key; else the variable GERANIUMWINCH_KEY",
        "FILE",
    );
    options.optflag("", "json", "print JSON for programs");
    options
}

/// Returns the argument at a position.
pub(crate) fn argument<'a>(
    matches: &'a Matches,
    position: usize,
    name: &str,
) -> Result<&'a str> {
    let missing =
        || CliError::Usage { message: format!("{name} is missing; see `--help`") };
    matches.free.get(position).map(String::as_str).ok_or_else(missing)
}

/// Returns the file that `--settings` names, with its text.
pub(crate) fn settings_file(matches: &Matches) -> Result<(String, String)> {
    let Some(file) = matches.opt_str("settings") else {
        return Err(CliError::Usage {
            message: "`--settings FILE` is missing".to_owned(),
        });
    };
    let text = read_file(&file)?;
    Ok((file, text))
}
