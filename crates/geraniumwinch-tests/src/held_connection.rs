//! Client connections that stay open between requests.

use std::io::ErrorKind;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The end of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The size of the read buffer in bytes.
const BUFFER_BYTES: usize = 4096;

/// How a request on an open connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// A complete response arrived.
    Response {
        /// The HTTP status code.
        status: u16,
        /// The head of the response in lower case.
        head: String,
    },
    /// The connection ended without a complete response, this long after the request was sent.
    Cut(Duration),
}

impl ExchangeEnd {
    /// Returns the status of the response, or `None` if there is none.
    pub fn status(&self) -> Option<u16> {
        match self {
            ExchangeEnd::Response { status, .. } => Some(*status),
            ExchangeEnd::Cut(_) => None,
        }
    }
}

/// A client connection that stays open between requests.
#[derive(Debug)]
pub struct HeldConnection {
    stream: TcpStream,
}

impl HeldConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not take the connection.
    pub async fn open(address: SocketAddr) -> Result<HeldConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(HeldConnection { stream })
    }

    /// Sends a request in one piece and waits until the response is complete or the connection ends.
    pub async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ExchangeEnd {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        let sent = Instant::now();
        match self.send_and_receive(text.as_bytes()).await {
            Ok((status, head)) => ExchangeEnd::Response { status, head },
            Err(_) => ExchangeEnd::Cut(sent.elapsed()),
        }
    }

    /// Sends a request and reads the response.
    async fn send_and_receive(&mut self, request: &[u8]) -> Result<(u16, String)> {
        self.stream.write_all(request).await?;
        let mut bytes = Vec::new();
        let head_end = loop {
            let found =
                bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END);
            match found {
                Some(position) => break position + HEAD_END.len(),
                None => self.read_more(&mut bytes).await?,
            }
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
        let length = header_value(&head, "content-length");
        let length: usize = length.and_then(|value| value.parse().ok()).unwrap_or(0);
        while bytes.len() < head_end + length {
            self.read_more(&mut bytes).await?;
        }
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        Ok((status.ok_or(ErrorKind::InvalidData)?, head))
    }

    /// Reads further bytes; fails at the end of the stream.
    async fn read_more(&mut self, bytes: &mut Vec<u8>) -> Result<()> {
        let mut buffer = [0; BUFFER_BYTES];
        let count = self.stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
        Ok(())
    }
}

/// Returns the value of a header in the head of a message; `name` is in lower case.
fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let value = |line: &'a str| line.strip_prefix(name)?.strip_prefix(':');
    head.lines().find_map(value).map(str::trim)
}
