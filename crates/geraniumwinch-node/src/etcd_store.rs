//! The client of the store's JSON gateway (etcd v3).

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

/// A store that is accessed through the JSON gateway of etcd.
pub(crate) struct EtcdStore {
    client: HttpClient,
    url: String,
}

impl EtcdStore {
    /// Creates a client for the gateway at a base URL.
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
        let call =
            self.call("/v3/kv/range", json!({ "key": encode_base64(key.as_bytes()) }));
        async move { Ok(decode_records(&call.await?)?.into_iter().next()) }.boxed_local()
    }

    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<Vec<StoreRecord>>> {
        // The key that follows another one directly is that key with a zero byte appended.
        let first = after.map_or(prefix.to_owned(), |key| format!("{key}\0"));
        let body = json!({
            "key": encode_base64(first.as_bytes()),
            "range_end": encode_base64(&prefix_end(prefix)),
            "limit": limit.to_string(),
        });
        let call = self.call("/v3/kv/range", body);
        async move { decode_records(&call.await?) }.boxed_local()
    }

    fn commit(
        &self,
        conditions: &[StoreCondition],
        writes: &[StoreWrite],
    ) -> LocalBoxFuture<'static, Result<StoreCommit>> {
        let compare: Vec<Value> = conditions.iter().map(encode_condition).collect();
        let success: Vec<Value> = writes.iter().map(encode_write).collect();
        let call =
            self.call("/v3/kv/txn", json!({ "compare": compare, "success": success }));
        async move {
            let response = call.await?;
            let succeeded = response["succeeded"].as_bool().unwrap_or(false);
            let revision = decode_integer(&response["header"]["revision"]);
            Ok(StoreCommit { succeeded, revision })
        }
        .boxed_local()
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<i64>> {
        let seconds = ttl.as_secs().max(1).to_string();
        let call = self.call("/v3/lease/grant", json!({ "TTL": seconds, "ID": "0" }));
        async move { Ok(decode_integer(&call.await?["ID"])) }.boxed_local()
    }

    fn renew_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<bool>> {
        let call = self.call("/v3/lease/keepalive", json!({ "ID": lease.to_string() }));
        async move { Ok(decode_integer(&call.await?["result"]["TTL"]) > 0) }.boxed_local()
    }

    fn revoke_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<()>> {
        let call = self.call("/v3/lease/revoke", json!({ "ID": lease.to_string() }));
        async move { call.await.map(|_| ()) }.boxed_local()
    }
}

fn encode_condition(condition: &StoreCondition) -> Value {
    match condition {
        StoreCondition::Absent(key) => json!({
            "key": encode_base64(key.as_bytes()),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }),
        StoreCondition::Unchanged(key, revision) => json!({
            "key": encode_base64(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
    }
}

fn encode_write(write: &StoreWrite) -> Value {
    match write {
        StoreWrite::Put { key, value, lease } => json!({
            "request_put": {
                "key": encode_base64(key.as_bytes()),
                "value": encode_base64(value),
                "lease": lease.unwrap_or(0).to_string(),
            }
        }),
        StoreWrite::Delete(key) => {
            json!({ "request_delete_range": { "key": encode_base64(key.as_bytes()) } })
        }
        StoreWrite::DeleteRange(first, end) => json!({
            "request_delete_range": {
                "key": encode_base64(first.as_bytes()),
                "range_end": encode_base64(end.as_bytes()),
            }
        }),
    }
}

/// Decodes the records of a range response.
fn decode_records(response: &Value) -> Result<Vec<StoreRecord>> {
    let none = Vec::new();
    let records = response["kvs"].as_array().unwrap_or(&none);
    records.iter().map(decode_record).collect()
}

fn decode_record(record: &Value) -> Result<StoreRecord> {
    let key = decode_base64(&record["key"])?;
    Ok(StoreRecord {
        key: String::from_utf8_lossy(&key).into_owned(),
        value: decode_base64(&record["value"])?,
        mod_revision: decode_integer(&record["mod_revision"]),
    })
}

/// Decodes a 64-bit integer, which the gateway encodes as a string and omits if it is zero.
fn decode_integer(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes Base64; a missing value counts as empty.
fn decode_base64(value: &Value) -> Result<Vec<u8>> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|error| NodeError::Store { message: error.to_string() })
}

/// Returns the smallest key that is greater than every key with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
