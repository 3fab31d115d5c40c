//! How the HTTP server accepts connections and renders responses.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use geraniumwinch_cell::BootClock;
use geraniumwinch_cell::HttpListener;
use geraniumwinch_cell::HttpRequest;
use geraniumwinch_cell::HttpResponse;
use geraniumwinch_cell::ProcessShutdown;
use test_case::test_case;

/// The number of connections that clients open at once.
const CONNECTIONS: usize = 400;
/// The timeout for opening a connection; the system retries it only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Starts a server that accepts nothing because its thread is blocked.
fn start_blocked_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let address = free_address();
            let respond = |_| -> futures_util::future::LocalBoxFuture<_> {
                Box::pin(async { HttpResponse::empty(200) })
            };
            let max_body = Rc::new(Cell::new(1024));
            let shutdown = ProcessShutdown::new(Rc::new(BootClock));
            let listener =
                HttpListener::new(address, max_body, Rc::new(respond), shutdown);
            listener.start().await.expect("the address is free");
            sender.send(address).expect("the test waits");
            std::thread::sleep(Duration::from_secs(10));
        });
    });
    receiver.recv().expect("the server starts")
}

/// Returns a local address on which nothing listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it listens")
}

/// Guards against connections that are not open in time while the process is busy: of 210 that a peer
/// opened, those beyond the backlog of 128 were retried after 1 s, and their requests refused.
#[test]
fn a_busy_process_lets_many_connections_open() {
    let address = start_blocked_server();
    let streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
        .collect();
    assert_eq!(streams.len(), CONNECTIONS, "connections opened");
}

/// Starts a server whose refusals say to retry after as many microseconds as the path names.
fn start_refusing_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let address = free_address();
            let respond =
                |request: HttpRequest| -> futures_util::future::LocalBoxFuture<_> {
                    let micros = request.path[1..].parse().expect("a number");
                    let retry_after = Some(Duration::from_micros(micros));
                    let refusal = HttpResponse {
                        retry_after,
                        close: true,
                        ..HttpResponse::empty(503)
                    };
                    Box::pin(async { refusal })
                };
            let max_body = Rc::new(Cell::new(1024));
            let shutdown = ProcessShutdown::new(Rc::new(BootClock));
            let listener =
                HttpListener::new(address, max_body, Rc::new(respond), shutdown);
            listener.start().await.expect("the address is free");
            sender.send(address).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the server starts")
}

/// Guards against callers that are told to retry at once although they should wait a little.
#[test_case(0, "0"; "at once")]
#[test_case(400, "1"; "after less than a millisecond")]
#[test_case(1_500_000, "2"; "after more than a second")]
fn retry_delays_are_rounded_up_to_seconds(micros: u64, seconds: &str) {
    let mut stream = TcpStream::connect(start_refusing_server()).expect("a connection");
    let request = format!("GET /{micros} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    let header = format!("retry-after: {seconds}\r\n");
    assert!(response.to_lowercase().contains(&header), "{response}");
}
