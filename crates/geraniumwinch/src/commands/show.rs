//! `show`: prints the configuration in force.

use awc::http::Method;
use getopts::Matches;

use crate::api_client::ApiClient;
use crate::cli_error::Result;

/// Prints the configuration in force, preceded by a comment with its revision.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let client = ApiClient::new(matches)?;
    let response = client
        .call(Method::GET, "/v1/configuration", &[], String::new())?
        .into_result()?;
    println!("; revision {}", response.revision.unwrap_or(0));
    print!("{}", response.body);
    Ok(())
}
