//! Submits, shows and cancels jobs.

use awc::http::Method;
use getopts::Matches;

use crate::cli_error::Result;
use crate::client_call::ClientCall;
use crate::client_call::read_file;
use crate::commands::argument;

/// Submits a job and prints its identifier.
pub(crate) fn submit(matches: &Matches) -> Result<()> {
    let queue = argument(matches, 0, "QUEUE")?;
    let body = read_file(argument(matches, 1, "FILE")?)?;
    let call = ClientCall::new(matches)?;
    let path = format!("/v1/queues/{queue}/jobs");
    let answer = call.call(Method::POST, &path, &[], body)?.accepted()?;
    println!("{}", answer.body);
    Ok(())
}

/// Prints the state of a job.
pub(crate) fn query(matches: &Matches) -> Result<()> {
    call_job(matches, Method::GET)
}

/// Cancels a job.
pub(crate) fn cancel(matches: &Matches) -> Result<()> {
    call_job(matches, Method::DELETE)
}

/// Makes a call about a job and prints the answer.
fn call_job(matches: &Matches, method: Method) -> Result<()> {
    let job = argument(matches, 0, "JOB")?;
    let call = ClientCall::new(matches)?;
    let path = format!("/v1/jobs/{job}");
    let answer = call.call(method, &path, &[], String::new())?.accepted()?;
    println!("{}", answer.body);
    Ok(())
}
