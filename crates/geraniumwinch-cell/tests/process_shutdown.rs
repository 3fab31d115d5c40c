//! How a process that stops finishes its exchanges.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
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
/// A grace after which requests are refused almost at once.
const SHORT_GRACE: Duration = Duration::from_millis(1650);
/// The time from the signal to stop to the refusal of requests with this grace.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
/// The number of tasks that keep a process busy at that moment, and how long each of them works.
const BUSY_TASKS: u32 = 3;
const BUSY_TIME: Duration = Duration::from_millis(10);
/// How much earlier than the next one each of these tasks begins.
const EARLY_STEP: Duration = Duration::from_millis(2);
/// The number of servers that are stopped, each with a later connection.
const ROUNDS: u32 = 20;
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

/// Guards against "unknown" (504) for requests that were not run or are done: what the handler returns at
/// once must be delivered also after the cutoff.
#[test]
fn ready_responses_are_delivered_after_the_cutoff() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let mut streams = Vec::new();
        for _ in 0..30 {
            let mut stream = send(address, "/").await;
            let mut head = [0; 1024];
            assert!(stream.read(&mut head).await.expect("a response") > 0);
            streams.push(stream);
        }
        shutdown.begin(GRACE);
        shutdown.await_cutoff().await;
        let mut statuses = Vec::new();
        for mut stream in streams {
            stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("sent");
            let bytes = read_all(stream).await;
            statuses.push(String::from_utf8_lossy(&bytes[9..12]).into_owned());
        }
        let unknown = statuses.iter().filter(|status| *status == "504").count();
        assert_eq!(unknown, 0, "{unknown} of {} got 504", statuses.len());
    });
}

/// Guards against an exit before requests are answered when the process was busy at the cutoff: the
/// forced termination is still ahead.
#[test]
fn a_busy_process_answers_before_its_forced_termination() {
    actix_rt::System::new().block_on(async {
        let (address, shutdown) = start_server().await;
        let began = Instant::now();
        shutdown.begin(GRACE);
        let mut idle = send(address, "/never").await;
        // Busy from 0.5 s before the exit until 0.15 s after it, that is 0.35 s before the termination.
        actix_rt::spawn(async {
            tokio::time::sleep(Duration::from_millis(3000)).await;
            std::thread::sleep(Duration::from_millis(650));
        });
        shutdown.drain().await;
        let open = shutdown.open_exchanges();
        let drained = began.elapsed();
        let mut head = [0; 64];
        let read = tokio::time::timeout(Duration::from_millis(100), idle.read(&mut head));
        let answered = matches!(read.await, Ok(Ok(count)) if count > 0);
        println!("drained after {drained:?}, open {open}, answered later: {answered}");
        assert_eq!(open, 0, "drained after {drained:?} of {GRACE:?}");
    });
}

/// Sends a request on a new connection, and returns whether the connection was opened and ended without a
/// response.
fn is_reset(address: SocketAddr) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return false };
    // The server may have ended the connection already.
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    !stream.read(&mut [0; 16]).is_ok_and(|count| count > 0)
}

/// Guards against requests that get no response although their connection was open before the process
/// took no more: it was busy, and had not been told of the connection (soak, plan stops, seed 950).
#[test]
fn a_busy_process_takes_all_connections_that_were_open() {
    actix_rt::System::new().block_on(async {
        for round in 0..ROUNDS {
            let (address, shutdown) = start_server().await;
            shutdown.begin(SHORT_GRACE);
            let client = std::thread::spawn(move || {
                std::thread::sleep(REFUSAL_TIME + BUSY_TIME * round / ROUNDS * 2);
                is_reset(address)
            });
            // While the first one works, the others and the refusal become due, in this order.
            for early in (1..=BUSY_TASKS).rev() {
                actix_rt::spawn(async move {
                    tokio::time::sleep(REFUSAL_TIME - EARLY_STEP * early).await;
                    std::thread::sleep(BUSY_TIME);
                });
            }
            while !client.is_finished() {
                tokio::time::sleep(BUSY_TIME).await;
            }
            let reset = client.join().expect("the client ends");
            assert!(!reset, "the connection of round {round} was reset");
        }
    });
}
