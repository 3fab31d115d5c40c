//! How the HTTP client classifies calls that return no response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use awc::http::Method;
use geraniumwinch_cell::CallClient;
use geraniumwinch_cell::CallError;
use geraniumwinch_cell::CallRequest;

/// How the server reacts to a request that it has read.
#[derive(Clone, Copy)]
enum Behaviour {
    Respond,
    /// Responds with a body beyond the limit.
    Exceed,
    /// Responds without a length, with bytes beyond the limit and no end.
    Flood,
    Close,
    Truncate,
    Ignore,
}

/// The request that the client sends.
fn request(address: SocketAddr) -> CallRequest {
    CallRequest {
        method: Method::POST,
        url: format!("http://{address}/x"),
        headers: Vec::new(),
        content_type: "text/plain",
        body: "x".into(),
        timeout: Duration::from_millis(400),
        max_response: 1024,
    }
}

/// Starts a server that handles one connection.
fn serve(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut bytes = [0; 4096];
        let _ = stream.read(&mut bytes).expect("the request arrives");
        let text: &[u8] = match behaviour {
            Behaviour::Respond => b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            Behaviour::Exceed => b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n",
            Behaviour::Flood => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            Behaviour::Truncate => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
            Behaviour::Close | Behaviour::Ignore => b"",
        };
        stream.write_all(text).expect("the client reads");
        if matches!(behaviour, Behaviour::Flood) {
            let chunk =
                [b"3e8\r\n".to_vec(), vec![b'x'; 1000], b"\r\n".to_vec()].concat();
            while stream.write_all(&chunk).is_ok() {}
        }
        if matches!(behaviour, Behaviour::Ignore | Behaviour::Exceed) {
            std::thread::sleep(Duration::from_secs(2));
        }
    });
    address
}

/// Sends a request to an address.
fn call(address: SocketAddr) -> Result<u16, CallError> {
    actix_rt::System::new().block_on(async move {
        let response = CallClient::new().call(request(address)).await;
        response.map(|response| response.status)
    })
}

/// Generates one test per case.
macro_rules! cases {
    ($($name:ident: $address:expr => $expected:pat,)*) => {
        $(#[test]
        fn $name() {
            let result = call($address);
            assert!(matches!(result, $expected), "{result:?}");
        })*
    };
}

cases! {
    a_response_is_returned: serve(Behaviour::Respond) => Ok(200),
    a_closed_connection_has_an_unknown_effect:
        serve(Behaviour::Close) => Err(CallError::NoResponse { .. }),
    a_response_beyond_the_limit_has_an_unknown_effect:
        serve(Behaviour::Exceed) => Err(CallError::NoResponse { .. }),
    a_truncated_response_has_an_unknown_effect:
        serve(Behaviour::Truncate) => Err(CallError::NoResponse { .. }),
    a_timeout_has_an_unknown_effect:
        serve(Behaviour::Ignore) => Err(CallError::NoResponse { .. }),
    a_refused_connection_has_no_effect: closed_port() => Err(CallError::NotSent { .. }),
}

/// Returns a local address on which nothing listens.
fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it listens")
}

/// Guards against taking the loss of a reused connection for a connection that was not opened.
#[test]
fn a_reused_connection_that_closes_has_an_unknown_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    let requests = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut bytes = [0; 4096];
        assert!(stream.read(&mut bytes).expect("the first request arrives") > 0);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response).expect("the client reads");
        assert!(stream.read(&mut bytes).expect("the second request arrives") > 0);
    });
    actix_rt::System::new().block_on(async move {
        let client = CallClient::new();
        let first = client.call(request(address)).await;
        assert_eq!(first.expect("the server responds").status, 200);
        let second = client.call(request(address)).await;
        assert!(matches!(second, Err(CallError::NoResponse { .. })), "{second:?}");
    });
    requests.join().expect("both requests arrive on one connection");
}

/// Starts to listen on an address and fills the queue of connections that wait to be accepted, so
/// that further ones are not opened.
fn unreachable_port() -> (Vec<TcpStream>, SocketAddr) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build();
    let listen = async {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind("127.0.0.1:0".parse().expect("the address is valid"))?;
        socket.listen(0)?.into_std()
    };
    let listener = runtime.expect("it starts").block_on(listen).expect("it listens");
    let address = listener.local_addr().expect("it listens");
    // The listener must outlive the test.
    std::mem::forget(listener);
    let wait = Duration::from_millis(100);
    let queued = std::iter::from_fn(|| TcpStream::connect_timeout(&address, wait).ok());
    (queued.take(10).collect(), address)
}

/// Sends a request and abandons it after 100 ms.
fn abandon(address: SocketAddr) -> Result<u16, CallError> {
    actix_rt::System::new().block_on(async move {
        let abandoned = tokio::time::sleep(Duration::from_millis(100));
        let response = CallClient::new().call_until(request(address), abandoned).await;
        response.map(|response| response.status)
    })
}

/// Guards against telling a client that the effect is unknown of a request that was never sent.
#[test]
fn a_request_that_is_abandoned_before_its_connection_opens_has_no_effect() {
    let (_queued, address) = unreachable_port();
    let result = abandon(address);
    assert!(matches!(result, Err(CallError::NotSent { .. })), "{result:?}");
}

/// Guards against telling a client that a request had no effect that was sent and may be executed.
#[test]
fn a_request_that_is_abandoned_after_it_was_sent_has_an_unknown_effect() {
    let result = abandon(serve(Behaviour::Ignore));
    assert!(matches!(result, Err(CallError::NoResponse { .. })), "{result:?}");
}

/// Guards against responses that take memory until the timeout of the call (issue 56).
#[test]
fn a_response_that_does_not_end_is_left_at_the_limit() {
    let result = call(serve(Behaviour::Flood));
    let Err(CallError::NoResponse { message }) = result else {
        panic!("unexpected result: {result:?}");
    };
    assert!(!message.contains("timed out"), "{message}");
}
