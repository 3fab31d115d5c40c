//! Gathers the log lines of a job from the logs of all processes.

use getopts::Matches;

use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::client_call::read_file;
use crate::commands::argument;

/// What the time of a line follows.
const TIME: &str = "time=";

/// Prints the lines that name a job in the order of time, each behind its file's name.
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
        let named = text.lines().filter(|line| line.contains(id));
        lines.extend(
            named.map(|line| (line_time(line).to_owned(), file, line.to_owned())),
        );
    }
    lines.sort();
    for (_, file, line) in lines {
        println!("{file}: {line}");
    }
    Ok(())
}

/// Returns the time of a line, whose text sorts like the time.
fn line_time(line: &str) -> &str {
    let begin = line.find(TIME).map_or(0, |begin| begin + TIME.len());
    line[begin..].split(' ').next().unwrap_or_default()
}
