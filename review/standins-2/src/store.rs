//! The platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http::Reply;
use crate::http::Request;

/// The most items of a page.
const PAGE_ITEMS: usize = 500;
/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It serves them.
    Up,
    /// It serves nobody and answers nothing. Leases run out meanwhile.
    Silent,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    json: Value,
    at: Instant,
}

struct State {
    mode: StoreMode,
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    history: Vec<Event>,
    /// The revision up to which the history is dropped.
    dropped: u64,
}

/// The platform's store, with a linearizable order of all calls.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Store {
        let state = State {
            mode: StoreMode::Up,
            items: BTreeMap::new(),
            revision: 1,
            leases: HashMap::new(),
            history: Vec::new(),
            dropped: 0,
        };
        Store { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().expect("lock").mode = mode;
        self.changed.notify_all();
    }

    /// Writes an item of the operator or of an executor. Executors can't while the store is down.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().expect("lock");
        if state.mode == StoreMode::Silent {
            return;
        }
        state.revision += 1;
        state.write(key, STANDARD.encode(value.to_string()), 0);
        self.changed.notify_all();
    }

    /// Removes the entry of an executor.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("lock");
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Handles a call.
    pub fn handle(&self, request: &Request) -> Reply {
        if self.mode() == StoreMode::Silent {
            return self.hold();
        }
        let path = request.path.trim_start_matches("/-/");
        let (call, rest) = path.split_once('/').unwrap_or((path, ""));
        let number = rest.parse().unwrap_or(0);
        match (request.method.as_str(), call) {
            ("GET", "kv-key") => self.read_key(request.query("key")),
            ("GET", "kv-range") => {
                self.read_range(request.query("prefix"), request.query("after"))
            }
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.transact(&request.json()),
            ("POST", "kv-lease") => self.grant_lease(&request.json()),
            ("POST", "kv-keep") => self.keep_lease(number),
            ("DELETE", "kv-lease-end") => self.end_lease(number),
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn mode(&self) -> StoreMode {
        self.state.lock().expect("lock").mode
    }

    /// Answers nothing until the store is back, and then closes the connection.
    fn hold(&self) -> Reply {
        let mut state = self.state.lock().expect("lock");
        while state.mode == StoreMode::Silent {
            state = self.changed.wait(state).expect("lock");
        }
        Reply::Close
    }

    fn read_key(&self, key: &str) -> Reply {
        let mut state = self.state.lock().expect("lock");
        state.expire();
        match state.items.get(key) {
            Some(item) => {
                let mut body = item_json(key, item);
                body["at"] = json!(state.revision);
                Reply::Answer(200, body)
            }
            None => Reply::Answer(404, json!({})),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> Reply {
        let mut state = self.state.lock().expect("lock");
        state.expire();
        let found = state.items.iter();
        let found = found
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item));
        let mut items: Vec<Value> = found.take(PAGE_ITEMS + 1).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let at = state.revision;
        Reply::Answer(200, json!({ "items": items, "has_more": more, "at": at }))
    }

    fn watch(&self, request: &Request) -> Reply {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0).min(30_000);
        let end = Instant::now() + Duration::from_millis(wait);
        let prefix = request.query("prefix");
        let mut state = self.state.lock().expect("lock");
        loop {
            if state.mode == StoreMode::Silent {
                drop(state);
                return self.hold();
            }
            state.expire();
            if after < state.dropped {
                return Reply::Answer(410, json!({}));
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| event.json.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let at = state.revision;
                return Reply::Answer(200, json!({ "events": events, "at": at }));
            }
            // Leases may run out without a call.
            let wait = (end - now).min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, wait).expect("lock").0;
        }
    }

    fn transact(&self, body: &Value) -> Reply {
        let mut state = self.state.lock().expect("lock");
        state.expire();
        let empty = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&empty);
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let revision = |key: &Value| {
            let item = state.items.get(key.as_str().unwrap_or_default());
            item.map_or(0, |item| item.revision)
        };
        let expected = list("expected");
        if expected.iter().any(|row| json!(revision(&row["key"])) != row["revision"]) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    Some(item_json(key, state.items.get(key)?))
                })
                .collect();
            return Reply::Answer(412, json!({ "items": items }));
        }
        let lease = |write: &Value| write["lease"].as_u64().unwrap_or(0);
        let gone = |lease: u64| lease != 0 && !state.leases.contains_key(&lease);
        if list("writes").iter().any(|write| gone(lease(write))) {
            return Reply::Answer(404, json!({}));
        }
        state.revision += 1;
        for write in list("writes") {
            state.write(&text(&write["key"]), text(&write["value"]), lease(write));
        }
        for key in list("remove") {
            state.remove(&text(key));
        }
        self.changed.notify_all();
        Reply::Answer(200, json!({ "revision": state.revision }))
    }

    fn grant_lease(&self, body: &Value) -> Reply {
        let mut state = self.state.lock().expect("lock");
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(0).clamp(1000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        Reply::Answer(200, json!({ "lease": lease, "ttl_ms": ttl_ms }))
    }

    fn keep_lease(&self, lease: u64) -> Reply {
        let mut state = self.state.lock().expect("lock");
        state.expire();
        match state.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                Reply::Answer(200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
            }
            None => Reply::Answer(404, json!({})),
        }
    }

    fn end_lease(&self, lease: u64) -> Reply {
        let mut state = self.state.lock().expect("lock");
        state.expire();
        let known = state.leases.contains_key(&lease);
        state.drop_lease(lease);
        self.changed.notify_all();
        Reply::Answer(if known { 200 } else { 404 }, json!({}))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.note(key, item_json(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.note(key, json!({ "key": key, "revision": revision, "deleted": true }));
        }
    }

    fn note(&mut self, key: &str, json: Value) {
        let at = Instant::now();
        while self.history.first().is_some_and(|event| at > event.at + HISTORY) {
            self.dropped = self.history.remove(0).revision;
        }
        let revision = self.revision;
        self.history.push(Event { revision, key: key.to_owned(), json, at });
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = leases.map(|(&lease, _)| lease).collect();
        ended.into_iter().for_each(|lease| self.drop_lease(lease));
    }

    fn drop_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}
