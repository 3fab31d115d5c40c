//! A small HTTP/1.1 server and client, enough for the platform's protocol.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A completely received request.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a query parameter; empty if it is missing.
    pub fn param(&self, name: &str) -> String {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the JSON body, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What a server does with a request.
pub enum Reply {
    /// It responds.
    Respond(u16, Value),
    /// It never responds, and nothing further comes on the connection.
    Silence,
}

/// Handles the requests of a server.
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves an address until the process ends; each connection has a thread.
pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

/// Serves the requests of a connection.
fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read_half);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Respond(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

/// Reads a request; `None` if the connection has ended.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter(|pair| !pair.is_empty()).map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key.to_owned(), decode_percent(value))
    });
    Some(Request { path: path.to_owned(), query: query.collect(), headers, body })
}

/// Reads header lines up to the empty one.
fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that the headers announce, with a length or in chunks.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> Option<Vec<u8>> {
    let find = |name: &str| {
        let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    };
    if find("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunks(reader);
    }
    let length = find("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a chunked body.
fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Decodes percent-encoded text.
fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3);
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                decoded.push(byte);
                index += 3;
            }
            _ => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a connection of its own, and returns the status and the JSON body; `None` if
/// no complete response arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let (status, body) = exchange(address, method, path, headers, body, timeout)?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

/// Sends a request on a connection of its own, and returns the status and the body.
fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
