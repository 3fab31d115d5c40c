//! The platform's store: items, leases, transactions and watches.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http::Reply;
use crate::http::Request;

/// The time that each answer takes, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The maximum number of items in a page.
const PAGE_ITEMS: usize = 500;
/// The maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// The maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The minimum time to live of a lease.
const MIN_TTL: Duration = Duration::from_millis(1000);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Each change with its key and its event.
    history: Vec<(u64, String, Value)>,
}

impl State {
    fn json(key: &str, item: &Item) -> Value {
        json!({
            "key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease,
        })
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), State::json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if existed && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        existed
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let expired: Vec<u64> = expired.map(|(&lease, _)| lease).collect();
        expired.into_iter().for_each(|lease| {
            self.end_lease(lease);
        });
    }

    fn transact(&mut self, body: &Value) -> Reply {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removals) =
            (rows("expected"), rows("writes"), rows("remove"));
        if expected.len() + writes.len() + removals.len() > MAX_ENTRIES {
            return Reply::Respond(400, json!({}));
        }
        let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| Some(revision(&key(row))) == row["revision"].as_u64();
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = key(row);
                self.items.get(&key).map(|item| State::json(&key, item))
            });
            let items: Vec<Value> = items.collect();
            return Reply::Respond(412, json!({ "items": items }));
        }
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row)))
        {
            return Reply::Respond(404, json!({}));
        }
        let foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|row| foreign(&key(row))) {
            return Reply::Respond(403, json!({}));
        }
        self.revision += 1;
        for row in &writes {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.write(&key(row), value, lease(row));
        }
        for row in &removals {
            self.remove(row.as_str().unwrap_or_default());
        }
        Reply::Respond(200, json!({ "revision": self.revision }))
    }
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        state.expire_leases();
        state
    }

    /// Writes an item for the operator or an executor.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, STANDARD.encode(value.to_string()), 0);
        self.changed.notify_all();
    }

    /// Removes an item for the operator or an executor.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Handles a call of the system.
    pub fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let path = request.path.trim_start_matches("/-/").to_owned();
        let (call, argument) = path.split_once('/').unwrap_or((&path, ""));
        let lease: u64 = argument.parse().unwrap_or(0);
        let reply = match call {
            "kv-key" => self.read_key(request),
            "kv-range" => self.read_range(request),
            "kv-watch" => self.watch(request),
            "kv-txn" => self.lock().transact(&request.json()),
            "kv-lease" => self.grant(request),
            "kv-keep" => self.renew(lease),
            "kv-lease-end" if self.lock().end_lease(lease) => {
                Reply::Respond(200, json!({}))
            }
            _ => Reply::Respond(404, json!({})),
        };
        self.changed.notify_all();
        reply
    }

    fn read_key(&self, request: &Request) -> Reply {
        let state = self.lock();
        let key = request.param("key");
        match state.items.get(&key) {
            Some(item) => {
                let mut body = State::json(&key, item);
                body["at"] = json!(state.revision);
                Reply::Respond(200, body)
            }
            None => Reply::Respond(404, json!({})),
        }
    }

    fn read_range(&self, request: &Request) -> Reply {
        let state = self.lock();
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut items: Vec<Value> =
            matching.map(|(key, item)| State::json(key, item)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let at = state.revision;
        Reply::Respond(200, json!({ "items": items, "has_more": has_more, "at": at }))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.param("prefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.lock();
        loop {
            state.expire_leases();
            let events = state.history.iter().filter(|(revision, key, _)| {
                *revision > after && key.starts_with(&prefix)
            });
            let events: Vec<Value> = events.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return Reply::Respond(200, json!({ "events": events, "at": at }));
            }
            // A lease may end meanwhile, so the wait is short.
            let wait = left.min(Duration::from_millis(50));
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    fn grant(&self, request: &Request) -> Reply {
        let mut state = self.lock();
        let ttl = Duration::from_millis(request.json()["ttl_ms"].as_u64().unwrap_or(0));
        let ttl = ttl.clamp(MIN_TTL, Duration::from_secs(600));
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        Reply::Respond(200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
    }

    fn renew(&self, lease: u64) -> Reply {
        let mut state = self.lock();
        match state.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                Reply::Respond(200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
            }
            None => Reply::Respond(404, json!({})),
        }
    }
}
