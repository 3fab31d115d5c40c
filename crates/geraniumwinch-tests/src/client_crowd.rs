//! Clients that send much at once and don't finish.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The largest body that the limits allow, in bytes.
const LEGAL_BYTES: usize = 256 * 1024;
/// What a client sends of a body over the limit, in bytes.
const EXCESS_BYTES: usize = 4 * 1024 * 1024;
/// The length that a client announces of such a body, in bytes.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// The number of chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 20_000;
/// The number of bytes that are sent at once.
const PIECE_BYTES: usize = 16 * 1024;
/// How long a client tries to send before it stops, with its connection open.
const SENDING_TIME: Duration = Duration::from_secs(5);

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdRequest {
    /// A body of legal size but its last byte, in one write.
    WholeBody,
    /// A body of legal size but its last byte, in many writes.
    BodyInPieces,
    /// A chunk of almost legal size, and no further one.
    LargeChunk,
    /// Many chunks of one byte, and no last one.
    TinyChunks,
    /// A part of a body that is announced as far over the limit.
    AnnouncedExcess,
    /// Chunks far beyond the limit, and no last one.
    SentExcess,
    /// A head without its end.
    UnfinishedHead,
    /// Nothing.
    Silence,
}

/// The open connections of a crowd.
#[derive(Debug)]
pub struct ClientCrowd {
    connections: Vec<TcpStream>,
}

impl ClientCrowd {
    /// Has clients connect at once and send what they send. `head` is the request line and the headers
    /// that don't describe the body.
    pub async fn gather(
        address: SocketAddr,
        clients: usize,
        head: &str,
        request: CrowdRequest,
    ) -> ClientCrowd {
        let bytes = request.bytes(head);
        let pieces =
            if request == CrowdRequest::BodyInPieces { 1024 } else { PIECE_BYTES };
        let clients = (0..clients).map(|_| join_in(address, &bytes, pieces));
        let connections = join_all(clients).await.into_iter().flatten().collect();
        ClientCrowd { connections }
    }

    /// Returns the number of connections that were opened.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection was opened.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

impl CrowdRequest {
    /// Returns what a client sends.
    fn bytes(self, head: &str) -> Vec<u8> {
        let chunked = || format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        let sized =
            |length| format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        let filler = |length| vec![b' '; length];
        match self {
            CrowdRequest::WholeBody | CrowdRequest::BodyInPieces => {
                [sized(LEGAL_BYTES), filler(LEGAL_BYTES - 1)].concat()
            }
            CrowdRequest::LargeChunk => {
                let size = format!("{:x}\r\n", LEGAL_BYTES - 1).into_bytes();
                [chunked(), size, filler(LEGAL_BYTES - 1)].concat()
            }
            CrowdRequest::TinyChunks => {
                [chunked(), b"1\r\n \r\n".repeat(TINY_CHUNKS)].concat()
            }
            CrowdRequest::AnnouncedExcess => {
                [sized(ANNOUNCED_BYTES), filler(EXCESS_BYTES)].concat()
            }
            CrowdRequest::SentExcess => {
                let chunk =
                    [b"10000\r\n".to_vec(), filler(0x10000), b"\r\n".to_vec()].concat();
                [chunked(), chunk.repeat(EXCESS_BYTES / 0x10000)].concat()
            }
            CrowdRequest::UnfinishedHead => head.as_bytes().to_vec(),
            CrowdRequest::Silence => Vec::new(),
        }
    }
}

/// Opens a connection and sends bytes in pieces, as far as the process takes them. Returns `None` if
/// nothing accepts the connection.
async fn join_in(address: SocketAddr, bytes: &[u8], piece: usize) -> Option<TcpStream> {
    let connect = tokio::time::timeout(SENDING_TIME, TcpStream::connect(address));
    let mut stream = connect.await.ok()?.ok()?;
    let send = async {
        for piece in bytes.chunks(piece) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        stream.flush().await
    };
    // A process may refuse the request or stop to read it: the connection stays as it is then.
    let _ = tokio::time::timeout(SENDING_TIME, send).await;
    Some(stream)
}
