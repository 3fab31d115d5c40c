//! Submits jobs to a cell on the users' platform and records the responses.

use std::time::Duration;

use awc::http::Method;
use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::FLEET_KEY;
use crate::ROTATED_KEY;
use crate::TestClient;
use crate::UNRESTRICTED_QUEUE;

/// The maximum number of attempts to submit or cancel a job.
const MAX_ATTEMPTS: usize = 8;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The responses that a client got for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmissionOutcome {
    /// The identifier of the job.
    pub id: String,
    /// The name of the job's queue.
    pub queue: &'static str,
    /// The HTTP status of each attempt to submit the job; 0 means no response.
    pub statuses: Vec<u16>,
    /// Whether a cancellation is sent once the job is accepted.
    pub cancel_sent: bool,
    /// Whether a cancellation was acknowledged.
    pub cancelled: bool,
    /// Whether the first task of each step crashes the workers that start it.
    pub crashing: bool,
}

impl SubmissionOutcome {
    /// Returns the path of the job.
    pub fn path(&self) -> String {
        format!("/{}/{}", self.queue, self.id)
    }

    /// Returns whether the job was accepted.
    pub fn accepted(&self) -> bool {
        self.statuses.contains(&200)
    }

    /// Returns whether every attempt was refused with the guarantee that the job never runs.
    pub fn refused(&self) -> bool {
        self.statuses.iter().all(|status| matches!(status, 401 | 404 | 429 | 503))
    }
}

/// The parameters of a load of jobs.
#[derive(Debug, Clone)]
pub struct FleetLoad {
    /// The seed of the random choices; job identifiers begin with it.
    pub seed: u64,
    /// The number of jobs.
    pub jobs: u64,
    /// The interval between two submissions.
    pub interval: Duration,
    /// The CPU demand of each task in thousandths of a core.
    pub task_millis: u64,
    /// Whether every third job goes to the queue that requires no permission.
    pub unrestricted: bool,
    /// Whether every 29th job crashes the workers that start it.
    pub crashing: bool,
    /// The base URLs of the processes.
    pub urls: Vec<String>,
    /// The host name of the queues.
    pub host: &'static str,
}

impl FleetLoad {
    /// Submits all jobs with retries and returns the responses for each.
    pub async fn run(&self) -> Vec<SubmissionOutcome> {
        let client = TestClient::default();
        join_all((0..self.jobs).map(|number| self.submit(&client, number))).await
    }

    /// Submits one job, and cancels every eighth.
    async fn submit(&self, client: &TestClient, number: u64) -> SubmissionOutcome {
        tokio::time::sleep(self.interval * number as u32).await;
        let mut rng = SmallRng::seed_from_u64(self.seed << 20 | number);
        let id = format!("{:08x}{number:08x}", self.seed);
        let unrestricted = self.unrestricted && number % 3 == 1;
        let queue = if unrestricted { UNRESTRICTED_QUEUE } else { "jobs" };
        let crashing = self.crashing && number % 29 == 6;
        let body = self.body(unrestricted, crashing, &mut rng);
        let key = if number.is_multiple_of(5) { ROTATED_KEY } else { FLEET_KEY };
        let mut outcome = SubmissionOutcome {
            id,
            queue,
            statuses: Vec::new(),
            cancel_sent: number % 8 == 3,
            cancelled: false,
            crashing,
        };
        let path = outcome.path();
        for _ in 0..MAX_ATTEMPTS {
            let status =
                self.send(client, Method::POST, &path, key, &body, &mut rng).await;
            outcome.statuses.push(status);
            if matches!(status, 200 | 401) {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if outcome.accepted() && outcome.cancel_sent {
            outcome.cancelled = self.cancel(client, &path, &mut rng).await;
        }
        outcome
    }

    /// Cancels a job, with retries until it is acknowledged.
    async fn cancel(&self, client: &TestClient, path: &str, rng: &mut SmallRng) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            tokio::time::sleep(RETRY_DELAY).await;
            let status =
                self.send(client, Method::DELETE, path, FLEET_KEY, "", rng).await;
            if status == 200 {
                return true;
            }
        }
        false
    }

    /// Sends a request to a random process and returns the status.
    async fn send(
        &self,
        client: &TestClient,
        method: Method,
        path: &str,
        key: &str,
        body: &str,
        rng: &mut SmallRng,
    ) -> u16 {
        let url = format!("{}{path}", self.urls[rng.random_range(0..self.urls.len())]);
        let headers = [
            ("Host", self.host),
            ("Geraniumwinch-Deadline-Ms", "3000"),
            ("Authorization", key),
        ];
        client.send(method, &url, &headers, body.to_owned()).await.status
    }

    /// Creates the body of a job with one or two steps, some of which are gangs.
    fn body(&self, unrestricted: bool, crashing: bool, rng: &mut SmallRng) -> String {
        let steps: Vec<String> = (0..rng.random_range(1..3))
            .map(|step| {
                let count = rng.random_range(1..5);
                // The stand-in's gangs do not end with one of their members.
                let gang = rng.random_bool(0.3) && !crashing;
                let after = if step > 0 { "[0]" } else { "[]" };
                format!(
                    r#"{{"count":{count},"cpu":{},"mem_mb":64,"estimate_ms":300,
                        "gang":{gang},"after":{after}}}"#,
                    self.task_millis
                )
            })
            .collect();
        let millis = rng.random_range(20..700);
        let suffix =
            if unrestricted { format!(" {UNRESTRICTED_QUEUE}") } else { String::new() };
        let outcome = if crashing { "crashes" } else { "done" };
        format!(
            r#"{{"spec":"{millis} {outcome}{suffix}","steps":[{}]}}"#,
            steps.join(",")
        )
    }
}
