//! Runs a process of a cell on the platform.

use std::path::PathBuf;

use geraniumwinch_cell::CellSettings;
use geraniumwinch_platform::run_process;
use getopts::Matches;

use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::client_call::read_file;
use crate::commands::check::invalid;
use crate::log_setup;

/// Runs the process until it is told to stop.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let Some(file) = matches.opt_str("settings") else {
        return Err(CliError::Usage {
            message: "`--settings FILE` is missing".to_owned(),
        });
    };
    let text = read_file(&file)?;
    let settings =
        CellSettings::parse(&file, &text).map_err(|problems| invalid(&problems))?;
    log_setup::init(&settings.log_level);
    run_process(settings, PathBuf::from(file))?;
    Ok(())
}
