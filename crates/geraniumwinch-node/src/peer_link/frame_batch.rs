//! Encoded messages that are sent together.

use geraniumwinch_wire::MAX_MESSAGE_BYTES;

/// The size of the length that precedes each message, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();
/// The maximum size of a batch in bytes. A message of the maximum size fits.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES + LENGTH_BYTES;

/// Encoded messages, each preceded by its length as a little-endian number of 32 bits.
#[derive(Debug, Default)]
pub(super) struct FrameBatch {
    bytes: Vec<u8>,
    messages: u64,
}

impl FrameBatch {
    /// Adds a message if the batch has space for it, and returns whether it had.
    pub(super) fn push(&mut self, message: &[u8]) -> bool {
        let Ok(length) = u32::try_from(message.len()) else { return false };
        if self.bytes.len() + LENGTH_BYTES + message.len() > MAX_BATCH_BYTES {
            return false;
        }
        self.bytes.extend_from_slice(&length.to_le_bytes());
        self.bytes.extend_from_slice(message);
        self.messages += 1;
        true
    }

    /// Returns the number of messages.
    pub(super) fn messages(&self) -> u64 {
        self.messages
    }

    /// Returns the batch as it is sent.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
