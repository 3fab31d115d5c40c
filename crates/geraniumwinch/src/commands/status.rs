//! `status`: prints the state of the system.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use awc::http::Method;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::api_client::ApiClient;
use crate::cli_error::Result;
use crate::commands::client_options;

/// Creates the options of the command.
pub(crate) fn options() -> Options {
    client_options()
}

/// Prints the state of all failure domains as tables, or as JSON.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let client = ApiClient::new(matches)?;
    let response =
        client.call(Method::GET, "/v1/status", &[], String::new())?.into_result()?;
    if matches.opt_present("json") {
        println!("{}", response.body);
        return Ok(());
    }
    let status: Value = serde_json::from_str(&response.body).unwrap_or_default();
    println!(
        "process {} in domain {}, revision {}",
        text(&status["process"]),
        text(&status["domain"]),
        status["revision"],
    );
    for domain in status["domains"].as_array().into_iter().flatten() {
        print_domain(domain);
    }
    Ok(())
}

/// Returns the string in a JSON value, or `-`.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Prints the state of one failure domain.
fn print_domain(domain: &Value) {
    let report = &domain["report"];
    println!("\ndomain {}", text(&domain["domain"]));
    print_evacuation(&domain["evacuation"]);
    if report.is_null() {
        println!("  unreachable");
        return;
    }
    let owner = &report["digest"]["owner"];
    println!(
        "  owner {} at {}, epoch {}",
        text(&owner["name"]),
        text(&owner["address"]),
        owner["epoch"]
    );
    println!(
        "  store {}",
        if report["digest"]["store_down"] == true { "unreachable" } else { "reachable" }
    );
    println!(
        "  workers {} (unavailable {}), jobs {}, tasks waiting {} placed {}, slots granted {}",
        report["workers"],
        report["workers_out"],
        report["jobs"],
        report["tasks_waiting"],
        report["tasks_placed"],
        report["grants"],
    );
    println!(
        "  {:<24} {:>8} {:>8} {:>9} {:>8}",
        "team", "weight", "running", "allowance", "share"
    );
    for team in report["teams"].as_array().into_iter().flatten() {
        println!(
            "  {:<24} {:>8} {:>8} {:>9} {:>8.3}",
            text(&team["team"]),
            team["weight"],
            team["running"],
            team["allowance"],
            team["share"].as_f64().unwrap_or(0.0),
        );
    }
    let quarantined = report["quarantined"].as_array().into_iter().flatten();
    let quarantined: Vec<&str> = quarantined.map(text).collect();
    if !quarantined.is_empty() {
        println!("  quarantined workers: {}", quarantined.join(", "));
    }
    println!("  {:<24} {:>8} {:>10}", "process", "revision", "silent ms");
    for member in report["members"].as_array().into_iter().flatten() {
        println!(
            "  {:<24} {:>8} {:>10}",
            text(&member["name"]),
            member["revision"],
            member["silent_ms"]
        );
    }
}

/// Prints since when a domain is evacuated, and what still runs there.
fn print_evacuation(evacuation: &Value) {
    let Some(since_ms) = evacuation["since_ms"].as_u64() else { return };
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let age = Duration::from_millis((now_ms.as_millis() as u64).saturating_sub(since_ms));
    let state = match evacuation["in_force"].as_bool() {
        Some(true) => "in force",
        Some(false) => "not in force yet",
        None => "its dispatcher does not answer",
    };
    println!("  evacuated for {} s, since {since_ms} ms of 1970; {state}", age.as_secs());
    println!("  {}", describe_drain(evacuation));
}

/// Describes the work that is left in a domain.
pub(crate) fn describe_drain(evacuation: &Value) -> String {
    let drain = &evacuation["drain"];
    if drain.is_null() {
        return "it is not known what still runs".to_owned();
    }
    if evacuation["empty"] == true {
        return format!("empty: nothing runs, tasks waiting {}", drain["waiting_tasks"]);
    }
    let unreported = match drain["unreported_requests"] == true {
        true => " and those not reported since the takeover",
        false => "",
    };
    format!(
        "still running: tasks {}, tasks not located since the takeover {}, requests {}{unreported}; \
         tasks waiting {}",
        drain["tasks"],
        drain["unlocated_tasks"],
        drain["requests"],
        drain["waiting_tasks"],
    )
}
