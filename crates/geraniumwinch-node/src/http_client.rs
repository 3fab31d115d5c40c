//! The HTTP client for the services of the platform.

use std::net::IpAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::StatusCode;
use awc::http::header;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::NodeError;
use crate::Result;

/// Maximum size of the body of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP client that sends each request once, without following redirects.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client that connects from a local address and limits the duration of calls.
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

    /// Posts a JSON body and returns the JSON response.
    pub(crate) async fn post(
        &self,
        service: &'static str,
        url: &str,
        body: &Value,
    ) -> Result<Value> {
        let request = self.client.post(url).send_json(body);
        self.receive_json(service, request).await
    }

    /// Gets a JSON document with its entity tag, or `None` if the tag is still the known one.
    pub(crate) async fn get_if_changed<T: DeserializeOwned>(
        &self,
        service: &'static str,
        url: &str,
        known: Option<String>,
    ) -> Result<Option<(T, Option<String>)>> {
        let failed = |message: String| NodeError::Platform { service, message };
        let mut request = self.client.get(url);
        if let Some(tag) = known {
            request = request.insert_header((header::IF_NONE_MATCH, tag));
        }
        let response = async {
            let mut response =
                request.send().await.map_err(|error| failed(error.to_string()))?;
            if response.status() == StatusCode::NOT_MODIFIED {
                return Ok(None);
            }
            let tag = response.headers().get(header::ETAG);
            let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| failed(error.to_string()))?;
            if !response.status().is_success() {
                return Err(failed(format!("status {}", response.status())));
            }
            let value = serde_json::from_slice(&body);
            Ok(Some((value.map_err(|error| failed(error.to_string()))?, tag)))
        };
        match tokio::time::timeout(self.timeout, response).await {
            Ok(response) => response,
            Err(_) => Err(failed("no response within the timeout".to_owned())),
        }
    }

    /// Waits for a JSON response for at most the client's timeout.
    async fn receive_json(
        &self,
        service: &'static str,
        request: awc::SendClientRequest,
    ) -> Result<Value> {
        let failed = |message: String| NodeError::Platform { service, message };
        let response = async {
            let mut response =
                request.await.map_err(|error| failed(error.to_string()))?;
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| failed(error.to_string()))?;
            if !response.status().is_success() {
                return Err(failed(format!("status {}", response.status())));
            }
            serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
        };
        match tokio::time::timeout(self.timeout, response).await {
            Ok(response) => response,
            Err(_) => Err(failed("no response within the timeout".to_owned())),
        }
    }
}
