//! `apply`: publishes a configuration set.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::api_client::ApiClient;
use crate::api_client::read_file;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::argument;
use crate::commands::check::invalid_file;
use crate::commands::client_options;

/// Maximum time that the command waits for the set to be in force in every process.
const APPLY_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between requests of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Creates the options of the command.
pub(crate) fn options() -> Options {
    let mut options = client_options();
    options.optopt("b", "base", "the revision that the set is based on", "REVISION");
    options
}

/// Publishes a set, prints its changes, and waits until it is in force.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let file = argument(matches, 0, "FILE")?;
    let text = read_file(file)?;
    let set = ConfigurationSet::parse(file, &text)
        .map_err(|problems| invalid_file(&problems))?;
    let client = ApiClient::new(matches)?;
    let current = client
        .call(Method::GET, "/v1/configuration", &[], String::new())?
        .into_result()?;
    let base = match matches.opt_str("base") {
        Some(text) => text.parse().map_err(|_| CliError::Usage {
            message: format!("`--base {text}` is not a revision"),
        })?,
        None => current.revision.unwrap_or(0),
    };
    print_changes(&current.body, &set);
    let headers = [("If-Match", format!("\"{base}\""))];
    let response =
        client.call(Method::PUT, "/v1/configuration", &headers, text)?.into_result()?;
    let revision = response.revision.unwrap_or(base + 1);
    println!("published revision {revision}");
    wait_until_in_force(&client, revision)
}

/// Prints the objects that a set adds, changes or removes.
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

/// Waits until a revision is in force in every listed process. After the timeout, prints the
/// domains and processes where it is not.
fn wait_until_in_force(client: &ApiClient, revision: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let response =
            client.call(Method::GET, "/v1/status", &[], String::new())?.into_result()?;
        let status: Value = serde_json::from_str(&response.body).unwrap_or_default();
        let lagging = find_lagging(&status, revision);
        if lagging.is_empty() {
            println!("in force everywhere after {} ms", started.elapsed().as_millis());
            return Ok(());
        }
        if started.elapsed() > APPLY_TIMEOUT {
            println!("not yet in force: {}", lagging.join(", "));
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the names of the domains and processes where a revision is not in force yet.
fn find_lagging(status: &Value, revision: u64) -> Vec<String> {
    let mut lagging = Vec::new();
    let behind = |value: &Value| value.as_u64().unwrap_or(0) < revision;
    for domain in status["domains"].as_array().into_iter().flatten() {
        let name = domain["domain"].as_str().unwrap_or_default();
        let report = &domain["report"];
        if report.is_null() {
            lagging.push(format!("{name} (unreachable)"));
            continue;
        }
        if behind(&report["digest"]["revision"]) {
            lagging.push(name.to_owned());
        }
        for member in report["members"].as_array().into_iter().flatten() {
            if behind(&member["revision"]) {
                lagging.push(member["name"].as_str().unwrap_or_default().to_owned());
            }
        }
    }
    lagging
}
