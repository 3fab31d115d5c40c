//! HTTP client for tests.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::Method;
use bytes::Bytes;
use serde_json::Value;

/// The maximum size of a response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP response; status 0 means that none was received.
#[derive(Debug, Clone)]
pub struct TestResponse {
    /// The HTTP status code, or 0.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The response body.
    pub body: Bytes,
}

impl TestResponse {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a string field of the JSON body, or an empty string.
    pub fn field(&self, name: &str) -> String {
        self.json()[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether an endpoint ran the request.
    pub fn ran(&self) -> bool {
        self.status == 200
    }

    /// Returns whether the request was refused with the statement that it has not run.
    pub fn not_run(&self) -> bool {
        self.field("run") == "not-run"
    }
}

/// An HTTP client that never retries.
#[derive(Clone)]
pub struct TestClient {
    client: Client,
}

impl Default for TestClient {
    fn default() -> Self {
        TestClient::new(Duration::from_secs(40))
    }
}

impl TestClient {
    /// Creates a client with a time-out per request.
    pub fn new(timeout: Duration) -> Self {
        let connector = Connector::new().limit(0).timeout(Duration::from_secs(5));
        let builder = Client::builder().connector(connector).disable_redirects();
        TestClient { client: builder.timeout(timeout).finish() }
    }

    /// Sends a request over a new connection.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> TestResponse {
        let mut request = self.client.request(method, url).force_close();
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let none = TestResponse { status: 0, headers: Vec::new(), body: Bytes::new() };
        let Ok(mut response) = request.send_body(body.into()).await else {
            return none;
        };
        let Ok(body) = response.body().limit(MAX_BODY_BYTES).await else {
            return none;
        };
        let headers = response.headers().iter();
        let text = |value: &awc::http::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        TestResponse {
            status: response.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body,
        }
    }

    /// Sends a GET request and returns the JSON body, or null if there is no response.
    pub async fn get_json(&self, url: &str) -> Value {
        self.send(Method::GET, url, &[], Bytes::new()).await.json()
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if the status is not 200.
    pub async fn post_json(&self, url: &str, body: &Value) {
        let headers = [("Content-Type", "application/json")];
        let response = self.send(Method::POST, url, &headers, body.to_string()).await;
        assert!(response.status == 200, "POST {url} returned status {}", response.status);
    }
}
