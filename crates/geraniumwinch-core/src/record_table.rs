//! Idempotency records, which keep a non-idempotent request from running twice.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::GrantTicket;

/// A SHA-256 digest, truncated to 128 bits, of the values that identify a record or a request.
///
/// A record is identified by the team, the queue and the idempotency key. The fingerprint of its
/// request tells whether the key is reused for a different one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RecordDigest([u8; 16]);

impl RecordDigest {
    /// Computes the digest of a list of byte strings, each prefixed with its length.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        RecordDigest(hash[..16].try_into().expect("a SHA-256 hash has 32 bytes"))
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// An endpoint's response that is small enough to be stored for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The state of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The request has been granted a slot and may be running.
    Intent,
    /// The request has run; its response is stored if it was small enough.
    Ended(Option<StoredResponse>),
    /// The request may have run, and its outcome can no longer be determined.
    Unknown,
}

/// The result of looking up an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordLookup {
    /// No record has the key.
    New,
    /// A record of the same request has the key.
    Known(RecordState),
    /// A record of a different request has the key.
    Reused,
    /// No record has the key, and the table has reached its capacity.
    Full,
}

/// A record and the time of its expiry.
#[derive(Debug, Clone)]
struct RequestRecord {
    fingerprint: RecordDigest,
    state: RecordState,
    /// The grant for the request, or `None` if another owner issued it.
    ticket: Option<GrantTicket>,
    expires: Instant,
}

/// The idempotency records of a failure domain, limited in number and retained for a fixed time.
#[derive(Debug)]
pub struct RecordTable {
    records: HashMap<RecordDigest, RequestRecord>,
    by_expiry: BTreeMap<(Instant, RecordDigest), ()>,
    capacity: usize,
    retention: Duration,
}

impl RecordTable {
    /// Creates a table of at most `capacity` records, each retained for `retention` after its last
    /// change.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        RecordTable {
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            capacity,
            retention,
        }
    }

    /// Looks up a key without adding a record.
    pub fn peek(
        &self,
        digest: &RecordDigest,
        fingerprint: &RecordDigest,
    ) -> RecordLookup {
        match self.records.get(digest) {
            Some(record) if record.fingerprint != *fingerprint => RecordLookup::Reused,
            Some(record) => RecordLookup::Known(record.state.clone()),
            None if self.records.len() >= self.capacity => RecordLookup::Full,
            None => RecordLookup::New,
        }
    }

    /// Looks up a key and adds an intent record if there is none.
    pub fn begin(
        &mut self,
        digest: RecordDigest,
        fingerprint: RecordDigest,
        ticket: GrantTicket,
        now: Instant,
    ) -> RecordLookup {
        let lookup = self.peek(&digest, &fingerprint);
        if lookup == RecordLookup::New {
            let state = RecordState::Intent;
            self.insert(digest, fingerprint, state, Some(ticket), now);
        }
        lookup
    }

    /// Returns whether the outcome of a grant that is no longer outstanding may change a record.
    ///
    /// Outcomes are sent again until they are confirmed, so one may arrive after its request was found not
    /// to have run, and was granted a slot once more. The record then belongs to the later grant. A
    /// record whose grant is unknown is never removed.
    pub fn accepts_outcome(
        &self,
        digest: &RecordDigest,
        ticket: GrantTicket,
        removes: bool,
    ) -> bool {
        match self.records.get(digest).map(|record| record.ticket) {
            Some(Some(latest)) => latest == ticket,
            Some(None) | None => !removes,
        }
    }

    /// Adds or replaces a record, for example one that is read back from the store.
    pub fn restore(
        &mut self,
        digest: RecordDigest,
        fingerprint: RecordDigest,
        state: RecordState,
        now: Instant,
    ) {
        self.insert(digest, fingerprint, state, None, now);
    }

    /// Adds or replaces a record of a grant.
    fn insert(
        &mut self,
        digest: RecordDigest,
        fingerprint: RecordDigest,
        state: RecordState,
        ticket: Option<GrantTicket>,
        now: Instant,
    ) {
        self.remove(&digest);
        let expires = now + self.retention;
        self.by_expiry.insert((expires, digest), ());
        let record = RequestRecord { fingerprint, state, ticket, expires };
        self.records.insert(digest, record);
    }

    /// Changes the state of a record; returns whether the record exists.
    pub fn set_state(
        &mut self,
        digest: &RecordDigest,
        state: RecordState,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get(digest) else { return false };
        let (fingerprint, ticket) = (record.fingerprint, record.ticket);
        self.insert(*digest, fingerprint, state, ticket, now);
        true
    }

    /// Removes a record, so that its key can be used again.
    pub fn remove(&mut self, digest: &RecordDigest) {
        if let Some(record) = self.records.remove(digest) {
            self.by_expiry.remove(&(record.expires, *digest));
        }
    }

    /// Marks all open intents as unknown, because the process that granted their slots has failed.
    pub fn abandon_intents(&mut self) {
        for record in self.records.values_mut() {
            if record.state == RecordState::Intent {
                record.state = RecordState::Unknown;
            }
        }
    }

    /// Removes expired records, and extends the retention of open intents.
    pub fn expire(&mut self, now: Instant) {
        while let Some((&(expires, digest), ())) = self.by_expiry.first_key_value() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            let is_open = |record: &RequestRecord| record.state == RecordState::Intent;
            if self.records.get(&digest).is_some_and(is_open) {
                let expires = now + self.retention;
                self.by_expiry.insert((expires, digest), ());
                self.records.entry(digest).and_modify(|record| record.expires = expires);
            } else {
                self.records.remove(&digest);
            }
        }
    }

    /// Returns the digest, the request's fingerprint and the state of all records.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (&RecordDigest, &RecordDigest, &RecordState)> {
        self.records
            .iter()
            .map(|(digest, record)| (digest, &record.fingerprint, &record.state))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
