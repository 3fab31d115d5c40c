//! `submit`, `job` and `cancel`: submit, show and cancel jobs.

use awc::http::Method;
use getopts::Matches;

use crate::api_client::ApiClient;
use crate::api_client::read_file;
use crate::cli_error::Result;
use crate::commands::argument;

/// Submits a job and prints its identifier.
pub(crate) fn submit(matches: &Matches) -> Result<()> {
    let queue = argument(matches, 0, "QUEUE")?;
    let body = read_file(argument(matches, 1, "FILE")?)?;
    let client = ApiClient::new(matches)?;
    let path = format!("/v1/queues/{queue}/jobs");
    let response = client.call(Method::POST, &path, &[], body)?.into_result()?;
    println!("{}", response.body);
    Ok(())
}

/// Prints the state of a job.
pub(crate) fn query(matches: &Matches) -> Result<()> {
    request_job(matches, Method::GET)
}

/// Cancels a job.
pub(crate) fn cancel(matches: &Matches) -> Result<()> {
    request_job(matches, Method::DELETE)
}

/// Sends a request about a job and prints the response.
fn request_job(matches: &Matches, method: Method) -> Result<()> {
    let job = argument(matches, 0, "JOB")?;
    let client = ApiClient::new(matches)?;
    let path = format!("/v1/jobs/{job}");
    let response = client.call(method, &path, &[], String::new())?.into_result()?;
    println!("{}", response.body);
    Ok(())
}
