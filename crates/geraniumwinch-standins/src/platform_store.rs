//! A stand-in for the key-value service: the subset of etcd v3's JSON gateway that is relied on.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::StandInOptions;
use crate::stand_in::lock;

/// The greatest value in bytes.
const MAX_VALUE: usize = 1024 * 1024;

/// A key's value and revisions.
#[derive(Debug, Clone)]
struct StoredKey {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    lease: i64,
}

/// A lease.
#[derive(Debug, Clone, Copy)]
struct StoredLease {
    ttl: Duration,
    expires: Instant,
}

/// The switches of faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct StoreFaults {
    /// Refuse every call.
    down: bool,
    /// Leave every call without an answer.
    hang: bool,
    /// Answer every call this much later, in milliseconds.
    slow_ms: u64,
    /// Make this many writes and answer them with an error.
    lose_answers: u64,
}

/// The store's state.
#[derive(Debug, Default)]
struct StoreState {
    revision: i64,
    keys: BTreeMap<Vec<u8>, StoredKey>,
    leases: BTreeMap<i64, StoredLease>,
    next_lease: i64,
    faults: StoreFaults,
    calls: BTreeMap<String, u64>,
    bytes_in: u64,
}

/// The shared state of the handlers.
type Store = web::Data<Mutex<StoreState>>;

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let store =
        web::Data::new(Mutex::new(StoreState { revision: 1, ..Default::default() }));
    HttpServer::new(move || {
        App::new()
            .app_data(store.clone())
            .app_data(web::PayloadConfig::new(16 * MAX_VALUE))
            .route("/faults", web::post().to(set_faults))
            .route("/account", web::get().to(account))
            .route("/v3/{path:.*}", web::post().to(call))
    })
    .workers(1)
    .bind(options.listen)?
    .run()
    .await
}

/// Sets the switches of faults.
async fn set_faults(store: Store, faults: web::Json<StoreFaults>) -> HttpResponse {
    lock(&store).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Tells what the store has seen.
async fn account(store: Store) -> HttpResponse {
    let state = lock(&store);
    let keys: Vec<String> =
        state.keys.keys().map(|key| String::from_utf8_lossy(key).into_owned()).collect();
    let total: u64 = state.calls.values().sum();
    let largest = state.keys.values().map(|key| key.value.len()).max().unwrap_or(0);
    HttpResponse::Ok().json(json!({
        "calls": state.calls, "total": total, "keys": keys, "bytes_in": state.bytes_in,
        "largest_value": largest, "revision": state.revision,
    }))
}

/// Serves a call of the gateway.
async fn call(store: Store, path: web::Path<String>, body: web::Bytes) -> HttpResponse {
    let path = path.into_inner();
    let faults = {
        let mut state = lock(&store);
        *state.calls.entry(path.clone()).or_default() += 1;
        state.bytes_in += body.len() as u64;
        state.faults
    };
    if faults.hang {
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down || faults.hang {
        return unavailable();
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return invalid("the body is no JSON");
    };
    let mut state = lock(&store);
    state.expire_leases();
    let before = state.revision;
    let answer = match path.as_str() {
        "kv/range" => state.range(&body),
        "kv/txn" => state.transact(&body),
        "lease/grant" => state.grant(&body),
        "lease/keepalive" => state.keep_alive(&body),
        "lease/revoke" => state.revoke(&body),
        _ => return invalid("the method is not served"),
    };
    let wrote = state.revision != before;
    if wrote && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return unavailable();
    }
    match answer {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(message) => invalid(message),
    }
}

/// Answers as a gateway whose server is not reached.
fn unavailable() -> HttpResponse {
    let body = json!({ "code": 14, "message": "unavailable", "error": "unavailable" });
    HttpResponse::ServiceUnavailable().json(body)
}

/// Answers a malformed call.
fn invalid(message: &str) -> HttpResponse {
    let body = json!({ "code": 3, "message": message, "error": message });
    HttpResponse::BadRequest().json(body)
}

/// Reads bytes.
fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Reads a number that may be a string.
fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

impl StoreState {
    /// Returns the header of an answer.
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Removes the keys of leases that have lapsed.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(&id, _)| id)
            .collect();
        lapsed.into_iter().for_each(|id| self.end_lease(id));
    }

    /// Ends a lease and removes its keys.
    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let before = self.keys.len();
        self.keys.retain(|_, key| key.lease != id);
        if self.keys.len() != before {
            self.revision += 1;
        }
    }

    /// Reads keys.
    fn range(&self, body: &Value) -> Result<Value, &'static str> {
        let first = bytes(&body["key"]);
        let end = bytes(&body["range_end"]);
        let limit = match number(&body["limit"]) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let found: Vec<(&Vec<u8>, &StoredKey)> = if end.is_empty() {
            self.keys.get_key_value(&first).into_iter().collect()
        } else {
            self.keys.range(first..end).collect()
        };
        let mut answer = json!({ "header": self.header() });
        if !found.is_empty() {
            answer["count"] = json!(found.len().to_string());
            let rows = found.iter().take(limit).map(|(key, stored)| {
                json!({
                    "key": STANDARD.encode(key),
                    "value": STANDARD.encode(&stored.value),
                    "create_revision": stored.create_revision.to_string(),
                    "mod_revision": stored.mod_revision.to_string(),
                })
            });
            answer["kvs"] = rows.collect();
        }
        Ok(answer)
    }

    /// Makes the writes of a transaction if its conditions hold.
    fn transact(&mut self, body: &Value) -> Result<Value, &'static str> {
        let none = Vec::new();
        let compare = body["compare"].as_array().unwrap_or(&none);
        let succeeded = compare.iter().all(|condition| self.holds(condition));
        let branch = if succeeded { &body["success"] } else { &body["failure"] };
        let operations = branch.as_array().unwrap_or(&none);
        for operation in operations {
            if bytes(&operation["request_put"]["value"]).len() > MAX_VALUE {
                return Err("a value is too large");
            }
        }
        if !operations.is_empty() {
            self.revision += 1;
        }
        operations.iter().for_each(|operation| self.write(operation));
        let mut answer = json!({ "header": self.header() });
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        Ok(answer)
    }

    /// Returns whether a condition holds.
    fn holds(&self, condition: &Value) -> bool {
        let key = self.keys.get(&bytes(&condition["key"]));
        let (actual, wanted) = match condition["target"].as_str() {
            Some("CREATE") => (
                key.map_or(0, |key| key.create_revision),
                number(&condition["create_revision"]),
            ),
            _ => (
                key.map_or(0, |key| key.mod_revision),
                number(&condition["mod_revision"]),
            ),
        };
        actual == wanted
    }

    /// Makes one write at the present revision.
    fn write(&mut self, operation: &Value) {
        let put = &operation["request_put"];
        if put.is_object() {
            let key = bytes(&put["key"]);
            let create_revision =
                self.keys.get(&key).map_or(self.revision, |key| key.create_revision);
            let stored = StoredKey {
                value: bytes(&put["value"]),
                create_revision,
                mod_revision: self.revision,
                lease: number(&put["lease"]),
            };
            self.keys.insert(key, stored);
        }
        let delete = &operation["request_delete_range"];
        if delete.is_object() {
            let first = bytes(&delete["key"]);
            let end = bytes(&delete["range_end"]);
            if end.is_empty() {
                self.keys.remove(&first);
            } else {
                self.keys.retain(|key, _| *key < first || *key >= end);
            }
        }
    }

    /// Grants a lease.
    fn grant(&mut self, body: &Value) -> Result<Value, &'static str> {
        self.next_lease += 1;
        let id = self.next_lease;
        let ttl = Duration::from_secs(number(&body["TTL"]).max(1) as u64);
        self.leases.insert(id, StoredLease { ttl, expires: Instant::now() + ttl });
        Ok(json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
    }

    /// Renews a lease.
    fn keep_alive(&mut self, body: &Value) -> Result<Value, &'static str> {
        let id = number(&body["ID"]);
        let mut result = json!({ "ID": id.to_string() });
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires = Instant::now() + lease.ttl;
            result["TTL"] = json!(lease.ttl.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }

    /// Revokes a lease.
    fn revoke(&mut self, body: &Value) -> Result<Value, &'static str> {
        self.end_lease(number(&body["ID"]));
        Ok(json!({ "header": self.header() }))
    }
}
