//! Runs a process of a cell on the platform.

use std::path::PathBuf;

use geraniumwinch_cell::CellSettings;
use geraniumwinch_platform::run_cell;
use getopts::Matches;

use crate::cli_error::Result;
use crate::commands::check::invalid;
use crate::commands::settings_file;
use crate::log_setup;

/// Runs the process until it is told to stop.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let (file, text) = settings_file(matches)?;
    let settings =
        CellSettings::parse(&file, &text).map_err(|problems| invalid(&problems))?;
    log_setup::init(&settings.log_level);
    run_cell(settings, PathBuf::from(file))?;
    Ok(())
}
