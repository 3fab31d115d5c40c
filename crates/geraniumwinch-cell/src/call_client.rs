//! The HTTP client of a cell's processes.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::header::CONTENT_LENGTH;
use bytes::Bytes;

use crate::CallError;
use crate::Result;

/// The longest time in which a connection opens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest age of a connection.
const MAX_AGE: Duration = Duration::from_secs(600);
/// The greatest answer in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A request.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The URL.
    pub url: String,
    /// Headers beside those of the body.
    pub headers: Vec<(&'static str, String)>,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
    /// The longest time until the whole answer is there.
    pub timeout: Duration,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// A client that sends each request once: it follows no redirects and repeats nothing.
#[derive(Clone)]
pub struct CallClient {
    client: Client,
}

impl Default for CallClient {
    fn default() -> Self {
        CallClient::new()
    }
}

impl CallClient {
    /// Creates a client.
    pub fn new() -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIMEOUT)
            .conn_lifetime(MAX_AGE)
            .limit(0);
        let builder = Client::builder().connector(connector).disable_redirects();
        CallClient { client: builder.disable_timeout().finish() }
    }

    /// Sends a request and awaits the whole answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request was sent when there is no answer in time.
    pub async fn call(&self, request: CallRequest) -> Result<CallResponse> {
        let timeout = request.timeout;
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => {
                let message = format!("none within {} ms", timeout.as_millis());
                Err(CallError::NoResponse { message })
            }
        }
    }

    /// Sends a request and awaits the whole answer without a limit of time.
    async fn exchange(&self, request: CallRequest) -> Result<CallResponse> {
        let mut call = self.client.request(request.method, request.url);
        for (name, value) in request.headers {
            call = call.insert_header((name, value));
        }
        if !request.content_type.is_empty() {
            call = call.content_type(request.content_type);
        }
        let mut answer = call.send_body(request.body).await.map_err(classify)?;
        let status = answer.status().as_u16();
        let length = answer.headers().get(CONTENT_LENGTH);
        let length =
            length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let body = answer.body().limit(MAX_ANSWER).await;
        let body =
            body.map_err(|error| CallError::NoResponse { message: error.to_string() })?;
        if length.is_some_and(|length| body.len() < length) {
            return Err(CallError::NoResponse { message: "truncated".to_owned() });
        }
        Ok(CallResponse { status, body })
    }
}

/// Tells whether a request was sent before its call failed.
fn classify(error: SendRequestError) -> CallError {
    let message = error.to_string();
    match error {
        // The library says so also of a connection that ends after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::NoResponse { message }
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            CallError::NotSent { message }
        }
        _ => CallError::NoResponse { message },
    }
}
