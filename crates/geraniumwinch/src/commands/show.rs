//! Prints the configuration in force.

use awc::http::Method;
use getopts::Matches;

use crate::cli_error::Result;
use crate::client_call::ClientCall;

/// Prints the configuration in force, with its revision in a comment.
pub(crate) fn run(matches: &Matches) -> Result<()> {
    let call = ClientCall::new(matches)?;
    let answer =
        call.call(Method::GET, "/v1/configuration", &[], String::new())?.accepted()?;
    println!("; revision {}", answer.revision.unwrap_or(0));
    print!("{}", answer.body);
    Ok(())
}
