//! `hash-key`: hashes a key.

use std::io;
use std::path::PathBuf;

use geraniumwinch_config::KeyHash;
use getopts::Matches;
use snafu::ResultExt;

use crate::cli_error::CliError;
use crate::cli_error::ReadFileSnafu;
use crate::cli_error::Result;

/// Reads a key from standard input and prints its hash. The key is not an argument, since process
/// listings show arguments.
pub(crate) fn run(_: &Matches) -> Result<()> {
    let path = PathBuf::from("standard input");
    let key = io::read_to_string(io::stdin()).context(ReadFileSnafu { path })?;
    let key = key.trim();
    if key.is_empty() {
        return Err(CliError::Usage { message: "the key is empty".to_owned() });
    }
    println!("{}", KeyHash::of(key).to_hex());
    Ok(())
}
