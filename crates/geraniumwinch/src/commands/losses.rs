//! `losses`: counts by cause the jobs that were late, refused or not done, from the logs of all processes.

use std::collections::BTreeMap;

use getopts::Matches;

use crate::api_client::read_file;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::job_history::JobHistory;
use crate::log_line::LogLine;

/// Prints a table of the jobs of each queue by how they ended and, where they were late, by what delayed
/// them the most.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let files = &matches.free;
    if files.is_empty() {
        let message = "LOGFILE is missing; see `--help`".to_owned();
        return Err(CliError::Usage { message });
    }
    let mut jobs: BTreeMap<String, JobHistory> = BTreeMap::new();
    for file in files {
        let text = read_file(file)?;
        for line in text.lines().filter_map(LogLine::parse) {
            if let Some(job) = line.job() {
                jobs.entry(job.to_owned()).or_default().add(&line);
            }
        }
    }
    let mut queues: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for job in jobs.values() {
        if let Some(queue) = &job.queue {
            let causes = queues.entry(queue.clone()).or_default();
            *causes.entry(job.cause()).or_default() += 1;
        }
    }
    for (queue, causes) in queues {
        print_queue(&queue, causes);
    }
    Ok(())
}

/// Prints the rows of a queue, the most frequent first.
fn print_queue(queue: &str, causes: BTreeMap<String, usize>) {
    let all: usize = causes.values().sum();
    println!("{queue}: {all} jobs");
    let mut rows: Vec<(String, usize)> = causes.into_iter().collect();
    rows.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), cause.clone()));
    for (cause, count) in rows {
        println!("  {cause:<32} {count:>6} {:>6.3}", count as f64 / all as f64);
    }
}
