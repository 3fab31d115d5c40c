//! A sound store of the platform, in memory, with the permission service beside it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;

const PAGE_ITEMS: usize = 500;
const VALUE_BYTES: usize = 1024 * 1024;

#[derive(Clone)]
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
    events: Vec<(u64, String, Value)>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| known && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(&id, _)| id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn transact(&mut self, body: &Value) -> Response {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expected");
        let holds = |row: &Value| {
            let key = row["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        if !expected.iter().all(holds) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| row["key"].as_str())
                .filter_map(|key| Some(item_json(key, self.items.get(key)?)))
                .collect();
            return reply(412, &json!({"items": items}));
        }
        let writes = rows("writes");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let live = |row: &Value| lease(row) == 0 || self.leases.contains_key(&lease(row));
        if !writes.iter().all(live) {
            return reply(404, &json!({}));
        }
        let size = |row: &Value| row["value"].as_str().map_or(0, |v| v.len() / 4 * 3);
        if writes.iter().any(|row| size(row) > VALUE_BYTES) {
            return reply(400, &json!({}));
        }
        self.revision += 1;
        for row in &writes {
            let (key, value) = (row["key"].as_str(), row["value"].as_str());
            self.write(key.unwrap_or_default(), value.unwrap_or_default().into(), lease(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        reply(200, &json!({"revision": self.revision}))
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease})
}

fn reply(status: u16, body: &Value) -> Response {
    (status, body.to_string().into_bytes())
}

impl Store {
    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.write(key, STANDARD.encode(value.to_string()), 0);
        changed.notify_all();
    }

    /// Serves the store on an address.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.handle(request)))
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let (state, changed) = &*self.shared;
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let path = request.path.strip_prefix("/-/").unwrap_or_default();
        if path == "kv-watch" {
            return Some(self.watch(
                &text("prefix"),
                text("after").parse().unwrap_or(0),
                text("wait_ms").parse().unwrap_or(0),
            ));
        }
        let mut state = state.lock().unwrap();
        state.expire();
        let (call, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let response = match (request.method.as_str(), call) {
            ("GET", "kv-key") => match state.items.get(&text("key")) {
                Some(item) => {
                    let mut found = item_json(&text("key"), item);
                    found["at"] = json!(state.revision);
                    reply(200, &found)
                }
                None => reply(404, &json!({})),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (text("prefix"), text("after"));
                let found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut items: Vec<Value> =
                    found.take(PAGE_ITEMS + 1).map(|(k, i)| item_json(k, i)).collect();
                let more = items.len() > PAGE_ITEMS;
                items.truncate(PAGE_ITEMS);
                let page = json!({"items": items, "has_more": more, "at": state.revision});
                reply(200, &page)
            }
            ("POST", "kv-txn") => state.transact(&body),
            ("POST", "kv-lease") => {
                let ttl = body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                state.next_lease += 1;
                let lease = state.next_lease + 100;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                reply(200, &json!({"lease": lease, "ttl_ms": ttl}))
            }
            ("POST", "kv-keep") => match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    reply(200, &json!({"ttl_ms": ttl.as_millis() as u64}))
                }
                None => reply(404, &json!({})),
            },
            ("DELETE", "kv-lease-end") => match state.end_lease(id) {
                true => reply(200, &json!({})),
                false => reply(404, &json!({})),
            },
            _ => reply(404, &json!({})),
        };
        changed.notify_all();
        Some(response)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Response {
        let (state, changed) = &*self.shared;
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = state.lock().unwrap();
        loop {
            state.expire();
            let events: Vec<Value> = state
                .events
                .iter()
                .rev()
                .take_while(|(revision, ..)| *revision > after)
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(.., event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<Value> = events.into_iter().rev().collect();
                return reply(200, &json!({"events": events, "at": state.revision}));
            }
            let wait = left.min(Duration::from_millis(50));
            state = changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}
