//! The stand-in for the platform's key-value store.

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

use super::FleetFaults;
use super::SharedStore;
use super::odd_entries::odd_entries;

/// The key prefix of the operators' requests to evacuate a domain.
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// The maximum number of items in a page.
const MAX_PAGE_ITEMS: usize = 500;
/// The interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);
/// The time for which a call is held that gets no response in time.
const NO_RESPONSE_DELAY: Duration = Duration::from_secs(5);

/// An item of the store.
#[derive(Debug, Clone)]
struct KvItem {
    /// The value in Base64.
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

/// The items, the leases and the history.
#[derive(Debug, Default)]
pub struct KvStore {
    items: BTreeMap<String, KvItem>,
    revision: u64,
    /// The time to live and the expiry of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    /// The revision, the key and the event of each change.
    history: Vec<(u64, String, Value)>,
    /// The revision up to which the history was compacted.
    compacted_revision: u64,
    pub(super) faults: FleetFaults,
}

impl KvStore {
    /// Writes an item that only the platform and its operators may write, not the system.
    pub(super) fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.write(key, STANDARD.encode(value), 0);
    }

    /// Writes the entry of a worker, and a malformed entry beside it.
    pub(super) fn register_worker(
        &mut self,
        id: &str,
        address: &str,
        domain: &str,
        cores: u64,
        memory_gb: u64,
        started_unix_ms: u64,
    ) {
        let entry = json!({
            "service": "service", "address": address, "zone": domain, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq_no": 1,
            "capacity": { "cpu": cores * 1000, "mem_mb": memory_gb * 1024, "gpu": 0 },
            "labels": ["a", "r1"], "born": started_unix_ms,
        });
        self.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        self.put(&format!("servers/{id}-broken"), b"{");
    }

    /// Writes the entry of a worker anew that has started at a time; it may have been removed.
    pub(super) fn set_worker_start(&mut self, id: &str, started_unix_ms: u64) {
        let key = format!("servers/{id}");
        if let Some(mut entry) = self.entry(&key) {
            entry["born"] = json!(started_unix_ms);
            self.put(&key, entry.to_string().as_bytes());
        }
    }

    /// Replaces the entry of a worker by that of its next incarnation, which has another id.
    pub(super) fn replace_worker(&mut self, former: &str, id: &str) {
        let key = format!("servers/{former}");
        if let Some(entry) = self.entry(&key) {
            self.put(&format!("servers/{id}"), entry.to_string().as_bytes());
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Changes the processors in a worker's entry.
    pub(super) fn set_worker_cores(&mut self, id: &str, cores: u64) {
        let key = format!("servers/{id}");
        if let Some(mut entry) = self.entry(&key) {
            entry["capacity"]["cpu"] = json!(cores * 1000);
            self.put(&key, entry.to_string().as_bytes());
        }
    }

    /// Changes the service in a worker's entry.
    pub(super) fn set_worker_service(&mut self, id: &str, service: &str) {
        let key = format!("servers/{id}");
        if let Some(mut entry) = self.entry(&key) {
            entry["service"] = json!(service);
            self.put(&key, entry.to_string().as_bytes());
        }
    }

    /// Returns the decoded value of an item, if it is valid.
    fn entry(&self, key: &str) -> Option<Value> {
        let bytes = STANDARD.decode(&self.items.get(key)?.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Changes the state in a worker's entry, or removes the entry if there is no new state.
    pub(super) fn set_worker_state(&mut self, id: &str, state: Option<&str>) {
        let key = format!("servers/{id}");
        let Some(state) = state else {
            self.revision += 1;
            self.remove(&key);
            return;
        };
        if let Some(mut entry) = self.entry(&key) {
            entry["state"] = json!(state);
            self.put(&key, entry.to_string().as_bytes());
        }
    }

    /// Writes or removes entries among those of the workers that name no usable worker.
    pub(super) fn list_odd_workers(&mut self, listed: bool) {
        for (name, value) in odd_entries() {
            let key = format!("servers/{name}");
            if listed {
                self.put(&key, value.as_bytes());
            } else {
                self.revision += 1;
                self.remove(&key);
            }
        }
    }

    /// Writes or removes the request to evacuate a domain.
    pub(super) fn set_evacuation(&mut self, domain: &str, requested: bool) {
        let key = format!("{EVACUATION_PREFIX}{domain}");
        if requested {
            self.put(&key, b"{}");
        } else {
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Writes an item at the current revision.
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let create_revision =
            self.items.get(key).map_or(revision, |item| item.create_revision);
        let item = KvItem { value, revision, create_revision, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes an item at the current revision.
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = json!({ "key": key, "revision": revision, "deleted": true });
            self.history.push((revision, key.to_owned(), event));
        }
    }

    /// Drops the history; watches from earlier revisions get status 410 and must start over.
    pub(super) fn compact_history(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Removes the leases that have expired, with their items.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    /// Removes a lease and its items; returns whether the lease existed.
    fn remove_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if existed && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        existed
    }

    /// Executes a transaction if its conditions hold and its leases exist.
    fn transact(&mut self, body: &WireTransaction) -> HttpResponse {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if body
            .expected
            .iter()
            .any(|condition| revision(&condition.key) != condition.revision)
        {
            let items = body.expected.iter().filter_map(|condition| {
                self.items.get(&condition.key).map(|item| item_json(&condition.key, item))
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

/// Returns the JSON of an item.
fn item_json(key: &str, item: &KvItem) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "created": item.create_revision, "lease": item.lease,
    })
}

/// A condition of a transaction; revision 0 means that the key doesn't exist.
#[derive(Debug, Deserialize)]
struct WireCondition {
    key: String,
    revision: u64,
}

/// A write of a transaction; lease 0 means none.
#[derive(Debug, Deserialize)]
struct WireWrite {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// A transaction.
#[derive(Debug, Deserialize)]
#[serde(default)]
#[derive(Default)]
struct WireTransaction {
    expected: Vec<WireCondition>,
    writes: Vec<WireWrite>,
    remove: Vec<String>,
}

/// The query of a read or a watch.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    key: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    wait_ms: u64,
}

/// Adds the routes of the store.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/-/kv-key", web::get().to(read_key))
        .route("/-/kv-range", web::get().to(read_range))
        .route("/-/kv-watch", web::get().to(watch))
        .route("/-/kv-txn", web::post().to(transact))
        .route("/-/kv-lease", web::post().to(grant_lease))
        .route("/-/kv-keep/{lease}", web::post().to(renew_lease))
        .route("/-/kv-lease-end/{lease}", web::delete().to(revoke_lease));
}

/// Returns the refusal of a call if the store refuses all calls.
fn busy_response(store: &KvStore) -> Option<HttpResponse> {
    store.faults.store_busy.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Returns whether a read of a key, or a read or watch of a prefix, is refused.
fn is_hidden(store: &KvStore, key: &str) -> bool {
    let evacuation = key.starts_with(EVACUATION_PREFIX);
    store.faults.config_hidden && key.starts_with("op/") && !evacuation
        || store.faults.evacuations_hidden && evacuation
}

/// Returns an item.
async fn read_key(store: SharedStore, query: web::Query<ReadQuery>) -> HttpResponse {
    let mut store = lock(&store);
    store.expire_leases();
    if let Some(response) = busy_response(&store) {
        return response;
    }
    if is_hidden(&store, &query.key) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match store.items.get(&query.key) {
        Some(item) => HttpResponse::Ok().json(item_json(&query.key, item)),
        None => HttpResponse::NotFound().json(json!({})),
    }
}

/// Returns a page of the items under a prefix.
async fn read_range(store: SharedStore, query: web::Query<ReadQuery>) -> HttpResponse {
    let delay = lock(&store).faults.range_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let mut store = lock(&store);
    store.expire_leases();
    if let Some(response) = busy_response(&store) {
        return response;
    }
    if is_hidden(&store, &query.prefix) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let matching = store
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&query.prefix) && **key > query.after);
    let mut items: Vec<Value> = matching
        .take(MAX_PAGE_ITEMS + 1)
        .map(|(key, item)| item_json(key, item))
        .collect();
    let more = items.len() > MAX_PAGE_ITEMS;
    items.truncate(MAX_PAGE_ITEMS);
    let at = store.revision;
    HttpResponse::Ok().json(json!({ "items": items, "has_more": more, "at": at }))
}

/// Waits for changes under a prefix.
async fn watch(store: SharedStore, query: web::Query<ReadQuery>) -> HttpResponse {
    let after: u64 = query.after.parse().unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut store = lock(&store);
            store.expire_leases();
            if let Some(response) = busy_response(&store) {
                return response;
            }
            if is_hidden(&store, &query.prefix) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if after < store.compacted_revision {
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
        tokio::time::sleep(WATCH_POLL).await;
    }
}

/// Executes a transaction, with the injected delays and lost responses.
async fn transact(store: SharedStore, body: web::Json<WireTransaction>) -> HttpResponse {
    let faults = lock(&store).faults;
    if faults.store_late_ms > 0 && !faults.store_busy {
        let late = Duration::from_millis(faults.store_late_ms);
        let body = body.into_inner();
        actix_rt::spawn(async move {
            tokio::time::sleep(late).await;
            let mut store = lock(&store);
            store.expire_leases();
            store.transact(&body);
        });
        tokio::time::sleep(NO_RESPONSE_DELAY).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    let response = {
        let mut store = lock(&store);
        store.expire_leases();
        match busy_response(&store) {
            Some(response) => return response,
            None => store.transact(&body),
        }
    };
    let delay = if faults.store_lost { NO_RESPONSE_DELAY } else { Duration::ZERO };
    tokio::time::sleep(delay + Duration::from_millis(faults.store_delay_ms)).await;
    response
}

async fn grant_lease(store: SharedStore, body: web::Json<Value>) -> HttpResponse {
    let mut store = lock(&store);
    if let Some(response) = busy_response(&store) {
        return response;
    }
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1000));
    store.revision += 1;
    let lease = store.revision;
    store.leases.insert(lease, (ttl, Instant::now() + ttl));
    let ttl_ms = ttl.as_millis() as u64;
    HttpResponse::Ok().json(json!({ "lease": lease, "ttl_ms": ttl_ms }))
}

async fn renew_lease(store: SharedStore, lease: web::Path<u64>) -> HttpResponse {
    let mut store = lock(&store);
    store.expire_leases();
    if let Some(response) = busy_response(&store) {
        return response;
    }
    match store.leases.get_mut(&lease) {
        Some((ttl, end)) => {
            *end = Instant::now() + *ttl;
            HttpResponse::Ok().json(json!({ "ttl_ms": ttl.as_millis() as u64 }))
        }
        None => HttpResponse::NotFound().json(json!({})),
    }
}

/// Revokes a lease, which removes its items.
async fn revoke_lease(store: SharedStore, lease: web::Path<u64>) -> HttpResponse {
    let mut store = lock(&store);
    if let Some(response) = busy_response(&store) {
        return response;
    }
    match store.remove_lease(*lease) {
        true => HttpResponse::Ok().json(json!({})),
        false => HttpResponse::NotFound().json(json!({})),
    }
}
