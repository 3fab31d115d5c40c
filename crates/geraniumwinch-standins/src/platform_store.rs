//! A stand-in for the key-value service: the subset of the etcd v3 JSON gateway that the system uses.

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

const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The value, the revisions and the lease of a key.
#[derive(Debug, Clone)]
struct StoredKey {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    lease: i64,
}

#[derive(Debug, Clone, Copy)]
struct StoredLease {
    ttl: Duration,
    expires_at: Instant,
}

/// The injected faults.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct StoreFaults {
    /// Refuse every call with status 503.
    down: bool,
    /// Leave every call without a response for 30 s, then refuse it.
    hang: bool,
    /// The delay of every call, in milliseconds.
    slow_ms: u64,
    /// The number of further writes that are applied but reported as failed.
    lose_answers: u64,
    /// Refuse reads of keys that contain this, unless it is empty.
    unreadable: String,
}

impl StoreFaults {
    /// Returns whether a read is refused.
    fn hides(&self, body: &Value) -> bool {
        let key = decode_bytes(&body["key"]);
        let key = String::from_utf8_lossy(&key);
        !self.unreadable.is_empty() && key.contains(&self.unreadable)
    }
}

/// The contents, the faults and the statistics of the store.
#[derive(Debug, Default)]
struct StoreState {
    revision: i64,
    keys: BTreeMap<Vec<u8>, StoredKey>,
    leases: BTreeMap<i64, StoredLease>,
    /// The ID of the lease that was granted last.
    last_lease: i64,
    faults: StoreFaults,
    /// The number of calls by path.
    calls: BTreeMap<String, u64>,
    bytes_in: u64,
}

/// The state shared by all handlers.
type Store = web::Data<Mutex<StoreState>>;

/// Serves requests until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let store =
        web::Data::new(Mutex::new(StoreState { revision: 1, ..Default::default() }));
    HttpServer::new(move || {
        App::new()
            .app_data(store.clone())
            .app_data(web::PayloadConfig::new(16 * MAX_VALUE_BYTES))
            .route("/faults", web::post().to(set_faults))
            .route("/account", web::get().to(show_statistics))
            .route("/v3/{path:.*}", web::post().to(handle_call))
    })
    .workers(1)
    .bind(options.listen)?
    .run()
    .await
}

/// Replaces the injected faults.
async fn set_faults(store: Store, faults: web::Json<StoreFaults>) -> HttpResponse {
    lock(&store).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Returns the calls by path, the bytes received, the keys, the largest value and the revision.
async fn show_statistics(store: Store) -> HttpResponse {
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

/// Handles a call of the JSON gateway.
async fn handle_call(
    store: Store,
    path: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let path = path.into_inner();
    let faults = {
        let mut state = lock(&store);
        *state.calls.entry(path.clone()).or_default() += 1;
        state.bytes_in += body.len() as u64;
        state.faults.clone()
    };
    if faults.hang {
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down || faults.hang {
        return unavailable_response();
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return invalid_argument_response("the request body is not valid JSON");
    };
    if path == "kv/range" && faults.hides(&body) {
        return unavailable_response();
    }
    let mut state = lock(&store);
    state.expire_leases();
    let before = state.revision;
    let response = match path.as_str() {
        "kv/range" => state.range(&body),
        "kv/txn" => state.transact(&body),
        "lease/grant" => state.grant(&body),
        "lease/keepalive" => state.keep_alive(&body),
        "lease/revoke" => state.revoke(&body),
        _ => return invalid_argument_response("unknown method"),
    };
    let wrote = state.revision != before;
    if wrote && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return unavailable_response();
    }
    match response {
        Ok(response) => HttpResponse::Ok().json(response),
        Err(message) => invalid_argument_response(message),
    }
}

/// Returns the response of a gateway that can't reach its server (gRPC code 14, `UNAVAILABLE`).
fn unavailable_response() -> HttpResponse {
    let body = json!({ "code": 14, "message": "unavailable", "error": "unavailable" });
    HttpResponse::ServiceUnavailable().json(body)
}

/// Returns the response to a malformed call (gRPC code 3, `INVALID_ARGUMENT`).
fn invalid_argument_response(message: &str) -> HttpResponse {
    let body = json!({ "code": 3, "message": message, "error": message });
    HttpResponse::BadRequest().json(body)
}

/// Decodes Base64; an absent or malformed value is empty.
fn decode_bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Parses a number that may be a string; an absent or malformed number is 0.
fn parse_number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

impl StoreState {
    /// Returns the header of a response.
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Removes the leases that have expired, with their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(&id, _)| id)
            .collect();
        expired.into_iter().for_each(|id| self.remove_lease(id));
    }

    /// Removes a lease and its keys.
    fn remove_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let before = self.keys.len();
        self.keys.retain(|_, key| key.lease != id);
        if self.keys.len() != before {
            self.revision += 1;
        }
    }

    /// Reads a key, or the keys of a range.
    fn range(&self, body: &Value) -> Result<Value, &'static str> {
        let first = decode_bytes(&body["key"]);
        let end = decode_bytes(&body["range_end"]);
        let limit = match parse_number(&body["limit"]) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let found: Vec<(&Vec<u8>, &StoredKey)> = if end.is_empty() {
            self.keys.get_key_value(&first).into_iter().collect()
        } else {
            self.keys.range(first..end).collect()
        };
        let mut response = json!({ "header": self.header() });
        if !found.is_empty() {
            response["count"] = json!(found.len().to_string());
            let rows = found.iter().take(limit).map(|(key, stored)| {
                json!({
                    "key": STANDARD.encode(key),
                    "value": STANDARD.encode(&stored.value),
                    "create_revision": stored.create_revision.to_string(),
                    "mod_revision": stored.mod_revision.to_string(),
                })
            });
            response["kvs"] = rows.collect();
        }
        Ok(response)
    }

    /// Applies the `success` or `failure` operations of a transaction, depending on its conditions.
    fn transact(&mut self, body: &Value) -> Result<Value, &'static str> {
        let none = Vec::new();
        let compare = body["compare"].as_array().unwrap_or(&none);
        let succeeded = compare.iter().all(|condition| self.holds(condition));
        let branch = if succeeded { &body["success"] } else { &body["failure"] };
        let operations = branch.as_array().unwrap_or(&none);
        for operation in operations {
            if decode_bytes(&operation["request_put"]["value"]).len() > MAX_VALUE_BYTES {
                return Err("a value exceeds 1 MiB");
            }
        }
        if !operations.is_empty() {
            self.revision += 1;
        }
        operations.iter().for_each(|operation| self.write(operation));
        let mut response = json!({ "header": self.header() });
        if succeeded {
            response["succeeded"] = json!(true);
        }
        Ok(response)
    }

    /// Returns whether a condition holds; a missing key has revision 0.
    fn holds(&self, condition: &Value) -> bool {
        let key = self.keys.get(&decode_bytes(&condition["key"]));
        let (actual, wanted) = match condition["target"].as_str() {
            Some("CREATE") => (
                key.map_or(0, |key| key.create_revision),
                parse_number(&condition["create_revision"]),
            ),
            _ => (
                key.map_or(0, |key| key.mod_revision),
                parse_number(&condition["mod_revision"]),
            ),
        };
        actual == wanted
    }

    /// Applies a put or a deletion at the current revision.
    fn write(&mut self, operation: &Value) {
        let put = &operation["request_put"];
        if put.is_object() {
            let key = decode_bytes(&put["key"]);
            let create_revision =
                self.keys.get(&key).map_or(self.revision, |key| key.create_revision);
            let stored = StoredKey {
                value: decode_bytes(&put["value"]),
                create_revision,
                mod_revision: self.revision,
                lease: parse_number(&put["lease"]),
            };
            self.keys.insert(key, stored);
        }
        let delete = &operation["request_delete_range"];
        if delete.is_object() {
            let first = decode_bytes(&delete["key"]);
            let end = decode_bytes(&delete["range_end"]);
            if end.is_empty() {
                self.keys.remove(&first);
            } else {
                self.keys.retain(|key, _| *key < first || *key >= end);
            }
        }
    }

    fn grant(&mut self, body: &Value) -> Result<Value, &'static str> {
        self.last_lease += 1;
        let id = self.last_lease;
        let ttl = Duration::from_secs(parse_number(&body["TTL"]).max(1) as u64);
        self.leases.insert(id, StoredLease { ttl, expires_at: Instant::now() + ttl });
        Ok(json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
    }

    /// Renews a lease; the result has no `TTL` if the lease doesn't exist.
    fn keep_alive(&mut self, body: &Value) -> Result<Value, &'static str> {
        let id = parse_number(&body["ID"]);
        let mut result = json!({ "ID": id.to_string() });
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = Instant::now() + lease.ttl;
            result["TTL"] = json!(lease.ttl.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }

    /// Revokes a lease, which removes its keys.
    fn revoke(&mut self, body: &Value) -> Result<Value, &'static str> {
        self.remove_lease(parse_number(&body["ID"]));
        Ok(json!({ "header": self.header() }))
    }
}
