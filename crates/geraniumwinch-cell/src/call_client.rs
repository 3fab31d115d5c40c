//! The HTTP client of a cell process.

use std::cell::Cell;
use std::rc::Rc;
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
use crate::tracked_body::TrackedBody;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum age of a connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(600);
/// The maximum size of a response body in bytes, unless the caller expects less.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The HTTP method.
    pub method: Method,
    /// The URL.
    pub url: String,
    /// Headers other than those that describe the body.
    pub headers: Vec<(&'static str, String)>,
    /// The content type of the body; empty if there is none.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
    /// The timeout for the complete response.
    pub timeout: Duration,
    /// The maximum size of the response's body in bytes.
    pub max_response: usize,
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// An HTTP client that sends each request once, without retries or redirects.
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
            .conn_lifetime(MAX_CONNECTION_AGE)
            .limit(0);
        let builder = Client::builder().connector(connector).disable_redirects();
        CallClient { client: builder.disable_timeout().finish() }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the response does not arrive within the timeout or is truncated. The error tells
    /// whether the request was sent.
    pub async fn call(&self, request: CallRequest) -> Result<CallResponse> {
        let timeout = request.timeout;
        let (body, _) = TrackedBody::new(request.body.clone());
        let result = tokio::time::timeout(timeout, self.exchange(request, body)).await;
        result.unwrap_or_else(|_| Err(timeout_error(timeout)))
    }

    /// Sends a request and reads the complete response, unless `abandoned` completes before.
    ///
    /// # Errors
    ///
    /// Fails like [`call`](Self::call). An abandoned request counts as not sent if no connection had
    /// taken its body.
    pub async fn call_until(
        &self,
        request: CallRequest,
        abandoned: impl Future<Output = ()>,
    ) -> Result<CallResponse> {
        let timeout = request.timeout;
        let (body, taken) = TrackedBody::new(request.body.clone());
        let call = tokio::time::timeout(timeout, self.exchange(request, body));
        tokio::select! {
            result = call => result.unwrap_or_else(|_| Err(timeout_error(timeout))),
            () = abandoned => Err(abandonment_error(&taken)),
        }
    }

    /// Sends a request and reads the complete response without a timeout.
    async fn exchange(
        &self,
        request: CallRequest,
        body: TrackedBody,
    ) -> Result<CallResponse> {
        let max_response = request.max_response;
        let mut call = self.client.request(request.method, request.url);
        for (name, value) in request.headers {
            call = call.insert_header((name, value));
        }
        if !request.content_type.is_empty() {
            call = call.content_type(request.content_type);
        }
        let mut response = call.send_body(body).await.map_err(classify)?;
        let status = response.status().as_u16();
        let length = response.headers().get(CONTENT_LENGTH);
        let length =
            length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let body = response.body().limit(max_response).await;
        let body =
            body.map_err(|error| CallError::NoResponse { message: error.to_string() })?;
        if length.is_some_and(|length| body.len() < length) {
            return Err(CallError::NoResponse { message: "truncated".to_owned() });
        }
        Ok(CallResponse { status, body })
    }
}

/// Returns the error of a call whose response did not arrive in time.
fn timeout_error(timeout: Duration) -> CallError {
    CallError::NoResponse {
        message: format!("timed out after {} ms", timeout.as_millis()),
    }
}

/// Returns the error of a call that was abandoned; `taken` tells whether its body was sent.
fn abandonment_error(taken: &Rc<Cell<bool>>) -> CallError {
    let message = "abandoned".to_owned();
    if taken.get() {
        CallError::NoResponse { message }
    } else {
        CallError::NotSent { message }
    }
}

/// Converts a send error and classifies whether the request was sent.
fn classify(error: SendRequestError) -> CallError {
    let message = error.to_string();
    match error {
        // `awc` reports `Disconnected` also for connections that close after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::NoResponse { message }
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            CallError::NotSent { message }
        }
        _ => CallError::NoResponse { message },
    }
}
