//! Publishes a configuration set.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::client_call::ClientCall;
use crate::client_call::read_file;
use crate::commands::argument;
use crate::commands::check::invalid;
use crate::commands::client_options;

/// The time for which the command waits until the set is in force everywhere.
const PATIENCE: Duration = Duration::from_secs(6);
/// The time between two looks at the status.
const POLL: Duration = Duration::from_millis(250);

/// Creates the options.
pub(crate) fn options() -> Options {
    let mut options = client_options();
    options.optopt("b", "base", "the revision that the set is based on", "REVISION");
    options
}

/// Publishes a set, prints what it changes, and waits until it is in force.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let file = argument(matches, 0, "FILE")?;
    let text = read_file(file)?;
    let set =
        ConfigurationSet::parse(file, &text).map_err(|problems| invalid(&problems))?;
    let call = ClientCall::new(matches)?;
    let current =
        call.call(Method::GET, "/v1/configuration", &[], String::new())?.accepted()?;
    let base = match matches.opt_str("base") {
        Some(text) => text.parse().map_err(|_| CliError::Usage {
            message: format!("`--base {text}` is no revision"),
        })?,
        None => current.revision.unwrap_or(0),
    };
    print_changes(&current.body, &set);
    let headers = [("If-Match", format!("\"{base}\""))];
    let answer =
        call.call(Method::PUT, "/v1/configuration", &headers, text)?.accepted()?;
    let revision = answer.revision.unwrap_or(base + 1);
    println!("published revision {revision}");
    wait_until_in_force(&call, revision)
}

/// Prints what a set changes.
fn print_changes(current: &str, set: &ConfigurationSet) {
    let Ok(old) = ConfigurationSet::parse("current", current) else { return };
    for change in SetDelta::between(&old, set).changes {
        let sign = match (&change.options, old.get(&change.name)) {
            (None, _) => '-',
            (Some(_), None) => '+',
            (Some(_), Some(_)) => '~',
        };
        println!("{sign} [{}]", change.name);
    }
}

/// Waits until every process that can be seen has the revision, and prints those that lack it.
fn wait_until_in_force(call: &ClientCall, revision: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let answer =
            call.call(Method::GET, "/v1/status", &[], String::new())?.accepted()?;
        let status: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let missing = missing_places(&status, revision);
        if missing.is_empty() {
            println!("in force everywhere after {} ms", started.elapsed().as_millis());
            return Ok(());
        }
        if started.elapsed() > PATIENCE {
            println!("not yet in force: {}", missing.join(", "));
            return Ok(());
        }
        thread::sleep(POLL);
    }
}

/// Returns the domains and processes in which a revision is not in force.
fn missing_places(status: &Value, revision: u64) -> Vec<String> {
    let mut missing = Vec::new();
    let behind = |value: &Value| value.as_u64().unwrap_or(0) < revision;
    for domain in status["domains"].as_array().into_iter().flatten() {
        let name = domain["domain"].as_str().unwrap_or_default();
        let report = &domain["report"];
        if report.is_null() {
            missing.push(format!("{name} (not reached)"));
            continue;
        }
        if behind(&report["digest"]["revision"]) {
            missing.push(name.to_owned());
        }
        for member in report["members"].as_array().into_iter().flatten() {
            if behind(&member["revision"]) {
                missing.push(member["name"].as_str().unwrap_or_default().to_owned());
            }
        }
    }
    missing
}
