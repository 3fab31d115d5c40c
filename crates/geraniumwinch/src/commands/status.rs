//! `status`: prints the state of the system.

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
