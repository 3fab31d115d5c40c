//! HTTP client of an entry process.

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

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of an entry process, with the key that authenticates its requests.
#[derive(Debug, Clone)]
pub(crate) struct ApiClient {
    server: String,
    key: Option<String>,
}

/// Response of an entry process.
#[derive(Debug, Clone)]
pub(crate) struct ApiResponse {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Configuration revision in the `ETag` header.
    pub(crate) revision: Option<u64>,
    /// Response body.
    pub(crate) body: String,
}

impl ApiClient {
    /// Creates a client from the options of a command.
    pub(crate) fn new(matches: &Matches) -> Result<ApiClient> {
        let server = matches.opt_str("server");
        let server = server.unwrap_or_else(|| "http://127.0.0.1:8080".to_owned());
        let key = match matches.opt_str("key-file") {
            Some(path) => Some(read_file(&path)?.trim().to_owned()),
            None => std::env::var("GERANIUMWINCH_KEY").ok(),
        };
        Ok(ApiClient { server: server.trim_end_matches('/').to_owned(), key })
    }

    /// Sends a request and returns the response, whatever its status.
    pub(crate) fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<ApiResponse> {
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
            let response = request.send_body(body).await;
            let mut response =
                response.map_err(|error| unreachable(error.to_string()))?;
            let tag =
                response.headers().get("etag").and_then(|value| value.to_str().ok());
            let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| unreachable(error.to_string()))?;
            Ok(ApiResponse {
                status: response.status().as_u16(),
                revision,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        })
    }
}

impl ApiResponse {
    /// Returns the response if its status indicates success, or an error otherwise.
    pub(crate) fn into_result(self) -> Result<ApiResponse> {
        match self.status {
            200..=299 => Ok(self),
            409 if self.body.contains("revision-conflict") => {
                Err(CliError::Conflict { body: self.body })
            }
            status => Err(CliError::Refused { status, body: self.body }),
        }
    }
}

/// Reads a text file.
pub(crate) fn read_file(path: &str) -> Result<String> {
    let path = PathBuf::from(path);
    fs::read_to_string(&path).context(ReadFileSnafu { path: path.clone() })
}
