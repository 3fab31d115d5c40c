//! The platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::web;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::lock;
use crate::stand_in::unix_millis;

use super::FleetFaults;
use super::SharedStore;

/// The most items of a page.
const PAGE: usize = 500;
/// The time between two looks of a watch that waits.
const WATCH_LOOK: Duration = Duration::from_millis(10);
/// How long a call that gets no answer is held.
const SILENCE: Duration = Duration::from_secs(5);

/// An item.
#[derive(Debug, Clone)]
struct KvItem {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The items, the leases and the history.
#[derive(Debug, Default)]
pub struct KvStore {
    items: BTreeMap<String, KvItem>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    history: Vec<(u64, String, Value)>,
    /// The revision up to which the history was dropped.
    forgotten: u64,
    pub(super) faults: FleetFaults,
}

impl KvStore {
    /// Writes an item that the system may not write.
    pub(super) fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.write(key, STANDARD.encode(value), 0);
    }

    /// Writes the entry of a worker.
    pub(super) fn register(
        &mut self,
        id: &str,
        address: &str,
        cores: u64,
        memory_gb: u64,
    ) {
        let entry = json!({
            "service": "service", "address": address, "zone": "d0", "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq_no": 1,
            "capacity": { "cpu": cores * 1000, "mem_mb": memory_gb * 1024, "gpu": 0 },
            "labels": ["a", "r1"], "born": unix_millis(),
        });
        self.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        self.put(&format!("servers/{id}-broken"), b"{");
    }

    /// Writes an item at the present revision.
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = KvItem { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), show(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes an item at the present revision.
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = json!({ "key": key, "revision": revision, "deleted": true });
            self.history.push((revision, key.to_owned(), event));
        }
    }

    /// Drops the history; watches from before begin anew.
    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    /// Removes the items of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    /// Ends a lease.
    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if known && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        known
    }

    /// Makes a transaction.
    fn transact(&mut self, body: &WireTxn) -> HttpResponse {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if body.expected.iter().any(|row| revision(&row.key) != row.revision) {
            let items = body.expected.iter().filter_map(|row| {
                self.items.get(&row.key).map(|item| show(&row.key, item))
            });
            let items: Vec<Value> = items.collect();
            return HttpResponse::PreconditionFailed().json(json!({ "items": items }));
        }
        let live = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !body.writes.iter().all(|write| live(write.lease)) {
            return HttpResponse::NotFound().json(json!({}));
        }
        self.revision += 1;
        for write in &body.writes {
            self.write(&write.key, write.value.clone(), write.lease);
        }
        body.remove.iter().for_each(|key| self.remove(key));
        HttpResponse::Ok().json(json!({ "revision": self.revision }))
    }
}

/// Shows an item.
fn show(key: &str, item: &KvItem) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

/// A condition of a transaction.
#[derive(Debug, Deserialize)]
struct WireExpected {
    key: String,
    revision: u64,
}

/// A write of a transaction.
#[derive(Debug, Deserialize)]
struct WirePut {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// A transaction.
#[derive(Debug, Deserialize)]
#[serde(default)]
#[derive(Default)]
struct WireTxn {
    expected: Vec<WireExpected>,
    writes: Vec<WirePut>,
    remove: Vec<String>,
}

/// What a read wants.
#[derive(Debug, Deserialize)]
struct WireRead {
    #[serde(default)]
    key: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    wait_ms: u64,
}

/// Adds the store's calls.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/-/kv-key", web::get().to(read_key))
        .route("/-/kv-range", web::get().to(read_range))
        .route("/-/kv-watch", web::get().to(watch))
        .route("/-/kv-txn", web::post().to(transact))
        .route("/-/kv-lease", web::post().to(grant_lease))
        .route("/-/kv-keep/{lease}", web::post().to(keep_lease))
        .route("/-/kv-lease-end/{lease}", web::delete().to(end_lease));
}

/// Returns the answer of a store that refuses all calls, if it does.
fn busy(store: &KvStore) -> Option<HttpResponse> {
    store.faults.store_busy.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Returns whether a read of a key or prefix is to be refused.
fn hidden(store: &KvStore, key: &str) -> bool {
    store.faults.config_hidden && key.starts_with("op/")
}

/// Reads an item.
async fn read_key(store: SharedStore, query: web::Query<WireRead>) -> HttpResponse {
    let mut store = lock(&store);
    store.expire();
    if let Some(answer) = busy(&store) {
        return answer;
    }
    if hidden(&store, &query.key) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match store.items.get(&query.key) {
        Some(item) => HttpResponse::Ok().json(show(&query.key, item)),
        None => HttpResponse::NotFound().json(json!({})),
    }
}

/// Reads items.
async fn read_range(store: SharedStore, query: web::Query<WireRead>) -> HttpResponse {
    let mut store = lock(&store);
    store.expire();
    if let Some(answer) = busy(&store) {
        return answer;
    }
    let matching = store
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&query.prefix) && **key > query.after);
    let mut items: Vec<Value> =
        matching.take(PAGE + 1).map(|(key, item)| show(key, item)).collect();
    let more = items.len() > PAGE;
    items.truncate(PAGE);
    let at = store.revision;
    HttpResponse::Ok().json(json!({ "items": items, "has_more": more, "at": at }))
}

/// Awaits changes.
async fn watch(store: SharedStore, query: web::Query<WireRead>) -> HttpResponse {
    let after: u64 = query.after.parse().unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut store = lock(&store);
            store.expire();
            if let Some(answer) = busy(&store) {
                return answer;
            }
            if hidden(&store, &query.prefix) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if after < store.forgotten {
                return HttpResponse::Gone().json(json!({}));
            }
            let events = store.history.iter().filter(|(revision, key, _)| {
                *revision > after && key.starts_with(&query.prefix)
            });
            let events: Vec<Value> = events.map(|(_, _, event)| event.clone()).collect();
            if !events.is_empty() || Instant::now() >= end {
                let at = store.revision;
                return HttpResponse::Ok().json(json!({ "events": events, "at": at }));
            }
        }
        tokio::time::sleep(WATCH_LOOK).await;
    }
}

/// Makes a transaction, perhaps late and without an answer.
async fn transact(store: SharedStore, body: web::Json<WireTxn>) -> HttpResponse {
    let faults = lock(&store).faults;
    if faults.store_late_ms > 0 && !faults.store_busy {
        let late = Duration::from_millis(faults.store_late_ms);
        let body = body.into_inner();
        actix_rt::spawn(async move {
            tokio::time::sleep(late).await;
            let mut store = lock(&store);
            store.expire();
            store.transact(&body);
        });
        tokio::time::sleep(SILENCE).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    let answer = {
        let mut store = lock(&store);
        store.expire();
        match busy(&store) {
            Some(answer) => return answer,
            None => store.transact(&body),
        }
    };
    let silence = if faults.store_lost { SILENCE } else { Duration::ZERO };
    tokio::time::sleep(silence + Duration::from_millis(faults.store_delay_ms)).await;
    answer
}

/// Grants a lease.
async fn grant_lease(store: SharedStore, body: web::Json<Value>) -> HttpResponse {
    let mut store = lock(&store);
    if let Some(answer) = busy(&store) {
        return answer;
    }
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1000));
    store.revision += 1;
    let lease = store.revision;
    store.leases.insert(lease, (ttl, Instant::now() + ttl));
    let ttl_ms = ttl.as_millis() as u64;
    HttpResponse::Ok().json(json!({ "lease": lease, "ttl_ms": ttl_ms }))
}

/// Renews a lease.
async fn keep_lease(store: SharedStore, lease: web::Path<u64>) -> HttpResponse {
    let mut store = lock(&store);
    store.expire();
    if let Some(answer) = busy(&store) {
        return answer;
    }
    match store.leases.get_mut(&lease) {
        Some((ttl, end)) => {
            *end = Instant::now() + *ttl;
            HttpResponse::Ok().json(json!({ "ttl_ms": ttl.as_millis() as u64 }))
        }
        None => HttpResponse::NotFound().json(json!({})),
    }
}

/// Ends a lease.
async fn end_lease(store: SharedStore, lease: web::Path<u64>) -> HttpResponse {
    let mut store = lock(&store);
    if let Some(answer) = busy(&store) {
        return answer;
    }
    match store.end_lease(*lease) {
        true => HttpResponse::Ok().json(json!({})),
        false => HttpResponse::NotFound().json(json!({})),
    }
}
