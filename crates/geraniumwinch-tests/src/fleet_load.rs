//! Callers of a cell on the users' platform, and what they were told.

use std::time::Duration;

use awc::http::Method;
use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::FLEET_KEY;
use crate::ROTATED_KEY;
use crate::TestClient;

/// The most tries of a caller to hand its job in.
const TRIES: usize = 8;
/// The pause between two tries.
const RETRY: Duration = Duration::from_millis(250);

/// What the caller of a job was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmissionOutcome {
    /// The identifier.
    pub id: String,
    /// The statuses of the tries to hand it in; 0 stands for no answer.
    pub statuses: Vec<u16>,
    /// Whether a cancel was acknowledged.
    pub cancelled: bool,
}

impl SubmissionOutcome {
    /// Returns whether the job was accepted.
    pub fn accepted(&self) -> bool {
        self.statuses.contains(&200)
    }

    /// Returns whether every try was told that the job never runs.
    pub fn refused(&self) -> bool {
        self.statuses.iter().all(|status| matches!(status, 401 | 404 | 429 | 503))
    }
}

/// Jobs that are handed in one after the other.
#[derive(Debug, Clone)]
pub struct FleetLoad {
    /// The seed, which the identifiers begin with.
    pub seed: u64,
    /// The number of jobs.
    pub jobs: u64,
    /// The time between two.
    pub spacing: Duration,
    /// The processors of each task in thousandths of a core.
    pub task_millis: u64,
    /// Where callers reach the processes.
    pub urls: Vec<String>,
    /// The host name of the queue.
    pub host: &'static str,
}

impl FleetLoad {
    /// Hands all jobs in, retries as callers do, and returns what they were told.
    pub async fn run(&self) -> Vec<SubmissionOutcome> {
        let client = TestClient::default();
        join_all((0..self.jobs).map(|number| self.call(&client, number))).await
    }

    /// Hands one job in, and cancels some.
    async fn call(&self, client: &TestClient, number: u64) -> SubmissionOutcome {
        tokio::time::sleep(self.spacing * number as u32).await;
        let mut rng = SmallRng::seed_from_u64(self.seed << 20 | number);
        let id = format!("{:08x}{number:08x}", self.seed);
        let body = self.body(&mut rng);
        let key = if number.is_multiple_of(5) { ROTATED_KEY } else { FLEET_KEY };
        let mut outcome =
            SubmissionOutcome { id, statuses: Vec::new(), cancelled: false };
        for _ in 0..TRIES {
            let status =
                self.send(client, Method::POST, &outcome.id, key, &body, &mut rng).await;
            outcome.statuses.push(status);
            if matches!(status, 200 | 401) {
                break;
            }
            tokio::time::sleep(RETRY).await;
        }
        if outcome.accepted() && number % 8 == 3 {
            outcome.cancelled = self.cancel(client, &outcome.id, &mut rng).await;
        }
        outcome
    }

    /// Cancels a job until that is acknowledged.
    async fn cancel(&self, client: &TestClient, id: &str, rng: &mut SmallRng) -> bool {
        for _ in 0..TRIES {
            tokio::time::sleep(RETRY).await;
            let status = self.send(client, Method::DELETE, id, FLEET_KEY, "", rng).await;
            if status == 200 {
                return true;
            }
        }
        false
    }

    /// Sends a request to any process and returns the status.
    async fn send(
        &self,
        client: &TestClient,
        method: Method,
        id: &str,
        key: &str,
        body: &str,
        rng: &mut SmallRng,
    ) -> u16 {
        let url =
            format!("{}/jobs/{id}", self.urls[rng.random_range(0..self.urls.len())]);
        let headers = [
            ("Host", self.host),
            ("Geraniumwinch-Deadline-Ms", "3000"),
            ("Authorization", key),
        ];
        client.send(method, &url, &headers, body.to_owned()).await.status
    }

    /// Describes a job: one or two steps, some of which are gangs.
    fn body(&self, rng: &mut SmallRng) -> String {
        let steps: Vec<String> = (0..rng.random_range(1..3))
            .map(|step| {
                let count = rng.random_range(1..5);
                let gang = rng.random_bool(0.3);
                let after = if step > 0 { "[0]" } else { "[]" };
                format!(
                    r#"{{"count":{count},"cpu":{},"mem_mb":64,"estimate_ms":300,
                        "gang":{gang},"after":{after}}}"#,
                    self.task_millis
                )
            })
            .collect();
        let millis = rng.random_range(20..700);
        format!(r#"{{"spec":"{millis} done","steps":[{}]}}"#, steps.join(","))
    }
}
