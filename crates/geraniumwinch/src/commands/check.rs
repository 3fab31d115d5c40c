//! `check`: validates settings or a configuration set.

use geraniumwinch_cell::CellSettings;
use geraniumwinch_config::ConfigProblem;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::NodeSettings;
use getopts::Matches;

use crate::api_client::read_file;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::argument;

/// Validates a file: with a section `[vm]` as settings of a cell process, with a section
/// `[process]` as settings of an entry process, and otherwise as a configuration set.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let file = argument(matches, 0, "FILE")?;
    let text = read_file(file)?;
    let has_section = |name: &str| text.lines().any(|line| line.trim() == name);
    if has_section("[vm]") {
        let settings = CellSettings::parse(file, &text)
            .map_err(|problems| invalid_file(&problems))?;
        println!(
            "settings of cell process {} in domain {}",
            settings.name, settings.domain
        );
    } else if has_section("[process]") {
        let settings = NodeSettings::parse(file, &text)
            .map_err(|problems| invalid_file(&problems))?;
        println!("settings of process {} in domain {}", settings.name, settings.domain);
    } else {
        let set = ConfigurationSet::parse(file, &text)
            .map_err(|problems| invalid_file(&problems))?;
        println!("a configuration set of {} objects", set.len());
    }
    Ok(())
}

/// Creates the error that lists all problems of a file.
pub(crate) fn invalid_file(problems: &[ConfigProblem]) -> CliError {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    CliError::Invalid { count: problems.len(), lines: lines.join("\n") }
}
