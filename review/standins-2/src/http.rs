//! A small HTTP/1.1 server and client for the stand-ins, with one thread for each connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query; empty if it is missing.
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name).unwrap_or_default()
    }

    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the body as JSON; `null` if it can't be read.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    pairs.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
}

/// What a stand-in does with a request.
pub enum Reply {
    /// It answers with a status and a JSON body.
    Answer(u16, Value),
    /// It closes the connection without an answer.
    Close,
}

/// Returns a loopback address that only this process uses, so that the ports of its outgoing connections
/// and those of other processes don't collide with the ports of its servers.
pub fn own_address(last: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process / 250 % 250) as u8, (process % 250) as u8, 1 + last)
}

type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A server that can be taken down.
pub struct Server {
    address: SocketAddr,
    handler: Handler,
    /// The connections of the current listener; `None` while the server is down.
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Server {
    /// Serves a free loopback port.
    pub fn start(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind((own_address(0), 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = Server { address, handler: Arc::new(handler), open: Arc::default() };
        server.accept(listener);
        server
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, as a process that dies does.
    pub fn go_down(&self) {
        let open = self.open.lock().expect("lock").take();
        for stream in open.into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        thread::sleep(Duration::from_millis(20));
    }

    fn accept(&self, listener: TcpListener) {
        *self.open.lock().expect("lock") = Some(Vec::new());
        let (open, handler) = (Arc::clone(&self.open), Arc::clone(&self.handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                match (&mut *open.lock().expect("lock"), stream.try_clone()) {
                    (Some(open), Ok(copy)) => open.push(copy),
                    _ => return,
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve_connection(stream, &handler));
            }
        });
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Reply::Answer(status, body) = handler(request) else { break };
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if output.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = output.shutdown(Shutdown::Both);
}

/// Reads the lines up to an empty one.
fn read_head(input: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first()?.clone();
    let headers = lines[1..].iter().filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Some((first, headers.collect()))
}

fn read_body(input: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = find(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(input)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let body = read_body(input, &headers)?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Decodes the percent encoding of a query.
fn decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        let digits = |bytes: &mut std::str::Bytes| {
            let pair = [bytes.next()?, bytes.next()?];
            u8::from_str_radix(std::str::from_utf8(&pair).ok()?, 16).ok()
        };
        match byte {
            b'%' => decoded.extend(digits(&mut bytes)),
            b'+' => decoded.push(b' '),
            byte => decoded.push(byte),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a new connection. Returns `None` if there is no complete answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if headers.is_empty() {
        text.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_head(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut input, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
