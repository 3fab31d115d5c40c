//! Checks settings or a configuration set.

use geraniumwinch_cell::CellSettings;
use geraniumwinch_config::ConfigProblem;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::NodeSettings;
use getopts::Matches;

use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::client_call::read_file;
use crate::commands::argument;

/// Checks a file; one with a section `[process]` holds settings.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let file = argument(matches, 0, "FILE")?;
    let text = read_file(file)?;
    let has_section = |name: &str| text.lines().any(|line| line.trim() == name);
    if has_section("[workers]") {
        let settings =
            CellSettings::parse(file, &text).map_err(|problems| invalid(&problems))?;
        println!(
            "settings of cell process {} in domain {}",
            settings.name, settings.domain
        );
    } else if has_section("[process]") {
        let settings =
            NodeSettings::parse(file, &text).map_err(|problems| invalid(&problems))?;
        println!("settings of process {} in domain {}", settings.name, settings.domain);
    } else {
        let set = ConfigurationSet::parse(file, &text)
            .map_err(|problems| invalid(&problems))?;
        println!("a configuration set of {} objects", set.len());
    }
    Ok(())
}

/// Creates the error that lists every problem.
pub(crate) fn invalid(problems: &[ConfigProblem]) -> CliError {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    CliError::Invalid { count: problems.len(), lines: lines.join("\n") }
}
