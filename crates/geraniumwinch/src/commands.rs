//! Implementations of the commands.

pub(crate) mod apply;
pub(crate) mod cell;
pub(crate) mod check;
pub(crate) mod entry;
pub(crate) mod evacuate;
pub(crate) mod explain;
pub(crate) mod hash_key;
pub(crate) mod jobs;
pub(crate) mod losses;
pub(crate) mod show;
pub(crate) mod status;

use getopts::Matches;
use getopts::Options;

use crate::api_client::read_file;
use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Creates the options of commands that send requests to a server.
pub(crate) fn client_options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "server", "the URL of an entry process", "http://IP:PORT");
    options.optopt(
        "k",
        "key-file",
        "the file that contains the key; by default, GERANIUMWINCH_KEY is read",
        "FILE",
    );
    options.optflag("", "json", "print machine-readable JSON");
    options
}

/// Returns the argument at a position, or a usage error that gives its name.
pub(crate) fn argument<'a>(
    matches: &'a Matches,
    position: usize,
    name: &str,
) -> Result<&'a str> {
    let missing =
        || CliError::Usage { message: format!("{name} is missing; see `--help`") };
    matches.free.get(position).map(String::as_str).ok_or_else(missing)
}

/// Reads the file of the option `--settings` and returns its name and its text.
pub(crate) fn read_settings(matches: &Matches) -> Result<(String, String)> {
    let Some(file) = matches.opt_str("settings") else {
        return Err(CliError::Usage {
            message: "`--settings FILE` is missing".to_owned(),
        });
    };
    let text = read_file(&file)?;
    Ok((file, text))
}
