//! Records of non-idempotent requests, by idempotency key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// A digest of the team, the queue and the idempotency key of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RecordDigest([u8; 16]);

impl RecordDigest {
    /// Computes the digest of a list of parts.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        RecordDigest(hash[..16].try_into().expect("a SHA-256 hash has 32 bytes"))
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// An endpoint's answer that is small enough to be kept for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What is known of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// It was granted a slot and may be running.
    Intent,
    /// It ran, and its answer is kept if it was small.
    Ended(Option<StoredResponse>),
    /// It may have run; nobody will ever know here.
    Unknown,
}

/// The result of presenting an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordLookup {
    /// The key is new and is now recorded as an intent.
    New,
    /// The key is known.
    Known(RecordState),
    /// The key is known with another request.
    Reused,
    /// There is no room for another record.
    Full,
}

/// One record with its retention.
#[derive(Debug, Clone)]
struct RequestRecord {
    fingerprint: RecordDigest,
    state: RecordState,
    expires: Instant,
}

/// The records of one failure domain, bounded in number and kept for a window.
#[derive(Debug)]
pub struct RecordTable {
    records: HashMap<RecordDigest, RequestRecord>,
    by_expiry: BTreeMap<(Instant, RecordDigest), ()>,
    capacity: usize,
    window: Duration,
}

impl RecordTable {
    /// Creates a table of at most `capacity` records, each kept for `window` after its last change.
    pub fn new(capacity: usize, window: Duration) -> Self {
        RecordTable {
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            capacity,
            window,
        }
    }

    /// Returns what is known of a key without recording anything.
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

    /// Records the intent to run a request unless its key is known.
    pub fn begin(
        &mut self,
        digest: RecordDigest,
        fingerprint: RecordDigest,
        now: Instant,
    ) -> RecordLookup {
        let begin = self.peek(&digest, &fingerprint);
        if begin == RecordLookup::New {
            self.restore(digest, fingerprint, RecordState::Intent, now);
        }
        begin
    }

    /// Sets the state of a record, as when it is read back from the store.
    pub fn restore(
        &mut self,
        digest: RecordDigest,
        fingerprint: RecordDigest,
        state: RecordState,
        now: Instant,
    ) {
        self.remove(&digest);
        let expires = now + self.window;
        self.by_expiry.insert((expires, digest), ());
        self.records.insert(digest, RequestRecord { fingerprint, state, expires });
    }

    /// Changes the state of a known record and returns whether there is one.
    pub fn set_state(
        &mut self,
        digest: &RecordDigest,
        state: RecordState,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get(digest) else { return false };
        let fingerprint = record.fingerprint;
        self.restore(*digest, fingerprint, state, now);
        true
    }

    /// Forgets a request that is known not to have run.
    pub fn remove(&mut self, digest: &RecordDigest) {
        if let Some(record) = self.records.remove(digest) {
            self.by_expiry.remove(&(record.expires, *digest));
        }
    }

    /// Marks every open intent as unknown, as after the loss of the process that granted it.
    pub fn abandon_intents(&mut self) {
        for record in self.records.values_mut() {
            if record.state == RecordState::Intent {
                record.state = RecordState::Unknown;
            }
        }
    }

    /// Drops the records whose window has passed, except open intents.
    pub fn expire(&mut self, now: Instant) {
        while let Some((&(expires, digest), ())) = self.by_expiry.first_key_value() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            let open = |record: &RequestRecord| record.state == RecordState::Intent;
            if self.records.get(&digest).is_some_and(open) {
                let later = now + self.window;
                self.by_expiry.insert((later, digest), ());
                self.records.entry(digest).and_modify(|record| record.expires = later);
            } else {
                self.records.remove(&digest);
            }
        }
    }

    /// Returns every record.
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
