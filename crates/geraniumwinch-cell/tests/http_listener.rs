//! How the HTTP server accepts connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use geraniumwinch_cell::BootClock;
use geraniumwinch_cell::HttpListener;
use geraniumwinch_cell::HttpResponse;
use geraniumwinch_cell::ProcessShutdown;

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
