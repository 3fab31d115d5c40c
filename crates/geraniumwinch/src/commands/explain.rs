//! `explain`: collects the log lines about a job from the logs of all processes.

use getopts::Matches;

use crate::api_client::read_file;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::argument;

/// Key of the time in a log line.
const TIME_KEY: &str = "time=";

/// Prints the lines that contain a job's identifier in chronological order, each prefixed with the
/// name of its file.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let id = argument(matches, 0, "ID")?;
    let files = &matches.free[1..];
    if files.is_empty() {
        let message = "LOGFILE is missing; see `--help`".to_owned();
        return Err(CliError::Usage { message });
    }
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        let matching = text.lines().filter(|line| line.contains(id));
        lines.extend(
            matching.map(|line| (line_time(line).to_owned(), file, line.to_owned())),
        );
    }
    lines.sort();
    for (_, file, line) in lines {
        println!("{file}: {line}");
    }
    Ok(())
}

/// Returns the time of a line as text, whose lexical order is chronological.
fn line_time(line: &str) -> &str {
    let start = line.find(TIME_KEY).map_or(0, |start| start + TIME_KEY.len());
    line[start..].split(' ').next().unwrap_or_default()
}
