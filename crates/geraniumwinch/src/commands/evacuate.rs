//! `evacuate`: requests that nothing more starts in a failure domain, or takes that back.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::api_client::ApiClient;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::argument;
use crate::commands::client_options;
use crate::commands::status::describe_drain;

/// Maximum time that the command waits for the domain's dispatcher to know the request.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between requests of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Creates the options of the command.
pub(crate) fn options() -> Options {
    let mut options = client_options();
    options.optflag("", "take-back", "let tasks and requests start in the domain again");
    options.optflag(
        "",
        "last",
        "evacuate the last domain that is left, so nothing starts",
    );
    options
}

/// Stores the request, and waits until it is in force in the domain.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let domain = argument(matches, 0, "DOMAIN")?;
    let (takes_back, last) =
        (matches.opt_present("take-back"), matches.opt_present("last"));
    if takes_back && last {
        let message = "`--last` and `--take-back` exclude each other".to_owned();
        return Err(CliError::Usage { message });
    }
    let client = ApiClient::new(matches)?;
    let path = format!("/v1/domains/{domain}/evacuation");
    let (method, path) = match takes_back {
        true => (Method::DELETE, path),
        false => (Method::PUT, format!("{path}?last={last}")),
    };
    let response = client.call(method, &path, &[], String::new())?.into_result()?;
    if matches.opt_present("json") {
        println!("{}", response.body);
        return Ok(());
    }
    let stored: Value = serde_json::from_str(&response.body).unwrap_or_default();
    let state = if takes_back { "not evacuated" } else { "evacuated" };
    println!("domain {domain} is {state} in revision {}", stored["revision"]);
    wait_until_in_force(&client, domain, stored["revision"].as_u64().unwrap_or(0))
}

/// Waits until a revision is in force in a domain, and prints what still runs there.
fn wait_until_in_force(client: &ApiClient, domain: &str, revision: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let response =
            client.call(Method::GET, "/v1/status", &[], String::new())?.into_result()?;
        let status: Value = serde_json::from_str(&response.body).unwrap_or_default();
        let rows = status["domains"].as_array().into_iter().flatten();
        let row = rows.into_iter().find(|row| row["domain"] == domain);
        let evacuation = row.map(|row| &row["evacuation"]).unwrap_or(&Value::Null);
        if evacuation["revision"].as_u64().is_some_and(|known| known >= revision) {
            println!("in force after {} ms", started.elapsed().as_millis());
            println!("{}", describe_drain(evacuation));
            return Ok(());
        }
        if started.elapsed() > IN_FORCE_TIMEOUT {
            println!("not yet in force: the domain's dispatcher has not confirmed it");
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
}
