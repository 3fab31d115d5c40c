//! Requests of clients to a cell.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use serde_json::json;

use crate::ConnectionLoad;
use crate::FleetLoad;
use crate::TestResponse;
use crate::wait_until;

use super::FLEET_HOST;
use super::FLEET_KEY;
use super::FleetCell;
use super::PORTS;

impl FleetCell {
    /// Sends a request to a process as a client.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> TestResponse {
        let url = format!("http://{}{path}", self.addresses.entry(0, index, PORTS[0]));
        let mut headers =
            vec![("Host", FLEET_HOST), ("Geraniumwinch-Deadline-Ms", "3000")];
        headers.extend(key.map(|key| ("Authorization", key)));
        self.client.send(method, &url, &headers, body.to_owned()).await
    }

    /// Submits a job with one step and returns the status.
    pub async fn submit(&self, index: usize, id: &str, spec: &str, tasks: u32) -> u16 {
        let step =
            json!({ "count": tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let path = format!("/jobs/{id}");
        self.call(index, Method::POST, &path, Some(FLEET_KEY), &body).await.status
    }

    /// Submits a job with one task through the proxy, and returns the status; 0 means no response.
    pub async fn submit_through_proxy(&self, index: usize, id: &str, spec: &str) -> u16 {
        let url = format!("http://{}/jobs/{id}", self.client_address(index));
        let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let headers = [
            ("Host", FLEET_HOST),
            ("Geraniumwinch-Deadline-Ms", "3000"),
            ("Authorization", FLEET_KEY),
        ];
        self.client.send(Method::POST, &url, &headers, body).await.status
    }

    /// Creates a load of jobs that are submitted to all processes.
    pub fn load(
        &self,
        seed: u64,
        jobs: u64,
        interval: Duration,
        task_millis: u64,
        unrestricted: bool,
    ) -> FleetLoad {
        let url = |index| format!("http://{}", self.addresses.entry(0, index, PORTS[0]));
        let urls = (0..self.processes.len()).map(url).collect();
        let (crashing, host) = (false, FLEET_HOST);
        FleetLoad {
            seed,
            jobs,
            interval,
            task_millis,
            unrestricted,
            crashing,
            urls,
            host,
        }
    }

    /// Creates a load of clients that keep their connections open until `stopped` is set.
    pub fn connection_load(
        &self,
        seed: u64,
        task_millis: u64,
        stopped: Rc<Cell<bool>>,
    ) -> ConnectionLoad {
        let address = |index| self.addresses.entry(0, index, PORTS[0]);
        let addresses = (0..self.processes.len()).map(address).collect();
        ConnectionLoad { seed, task_millis, addresses, host: FLEET_HOST, stopped }
    }

    /// Returns the state of a job in the queue `/jobs/`, or `None` if the process does not report it.
    pub async fn state(&self, index: usize, id: &str) -> Option<String> {
        self.state_at(index, &format!("/jobs/{id}")).await
    }

    /// Returns the state of the job at a path, or `None` if the process does not report it.
    pub async fn state_at(&self, index: usize, path: &str) -> Option<String> {
        let response = self.call(index, Method::GET, path, Some(FLEET_KEY), "").await;
        (response.status == 200).then(|| response.field("state"))
    }

    /// Waits until a process reports a state of a job.
    pub async fn await_state(&self, index: usize, id: &str, state: &str) {
        wait_until(&format!("job {id} is {state}"), async || {
            self.state(index, id).await.as_deref() == Some(state)
        })
        .await;
    }
}
