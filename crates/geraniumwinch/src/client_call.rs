//! Calls on an entry process.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use getopts::Matches;
use snafu::ResultExt;

use crate::cli_error::CliError;
use crate::cli_error::ReadFileSnafu;
use crate::cli_error::Result;

/// The time after which a call is given up.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The greatest answer in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// The server and the key of a command.
#[derive(Debug, Clone)]
pub(crate) struct ClientCall {
    server: String,
    key: Option<String>,
}

/// An answer.
#[derive(Debug, Clone)]
pub(crate) struct ClientAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The revision in the `ETag` header.
    pub(crate) revision: Option<u64>,
    /// The body.
    pub(crate) body: String,
}

impl ClientCall {
    /// Reads the server and the key from the options.
    pub(crate) fn new(matches: &Matches) -> Result<ClientCall> {
        let server = matches.opt_str("server");
        let server = server.unwrap_or_else(|| "http://127.0.0.1:8080".to_owned());
        let key = match matches.opt_str("key-file") {
            Some(path) => Some(read_file(&path)?.trim().to_owned()),
            None => std::env::var("GERANIUMWINCH_KEY").ok(),
        };
        Ok(ClientCall { server: server.trim_end_matches('/').to_owned(), key })
    }

    /// Calls the server and returns its answer, whatever the status.
    pub(crate) fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<ClientAnswer> {
        let unreachable = |message: String| CliError::Unreachable {
            server: self.server.clone(),
            message,
        };
        let url = format!("{}{path}", self.server);
        actix_rt::System::new().block_on(async {
            let client = Client::builder().disable_redirects().timeout(TIMEOUT).finish();
            let mut request = client.request(method, url);
            if let Some(key) = &self.key {
                request = request.bearer_auth(key);
            }
            for (name, value) in headers {
                request = request.insert_header((*name, value.as_str()));
            }
            let answer = request.send_body(body).await;
            let mut answer = answer.map_err(|error| unreachable(error.to_string()))?;
            let tag = answer.headers().get("etag").and_then(|value| value.to_str().ok());
            let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
            let body = answer.body().limit(MAX_ANSWER).await;
            let body = body.map_err(|error| unreachable(error.to_string()))?;
            Ok(ClientAnswer {
                status: answer.status().as_u16(),
                revision,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        })
    }
}

impl ClientAnswer {
    /// Returns the answer, or an error if it is a refusal.
    pub(crate) fn accepted(self) -> Result<ClientAnswer> {
        match self.status {
            200..=299 => Ok(self),
            409 if self.body.contains("revision-conflict") => {
                Err(CliError::Conflict { body: self.body })
            }
            status => Err(CliError::Refused { status, body: self.body }),
        }
    }
}

/// Reads a file.
pub(crate) fn read_file(path: &str) -> Result<String> {
    let path = PathBuf::from(path);
    fs::read_to_string(&path).context(ReadFileSnafu { path: path.clone() })
}
