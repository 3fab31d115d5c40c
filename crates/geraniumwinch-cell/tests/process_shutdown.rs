//! How a process that stops finishes its exchanges.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_cell::BootClock;
use geraniumwinch_cell::HttpListener;
use geraniumwinch_cell::HttpRequest;
use geraniumwinch_cell::HttpResponse;
use geraniumwinch_cell::ProcessShutdown;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time from the signal to stop to the forced termination.
const GRACE: Duration = Duration::from_secs(4);
/// The size of a response that no socket buffer takes at once, in bytes.
const LARGE_BYTES: usize = 32 * 1024 * 1024;
/// When a client begins to read a large response, from the signal to stop on.
const SLOW_READ: Duration = Duration::from_millis(2800);

/// Responds to `/large` with [`LARGE_BYTES`], never to `/never`, and to other paths at once.
fn respond(request: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
    Box::pin(async move {
        match request.path.as_str() {
            "/large" => {
                let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
                HttpResponse::new(200, "text/plain", body)
            }
            "/never" => std::future::pending().await,
            _ => HttpResponse::empty(200),
        }
    })
}

/// Starts a server and returns its address and its shutdown.
async fn start_server() -> (SocketAddr, Rc<ProcessShutdown>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    drop(listener);
    let shutdown = ProcessShutdown::new(Rc::new(BootClock));
    let max_body = Rc::new(Cell::new(1024));
    let server =
        HttpListener::new(address, max_body, Rc::new(respond), Rc::clone(&shutdown));
    server.start().await.expect("the address is free");
    (address, shutdown)
}

/// Opens a connection and sends a request.
async fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the server accepts");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the server reads");
    stream
}

/// Reads until the connection ends.
async fn read_all(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("the connection ends in order");
    bytes
}

/// Guards against an exit between the handler's return and the last byte of its response.
#[test]
fn a_response_counts_as_open_until_it_is_written() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let stream = send(address, "/large").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(shutdown.open_exchanges(), 1, "the client has read nothing");
        shutdown.begin(GRACE);
        let began = Instant::now();
        let reader = actix_rt::spawn(async move {
            tokio::time::sleep(SLOW_READ).await;
            read_all(stream).await
        });
        shutdown.drain().await;
        assert!(began.elapsed() >= SLOW_READ, "drained after {:?}", began.elapsed());
        assert_eq!(shutdown.open_exchanges(), 0);
        let bytes = reader.await.expect("the reader ends");
        assert!(bytes.len() > LARGE_BYTES, "{} bytes arrived", bytes.len());
    });
}

/// Guards against a stop that waits for clients which keep a connection open without a request.
#[test]
fn idle_connections_do_not_delay_the_exit() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let mut idle = send(address, "/").await;
        let mut head = [0; 1024];
        assert!(idle.read(&mut head).await.expect("a response") > 0);
        shutdown.begin(GRACE);
        shutdown.await_refusals().await;
        let began = Instant::now();
        shutdown.drain().await;
        assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
        TcpStream::connect(address).await.expect_err("no further connection is taken");
    });
}

/// Guards against a request without a response when its handler does not end before the exit.
#[test]
fn an_exchange_without_a_result_is_answered_before_the_exit() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let stream = send(address, "/never").await;
        shutdown.begin(GRACE);
        let reader = actix_rt::spawn(read_all(stream));
        shutdown.drain().await;
        assert_eq!(shutdown.open_exchanges(), 0);
        let bytes = reader.await.expect("the reader ends");
        let response = String::from_utf8_lossy(&bytes).to_lowercase();
        assert!(response.starts_with("http/1.1 504"), "{response}");
        assert!(response.contains("connection: close"), "{response}");
    });
}

/// Guards against a count of open exchanges that a client can hold up by going away.
#[test]
fn an_exchange_ends_with_its_connection() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let stream = send(address, "/large").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(shutdown.open_exchanges(), 1);
        drop(stream);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(shutdown.open_exchanges(), 0);
    });
}
