//! The envelope of every message between processes.

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

/// The greatest encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The bytes that open every message.
const MARK: &[u8; 2] = b"gw";
/// The version of the protocol.
const VERSION: u8 = 1;

/// The process that sent a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The process's name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The address under which peers reach it.
    pub address: SocketAddr,
}

/// The name of a process and of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerName {
    /// The process's name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
}

impl PeerName {
    /// Returns the name of a process.
    pub fn of(identity: &PeerIdentity) -> PeerName {
        PeerName { name: identity.name.clone(), domain: identity.domain.clone() }
    }
}

/// A message with its sender and its correlation identifier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: PeerIdentity,
    /// The identifier that a call and its answer share; it is never reused. 0 stands for none.
    pub correlation: u128,
    /// Whether this is the answer to a call.
    pub is_response: bool,
    /// The content.
    pub body: PeerMessage,
}

impl PeerEnvelope {
    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend_from_slice(MARK);
        bytes.push(VERSION);
        let bytes = postcard::to_extend(self, bytes).context(MalformedSnafu)?;
        let limit = MAX_MESSAGE_BYTES;
        ensure!(bytes.len() <= limit, OversizedSnafu { bytes: bytes.len(), limit });
        Ok(bytes)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<PeerEnvelope> {
        let limit = MAX_MESSAGE_BYTES;
        ensure!(bytes.len() <= limit, OversizedSnafu { bytes: bytes.len(), limit });
        let rest =
            bytes.strip_prefix(MARK).and_then(|rest| rest.strip_prefix(&[VERSION]));
        let Some(rest) = rest else {
            return ProtocolMismatchSnafu { version: VERSION }.fail();
        };
        postcard::from_bytes(rest).context(MalformedSnafu)
    }
}
