//! `entry`: runs an entry process.

use std::sync::Arc;

use geraniumwinch_config::NodeSettings;
use geraniumwinch_node::run_node;
use getopts::Matches;
use getopts::Options;

use crate::cli_error::Result;
use crate::commands::check::invalid_file;
use crate::commands::read_settings;
use crate::log_setup;

/// Creates the options of commands that run a process.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file of the process", "FILE");
    options
}

/// Runs an entry process until it receives a signal to stop.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let (file, text) = read_settings(matches)?;
    let settings =
        NodeSettings::parse(&file, &text).map_err(|problems| invalid_file(&problems))?;
    log_setup::init(&settings.log_level);
    run_node(settings, Arc::new(geraniumwinch_node::SystemClock))?;
    Ok(())
}
