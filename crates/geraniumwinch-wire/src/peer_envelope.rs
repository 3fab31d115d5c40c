//! Envelope of the messages between processes.

use std::net::SocketAddr;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::ensure;

use crate::PeerMessage;
use crate::Result;
use crate::wire_error::MalformedSnafu;
use crate::wire_error::OversizedSnafu;
use crate::wire_error::ProtocolMismatchSnafu;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Magic bytes at the start of every message.
const MAGIC: &[u8; 2] = b"gw";
/// Protocol version, which follows the magic bytes.
const VERSION: u8 = 1;

/// Identity of the process that sent a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The process's name.
    pub name: Name,
    /// The process's failure domain.
    pub domain: Name,
    /// The address at which peers reach the process.
    pub address: SocketAddr,
}

/// Name of a process together with its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerName {
    /// The process's name.
    pub name: Name,
    /// The process's failure domain.
    pub domain: Name,
}

impl PeerName {
    /// Returns the name of the process with an identity.
    pub fn of(identity: &PeerIdentity) -> PeerName {
        PeerName { name: identity.name.clone(), domain: identity.domain.clone() }
    }
}

/// A message with its sender and a correlation identifier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: PeerIdentity,
    /// Identifier that a request and its response share. It is never reused; 0 means that no
    /// response is expected.
    pub correlation: u128,
    /// Whether the message is the response to a request.
    pub is_response: bool,
    /// The message itself.
    pub body: PeerMessage,
}

impl PeerEnvelope {
    /// Encodes the envelope, preceded by the magic bytes and the protocol version.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend_from_slice(MAGIC);
        bytes.push(VERSION);
        let bytes = postcard::to_extend(self, bytes).context(MalformedSnafu)?;
        let limit = MAX_MESSAGE_BYTES;
        ensure!(bytes.len() <= limit, OversizedSnafu { bytes: bytes.len(), limit });
        Ok(bytes)
    }

    /// Decodes an envelope.
    pub fn decode(bytes: &[u8]) -> Result<PeerEnvelope> {
        let limit = MAX_MESSAGE_BYTES;
        ensure!(bytes.len() <= limit, OversizedSnafu { bytes: bytes.len(), limit });
        let rest =
            bytes.strip_prefix(MAGIC).and_then(|rest| rest.strip_prefix(&[VERSION]));
        let Some(rest) = rest else {
            return ProtocolMismatchSnafu { version: VERSION }.fail();
        };
        postcard::from_bytes(rest).context(MalformedSnafu)
    }
}
