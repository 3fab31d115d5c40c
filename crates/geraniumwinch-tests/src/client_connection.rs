//! A client's connection to a process, which stays open between requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long a client waits for a response, far above the deadline that its requests state.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The end of the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A connection, and when it was opened.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    /// When the connection was open.
    pub opened: Instant,
}

/// What a client saw of a request that it sent completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestExchange {
    /// When the last byte of the request was sent.
    pub sent: Instant,
    /// When the response was complete, or the client stopped waiting for it.
    pub ended: Instant,
    /// The HTTP status; `None` without a complete response.
    pub status: Option<u16>,
    /// Whether the connection can't be used for another request.
    pub closed: bool,
}

impl ClientConnection {
    /// Opens a connection, or returns `None` if nothing accepts it.
    pub async fn open(address: SocketAddr) -> Option<ClientConnection> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(ClientConnection { stream, opened: Instant::now() })
    }

    /// Sends a request and waits for the response; returns `None` if it could not be sent completely.
    pub async fn exchange(&mut self, request: &[u8]) -> Option<RequestExchange> {
        self.stream.write_all(request).await.ok()?;
        let sent = Instant::now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.read_response()).await;
        let ended = Instant::now();
        let (status, closed) = match response {
            Ok(Some((status, closed))) => (Some(status), closed),
            _ => (None, true),
        };
        Some(RequestExchange { sent, ended, status, closed })
    }

    /// Reads a response; returns its status and whether the process closes the connection after it, or
    /// `None` if the connection ends before the response is complete.
    async fn read_response(&mut self) -> Option<(u16, bool)> {
        let mut bytes = Vec::new();
        let head_end = loop {
            let found = bytes.windows(HEAD_END.len()).position(|part| part == HEAD_END);
            match found {
                Some(position) => break position,
                None => self.read_more(&mut bytes).await?,
            }
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
        let header = |name: &str| {
            let value = |line: &str| {
                let (found, value) = line.split_once(':')?;
                (found == name).then(|| value.trim().to_owned())
            };
            head.lines().find_map(value)
        };
        let length: usize =
            header("content-length").map_or(Some(0), |value| value.parse().ok())?;
        while bytes.len() < head_end + HEAD_END.len() + length {
            self.read_more(&mut bytes).await?;
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, header("connection").as_deref() == Some("close")))
    }

    /// Appends received bytes, or returns `None` if the connection has ended.
    async fn read_more(&mut self, bytes: &mut Vec<u8>) -> Option<()> {
        let count = self.stream.read_buf(bytes).await.ok()?;
        (count > 0).then_some(())
    }
}
