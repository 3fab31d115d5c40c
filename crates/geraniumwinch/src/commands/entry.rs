//! Runs a process of the system.

use std::sync::Arc;

use geraniumwinch_config::NodeSettings;
use geraniumwinch_node::run_node;
use getopts::Matches;
use getopts::Options;

use crate::cli_error::Result;
use crate::commands::check::invalid;
use crate::commands::settings_file;
use crate::log_setup;

/// Creates the options.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings of the process", "FILE");
    options
}

/// Runs the process until it is told to stop.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let (file, text) = settings_file(matches)?;
    let settings =
        NodeSettings::parse(&file, &text).map_err(|problems| invalid(&problems))?;
    log_setup::init(&settings.log_level);
    run_node(settings, Arc::new(geraniumwinch_node::SystemClock))?;
    Ok(())
}
