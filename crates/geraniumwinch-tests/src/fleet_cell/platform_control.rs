//! What a test has the stand-in for the platform do, and what the stand-in has seen.

use awc::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::TestResponse;
use crate::wait_until;

use super::DEFAULT_SERVICE;
use super::FLEET_HOST;
use super::FleetCell;
use super::PLATFORM_PORT;
use super::PROXY_PORT;
use super::UNRESTRICTED_QUEUE;

impl FleetCell {
    /// Replaces the proxy's rules and returns the status of the response.
    pub async fn set_rules(&self, rules: &[Value]) -> u16 {
        let url = format!("http://{}/rules", self.addresses.platform(PROXY_PORT));
        let headers = [("Content-Type", "application/json")];
        let body = Value::Array(rules.to_vec()).to_string();
        self.client.send(Method::POST, &url, &headers, body).await.status
    }

    /// Restarts a worker with a new incarnation.
    pub async fn restart_worker(&self, index: u16) {
        self.post("/restart", &json!(index)).await;
    }

    /// Restarts a worker between two polls, so that no connection shows it. Returns once that is done.
    pub async fn restart_worker_after_report(&self, index: u16) {
        self.post("/restart-after-report", &json!(index)).await;
    }

    /// Changes the state that the store lists a worker with; `None` removes the worker.
    pub async fn set_worker_state(&self, index: u16, state: Option<&str>) {
        self.post("/worker-state", &json!({ "worker": index, "state": state })).await;
    }

    /// Has a worker leave for good, which ends what runs there and removes its entry.
    pub async fn end_worker(&self, index: u16) {
        self.post("/worker-leave", &json!(index)).await;
    }

    /// Changes the number of processors that a worker lists.
    pub async fn set_worker_cores(&self, index: u16, cores: u64) {
        self.post("/worker-cores", &json!({ "worker": index, "cores": cores })).await;
    }

    /// Changes the service that a worker lists.
    pub async fn set_worker_service(&self, index: u16, service: &str) {
        let change = json!({ "worker": index, "service": service });
        self.post("/worker-service", &change).await;
    }

    /// Writes entries of another writer to the list of workers, as pairs of an identifier and a
    /// value.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not take them.
    pub async fn write_entries(&self, entries: &[(String, String)]) {
        let response = self.post("/entries", &json!(entries)).await;
        assert_eq!(response.status, 200, "the stand-in takes the entries");
    }

    /// Lists entries among those of the workers that name no usable worker, or removes them.
    pub async fn list_odd_workers(&self, listed: bool) {
        self.post("/odd-workers", &json!(listed)).await;
    }

    /// Requests the evacuation of a domain, or takes the domain back. Returns once the store has the
    /// change.
    pub async fn set_evacuation(&self, domain: &str, requested: bool) {
        let change = json!({ "domain": domain, "requested": requested });
        self.post("/evacuation", &change).await;
    }

    /// Compacts the store's history, so that watches from earlier revisions must start over.
    pub async fn compact_store(&self) {
        self.post("/forget", &json!({})).await;
    }

    /// Publishes a configuration with the queues `/jobs/`, `/open/` and `/unrestricted/`, which alone
    /// requires no permission; even versions lack [`ROTATED_KEY`].
    pub async fn publish(&self, version: u64) {
        self.publish_queues(version, DEFAULT_SERVICE, false).await;
    }

    /// Like [`publish`](Self::publish), with queues whose tasks run on the workers of a service, and
    /// with permissions in all queues if `restricted` is set.
    pub async fn publish_queues(&self, version: u64, service: &str, restricted: bool) {
        let route = |name: &str, public: bool| {
            let prefix = format!("/{name}/");
            json!({
                "name": name, "hostname": FLEET_HOST, "prefix": prefix, "kind": "unsafe",
                "target_duration_ms": 1000, "priority": 1, "service": service,
                "max_attempts": 2, "stretch": 2.0, "public": public,
                "advice": { "decide_ms": 1.0, "per_item_ms": 0.1, "validity_ms": 2000 },
            })
        };
        let mut unrestricted = route(UNRESTRICTED_QUEUE, false);
        if !restricted {
            unrestricted["advice"] = Value::Null;
        }
        let keys: &[&str] =
            if version.is_multiple_of(2) { &["key-a"] } else { &["key-a", "key-b"] };
        let configuration = json!({
            "version": version,
            "routes": [route("jobs", false), route("open", true), unrestricted],
            "services": [{ "name": service }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{
                "name": "a", "api_keys": keys, "weight": 50,
                "cap": { "cpu": self.limit, "mem_mb": 0, "gpu": 0 },
            }],
        });
        self.post("/operator", &configuration).await;
    }

    /// Replaces the faults injected into the stand-in.
    pub async fn set_faults(&self, faults: Value) {
        self.post("/faults", &faults).await;
    }

    /// Sends a POST request to the stand-in.
    pub(super) async fn post(&self, path: &str, body: &Value) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.platform(PLATFORM_PORT));
        let headers = [("Content-Type", "application/json")];
        self.client.send(Method::POST, &url, &headers, body.to_string()).await
    }

    /// Returns all runs that the workers have started.
    pub async fn runs(&self) -> Vec<Value> {
        self.account().await["runs"].as_array().cloned().unwrap_or_default()
    }

    /// Waits until a worker receives its next poll.
    pub async fn await_poll(&self, worker: usize) {
        let before = self.account().await["polls"][worker].as_u64();
        wait_until("the worker is polled", async || {
            self.account().await["polls"][worker].as_u64() != before
        })
        .await;
    }

    /// Returns what the stand-in has seen of its workers.
    async fn account(&self) -> Value {
        let url = format!("http://{}/account", self.addresses.platform(PLATFORM_PORT));
        self.client.get_json(&url).await
    }

    /// Checks that no task ran twice at the same time, or again after it was done.
    ///
    /// An outcome that was not acknowledged before its worker restarted is lost, so such a task may
    /// run again.
    ///
    /// # Panics
    ///
    /// Panics with the two runs of a task that violate this.
    pub async fn check_runs(&self) {
        let runs = self.runs().await;
        for (index, one) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                if one["task"] != other["task"] {
                    continue;
                }
                let time = |run: &Value, field: &str| run[field].as_u64().unwrap_or(0);
                let (first, second) =
                    match time(one, "started_ms") <= time(other, "started_ms") {
                        true => (one, other),
                        false => (other, one),
                    };
                let disjoint = time(first, "ended_ms") <= time(second, "started_ms");
                let done = first["how"] == "done" && first["forgotten"] != true;
                assert!(disjoint && !done, "task ran twice: {first} and {second}");
            }
        }
    }
}
