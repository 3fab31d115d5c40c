//! A small HTTP client for tests.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::Method;
use bytes::Bytes;
use serde_json::Value;

/// The greatest answer in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// An answer; status 0 stands for none.
#[derive(Debug, Clone)]
pub struct TestResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers by name in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl TestResponse {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a field of the JSON body as text.
    pub fn field(&self, name: &str) -> String {
        self.json()[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the call was answered by an endpoint.
    pub fn ran(&self) -> bool {
        self.status == 200
    }

    /// Returns whether the call was refused with the word that it has not run.
    pub fn not_run(&self) -> bool {
        self.field("run") == "not-run"
    }
}

/// A client that sends each request once.
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
    /// Creates a client that gives up after a time.
    pub fn new(timeout: Duration) -> Self {
        let connector = Connector::new().limit(0).timeout(Duration::from_secs(5));
        let builder = Client::builder().connector(connector).disable_redirects();
        TestClient { client: builder.timeout(timeout).finish() }
    }

    /// Sends a request over a connection of its own.
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
        let Ok(mut answer) = request.send_body(body.into()).await else { return none };
        let Ok(body) = answer.body().limit(MAX_ANSWER).await else { return none };
        let headers = answer.headers().iter();
        let text = |value: &awc::http::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        TestResponse {
            status: answer.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body,
        }
    }

    /// Gets JSON; null stands for no answer.
    pub async fn get_json(&self, url: &str) -> Value {
        self.send(Method::GET, url, &[], Bytes::new()).await.json()
    }

    /// Posts JSON and expects success.
    pub async fn post_json(&self, url: &str, body: &Value) {
        let headers = [("Content-Type", "application/json")];
        let answer = self.send(Method::POST, url, &headers, body.to_string()).await;
        assert!(answer.status == 200, "{url} answered {}", answer.status);
    }
}
