//! The adapter for the store's published JSON gateway (etcd v3).

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::Value;
use serde_json::json;

use crate::NodeError;
use crate::Result;
use crate::http_client::HttpClient;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreCommit;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreRecord;
use crate::platform_store::StoreWrite;

/// The store behind its JSON gateway.
pub(crate) struct EtcdStore {
    client: HttpClient,
    url: String,
}

impl EtcdStore {
    /// Creates an adapter for the gateway at a base URL.
    pub(crate) fn new(client: HttpClient, url: &str) -> Self {
        EtcdStore { client, url: url.to_owned() }
    }

    /// Calls a method of the gateway.
    fn call(&self, path: &str, body: Value) -> LocalBoxFuture<'static, Result<Value>> {
        let client = self.client.clone();
        let url = format!("{}{path}", self.url);
        async move { client.post("store", &url, &body).await }.boxed_local()
    }
}

impl PlatformStore for EtcdStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreRecord>>> {
        let call = self.call("/v3/kv/range", json!({ "key": encode(key.as_bytes()) }));
        async move { Ok(read_records(&call.await?)?.into_iter().next()) }.boxed_local()
    }

    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<Vec<StoreRecord>>> {
        // The least key after another one is that key with a zero byte behind it.
        let first = after.map_or(prefix.to_owned(), |key| format!("{key}\0"));
        let body = json!({
            "key": encode(first.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
            "limit": limit.to_string(),
        });
        let call = self.call("/v3/kv/range", body);
        async move { read_records(&call.await?) }.boxed_local()
    }

    fn commit(
        &self,
        conditions: &[StoreCondition],
        writes: &[StoreWrite],
    ) -> LocalBoxFuture<'static, Result<StoreCommit>> {
        let compare: Vec<Value> = conditions.iter().map(write_condition).collect();
        let success: Vec<Value> = writes.iter().map(write_operation).collect();
        let call =
            self.call("/v3/kv/txn", json!({ "compare": compare, "success": success }));
        async move {
            let answer = call.await?;
            let succeeded = answer["succeeded"].as_bool().unwrap_or(false);
            let revision = read_number(&answer["header"]["revision"]);
            Ok(StoreCommit { succeeded, revision })
        }
        .boxed_local()
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<i64>> {
        let seconds = ttl.as_secs().max(1).to_string();
        let call = self.call("/v3/lease/grant", json!({ "TTL": seconds, "ID": "0" }));
        async move { Ok(read_number(&call.await?["ID"])) }.boxed_local()
    }

    fn renew_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<bool>> {
        let call = self.call("/v3/lease/keepalive", json!({ "ID": lease.to_string() }));
        async move { Ok(read_number(&call.await?["result"]["TTL"]) > 0) }.boxed_local()
    }

    fn revoke_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<()>> {
        let call = self.call("/v3/lease/revoke", json!({ "ID": lease.to_string() }));
        async move { call.await.map(|_| ()) }.boxed_local()
    }
}

/// Writes a condition.
fn write_condition(condition: &StoreCondition) -> Value {
    match condition {
        StoreCondition::Absent(key) => json!({
            "key": encode(key.as_bytes()),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }),
        StoreCondition::Unchanged(key, revision) => json!({
            "key": encode(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
    }
}

/// Writes an operation.
fn write_operation(write: &StoreWrite) -> Value {
    match write {
        StoreWrite::Put { key, value, lease } => json!({
            "request_put": {
                "key": encode(key.as_bytes()),
                "value": encode(value),
                "lease": lease.unwrap_or(0).to_string(),
            }
        }),
        StoreWrite::Delete(key) => {
            json!({ "request_delete_range": { "key": encode(key.as_bytes()) } })
        }
        StoreWrite::DeleteRange(first, end) => json!({
            "request_delete_range": {
                "key": encode(first.as_bytes()),
                "range_end": encode(end.as_bytes()),
            }
        }),
    }
}

/// Reads the records of a range answer.
fn read_records(answer: &Value) -> Result<Vec<StoreRecord>> {
    let none = Vec::new();
    let records = answer["kvs"].as_array().unwrap_or(&none);
    records.iter().map(read_record).collect()
}

/// Reads one record.
fn read_record(record: &Value) -> Result<StoreRecord> {
    let key = decode(&record["key"])?;
    Ok(StoreRecord {
        key: String::from_utf8_lossy(&key).into_owned(),
        value: decode(&record["value"])?,
        mod_revision: read_number(&record["mod_revision"]),
    })
}

/// Reads a 64-bit number, which the gateway writes as a string and leaves out when it is zero.
fn read_number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// Encodes bytes.
fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes bytes; a missing value is empty.
fn decode(value: &Value) -> Result<Vec<u8>> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|error| NodeError::Store { message: error.to_string() })
}

/// Returns the least key after every key with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
