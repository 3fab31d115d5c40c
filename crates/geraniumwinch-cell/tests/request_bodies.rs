//! What the HTTP server does with the bodies of requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_cell::BootClock;
use geraniumwinch_cell::ConnectionTimeouts;
use geraniumwinch_cell::HttpListener;
use geraniumwinch_cell::HttpRequest;
use geraniumwinch_cell::HttpResponse;
use geraniumwinch_cell::ListenerLimits;
use geraniumwinch_cell::ProcessShutdown;
use geraniumwinch_cell::RequestHandler;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_intake::BodyBudget;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The maximum size of a body in bytes.
const MAX_BODY: usize = 256 * 1024;
/// How long a client waits for something that must happen.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The timeout of an idle connection in tests that wait for it.
const SHORT_IDLE: Duration = Duration::from_millis(300);

/// Responds with the length of the body, and refuses the path `/refused` by its head.
struct EchoHandler {
    /// The number of requests that were handled.
    handled: Rc<Cell<u32>>,
}

impl RequestHandler for EchoHandler {
    fn check_head(&self, request: &HttpRequest) -> Option<HttpResponse> {
        (request.path == "/refused").then(|| HttpResponse::empty(401))
    }

    fn refuse_body(&self, kind: ErrorKind) -> HttpResponse {
        let body = kind.response().name.as_bytes().into();
        HttpResponse::new(kind.response().status, "text/plain", body)
    }

    fn handle(&self, request: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        self.handled.set(self.handled.get() + 1);
        let length = request.body.len().to_string();
        async move { HttpResponse::new(200, "text/plain", length.into()) }.boxed_local()
    }
}

/// A server in the test's own process.
struct TestServer {
    address: SocketAddr,
    handled: Rc<Cell<u32>>,
    bodies: BodyBudget,
}

impl TestServer {
    /// Starts a server.
    async fn start(
        body_bytes: usize,
        connections: usize,
        idle: Option<Duration>,
    ) -> TestServer {
        TestServer::start_keeping(false, body_bytes, connections, idle).await
    }

    /// Starts a server that keeps idle connections open or does not.
    async fn start_keeping(
        keeps_idle: bool,
        body_bytes: usize,
        connections: usize,
        idle: Option<Duration>,
    ) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it listens");
        drop(listener);
        let handled = Rc::new(Cell::new(0));
        let handler = Rc::new(EchoHandler { handled: Rc::clone(&handled) });
        let usual = ConnectionTimeouts::default();
        let idle = idle.unwrap_or(usual.idle);
        let bodies = BodyBudget::new(body_bytes);
        let limits = ListenerLimits {
            max_body: Rc::new(Cell::new(MAX_BODY)),
            timeouts: Rc::new(Cell::new(ConnectionTimeouts { idle, ..usual })),
            bodies: bodies.clone(),
            connections,
            keeps_idle,
        };
        let shutdown = ProcessShutdown::new(Rc::new(BootClock));
        let max_body = Rc::clone(&limits.max_body);
        let listener = HttpListener::new(address, max_body, handler, shutdown);
        listener.limited(limits).start().await.expect("the address is free");
        TestServer { address, handled, bodies }
    }

    /// Opens a connection and sends something.
    async fn send(&self, bytes: impl AsRef<[u8]>) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("a connection");
        // A server that has responded may close the connection before all is sent.
        let _ = stream.write_all(bytes.as_ref()).await;
        stream
    }
}

/// Returns a request with the beginning of a body.
fn request(path: &str, length: usize, sent: usize) -> Vec<u8> {
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; sent]].concat()
}

/// Returns a request with chunks of a body, without the last one.
fn chunked_request(path: &str, chunk: usize, chunks: usize) -> Vec<u8> {
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    let part =
        [format!("{chunk:x}\r\n").into_bytes(), vec![b'x'; chunk], b"\r\n".to_vec()];
    [head.into_bytes(), part.concat().repeat(chunks)].concat()
}

/// Reads everything until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut bytes)).await;
    read.expect("the server closes the connection").expect("no reset");
    String::from_utf8(bytes).expect("text")
}

/// Reads a response whose end is known.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        let read = tokio::time::timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await;
        let count = read.expect("a response in time").expect("a response");
        assert!(count > 0, "the connection ended: {}", String::from_utf8_lossy(&bytes));
    }
    String::from_utf8(bytes).expect("text")
}

/// Runs a test on a single thread.
fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Guards against limits that a single request inside them meets (issue 56).
#[test_case(&request("/", MAX_BODY, MAX_BODY), "262144"; "announced")]
#[test_case(&[chunked_request("/", MAX_BODY / 4, 4), b"0\r\n\r\n".to_vec()].concat(), "262144"; "in large chunks")]
#[test_case(&[chunked_request("/", 1, 20_000), b"0\r\n\r\n".to_vec()].concat(), "20000"; "in tiny chunks")]
fn a_body_inside_the_limits_is_served(bytes: &[u8], length: &str) {
    run(async {
        let server = TestServer::start(4 * MAX_BODY, 16, None).await;
        let mut stream = server.send(bytes).await;
        let response = read_until(&mut stream, &format!("\r\n\r\n{length}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(server.handled.get(), 1);
        assert_eq!(server.bodies.used(), 0);
    });
}

/// Guards against refusals that a client can't read, since its unread bytes reset the connection, and
/// against connections that stay open after them (issue 56).
#[test_case(&request("/", 1 << 30, 1 << 20), "413", "body-too-large"; "announced beyond the limit")]
#[test_case(&chunked_request("/", 1 << 16, 16), "413", "body-too-large"; "sent beyond the limit")]
#[test_case(&request("/refused", 1 << 30, 1 << 20), "401", ""; "refused by its head and beyond the limit")]
#[test_case(&chunked_request("/refused", 1 << 16, 16), "401", ""; "refused by its head and sent beyond the limit")]
fn a_refusal_is_read_and_closes_the_connection(bytes: &[u8], status: &str, error: &str) {
    run(async {
        let server = TestServer::start(4 * MAX_BODY, 16, None).await;
        let mut stream = server.send(bytes).await;
        let response = read_to_end(&mut stream).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert!(response.ends_with(error), "{response}");
        assert_eq!(server.handled.get(), 0);
        assert_eq!(server.bodies.used(), 0);
    });
}

/// Guards against connections that are closed after each refusal, though the body was short.
#[test]
fn a_refusal_by_the_head_keeps_the_connection() {
    run(async {
        let server = TestServer::start(4 * MAX_BODY, 16, None).await;
        let mut stream = server.send(request("/refused", 10, 10)).await;
        let response = read_until(&mut stream, "\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        stream.write_all(&request("/", 3, 3)).await.expect("still open");
        let response = read_until(&mut stream, "\r\n\r\n3").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Guards against bodies that never come (issue 56).
#[test_case(&request("/", 1000, 10); "announced")]
#[test_case(&chunked_request("/", 10, 1); "chunked")]
fn a_body_that_pauses_for_too_long_is_refused(bytes: &[u8]) {
    run(async {
        let server = TestServer::start(4 * MAX_BODY, 16, Some(SHORT_IDLE)).await;
        let mut stream = server.send(bytes).await;
        let response = read_to_end(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.ends_with("body-late"), "{response}");
        assert_eq!(server.bodies.used(), 0);
    });
}

/// Guards against ordinary callers that pay for large bodies which don't come (issue 56).
#[test]
fn the_largest_unfinished_body_makes_room_for_others() {
    run(async {
        let server = TestServer::start(2 * MAX_BODY, 16, None).await;
        let mut unfinished = Vec::new();
        for _ in 0..2 {
            unfinished.push(server.send(request("/", MAX_BODY, MAX_BODY - 1)).await);
        }
        while server.bodies.used() < 2 * MAX_BODY {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut ordinary = server.send(request("/", 100, 100)).await;
        let response = read_until(&mut ordinary, "\r\n\r\n100").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let response = read_to_end(&mut unfinished[0]).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.ends_with("bodies-full"), "{response}");
        unfinished[1].write_all(b"x").await.expect("still open");
        let response = read_until(&mut unfinished[1], "262144").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Guards against connections that keep others out, though their clients send nothing, or not all
/// (issue 56).
#[test_case(b""; "silent")]
#[test_case(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"; "without a body")]
fn a_connection_that_waits_for_its_client_makes_room_for_others(bytes: &[u8]) {
    run(async {
        let server = TestServer::start(4 * MAX_BODY, 2, None).await;
        let mut first = server.send(bytes).await;
        let _second = server.send(bytes).await;
        for _ in 0..3 {
            let mut ordinary = server.send(request("/", 3, 3)).await;
            let response = read_until(&mut ordinary, "\r\n\r\n3").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let mut rest = Vec::new();
        let end = tokio::time::timeout(MAX_WAIT, first.read_to_end(&mut rest)).await;
        assert!(end.is_ok(), "the first connection is still open");
    });
}

/// Guards against peers that lose a request on a connection which is closed for another one.
#[test]
fn idle_connections_of_peers_stay_open() {
    run(async {
        let server = TestServer::start_keeping(true, 4 * MAX_BODY, 2, None).await;
        let mut idle = Vec::new();
        for _ in 0..2 {
            let mut stream = server.send(request("/", 3, 3)).await;
            read_until(&mut stream, "\r\n\r\n3").await;
            idle.push(stream);
        }
        let mut waiting = server.send(request("/", 4, 4)).await;
        for stream in &mut idle {
            stream.write_all(&request("/", 5, 5)).await.expect("still open");
            let response = read_until(stream, "\r\n\r\n5").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        idle.pop();
        let response = read_until(&mut waiting, "\r\n\r\n4").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}
