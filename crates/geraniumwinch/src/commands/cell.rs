//! `cell`: runs a cell process on the users' platform.

use std::path::PathBuf;

use geraniumwinch_cell::CellSettings;
use geraniumwinch_platform::run_cell;
use getopts::Matches;

use crate::cli_error::Result;
use crate::commands::check::invalid_file;
use crate::commands::read_settings;
use crate::log_setup;

/// Runs a cell process until it receives a signal to stop.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let (file, text) = read_settings(matches)?;
    let settings =
        CellSettings::parse(&file, &text).map_err(|problems| invalid_file(&problems))?;
    log_setup::init(&settings.log_level);
    run_cell(settings, PathBuf::from(file))?;
    Ok(())
}
