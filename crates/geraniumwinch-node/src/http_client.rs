//! The HTTP client towards the platform.

use std::net::IpAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::StatusCode;
use awc::http::header;
use serde_json::Value;

use crate::NodeError;
use crate::Result;

/// The greatest answer of a platform service in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A client that sends each request once: it follows no redirects.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client that connects from an address and gives up calls after a time.
    pub(crate) fn new(local: IpAddr, timeout: Duration) -> Self {
        let connector = Connector::new()
            .timeout(timeout)
            .local_address(local)
            .conn_keep_alive(Duration::from_secs(10))
            .limit(0);
        let builder = Client::builder().connector(connector);
        let client = builder.disable_redirects().timeout(timeout).finish();
        HttpClient { client, timeout }
    }

    /// Posts a JSON body and returns the JSON answer.
    pub(crate) async fn post(
        &self,
        service: &'static str,
        url: &str,
        body: &Value,
    ) -> Result<Value> {
        let request = self.client.post(url).send_json(body);
        self.finish(service, request).await
    }

    /// Gets a JSON answer with its tag, or nothing if it still has the tag that is known.
    pub(crate) async fn get_changed(
        &self,
        service: &'static str,
        url: &str,
        known: Option<String>,
    ) -> Result<Option<(Value, Option<String>)>> {
        let failed = |message: String| NodeError::Platform { service, message };
        let mut request = self.client.get(url);
        if let Some(tag) = known {
            request = request.insert_header((header::IF_NONE_MATCH, tag));
        }
        let answer = async {
            let mut answer =
                request.send().await.map_err(|error| failed(error.to_string()))?;
            if answer.status() == StatusCode::NOT_MODIFIED {
                return Ok(None);
            }
            let tag = answer.headers().get(header::ETAG);
            let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
            let body = answer.body().limit(MAX_ANSWER).await;
            let body = body.map_err(|error| failed(error.to_string()))?;
            if !answer.status().is_success() {
                return Err(failed(format!("status {}", answer.status())));
            }
            let value = serde_json::from_slice(&body);
            Ok(Some((value.map_err(|error| failed(error.to_string()))?, tag)))
        };
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }

    /// Awaits a JSON answer for at most the client's timeout.
    async fn finish(
        &self,
        service: &'static str,
        request: awc::SendClientRequest,
    ) -> Result<Value> {
        let failed = |message: String| NodeError::Platform { service, message };
        let answer = async {
            let mut answer = request.await.map_err(|error| failed(error.to_string()))?;
            let body = answer.body().limit(MAX_ANSWER).await;
            let body = body.map_err(|error| failed(error.to_string()))?;
            if !answer.status().is_success() {
                return Err(failed(format!("status {}", answer.status())));
            }
            serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
        };
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }
}
