//! Generates non-idempotent requests and checks the responses against what the executors ran.

use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::RunLedger;
use crate::TestClient;
use crate::TestResponse;

/// The API key of the team that sends the requests.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The maximum number of attempts with the same idempotency key.
const MAX_ATTEMPTS: usize = 4;

/// The parameters of a request load.
#[derive(Debug, Clone, Copy)]
pub struct RequestLoad {
    /// The seed of the random choices.
    pub seed: u64,
    /// The number of requests.
    pub requests: usize,
    /// The interval between requests.
    pub interval: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
}

/// The responses that a client got for one request.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// The `Unique` header by which executors count the runs of the request.
    pub unique: String,
    /// The response and latency of each attempt, in order.
    pub responses: Vec<(TestResponse, Duration)>,
}

impl RequestOutcome {
    /// Returns whether an endpoint responded to any attempt.
    pub fn ran(&self) -> bool {
        self.responses.iter().any(|(response, _)| response.ran())
    }

    /// Returns whether every attempt was refused with the statement that it has not run.
    pub fn not_run(&self) -> bool {
        self.responses.iter().all(|(response, _)| response.not_run())
    }
}

impl RequestLoad {
    /// Sends the requests to random entry processes.
    ///
    /// Half of them carry an idempotency key and are retried through other processes until an
    /// endpoint responds.
    pub async fn run(&self, urls: Vec<String>) -> Vec<RequestOutcome> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut calls = Vec::new();
        for number in 0..self.requests {
            let first = rng.random_range(0..urls.len());
            let run_ms = rng.random_range(1..120);
            let keyed = number % 2 == 0;
            calls.push(actix_rt::spawn(send_one(
                *self,
                number,
                urls.clone(),
                first,
                run_ms,
                keyed,
            )));
            tokio::time::sleep(self.interval).await;
        }
        let mut outcomes = Vec::new();
        for call in calls {
            outcomes.push(call.await.expect("the client task panicked"));
        }
        outcomes
    }
}

/// Sends one request and retries it if it carries an idempotency key.
async fn send_one(
    load: RequestLoad,
    number: usize,
    urls: Vec<String>,
    first: usize,
    run_ms: u64,
    keyed: bool,
) -> RequestOutcome {
    let client = TestClient::new(load.deadline + Duration::from_secs(5));
    let unique = format!("load-{}-{number}", load.seed);
    let deadline = load.deadline.as_millis().to_string();
    let mut headers =
        vec![KEY, ("Unique", unique.as_str()), ("Request-Timeout-Ms", deadline.as_str())];
    if keyed {
        headers.push(("Idempotency-Key", unique.as_str()));
    }
    let mut responses = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let entry = &urls[(first + attempt) % urls.len()];
        let url = format!("{entry}/v1/queues/exchange/requests/order?ms={run_ms}");
        let sent = Instant::now();
        let response = client.send(Method::POST, &url, &headers, "one crate").await;
        let finished = response.ran() || !keyed;
        responses.push((response, sent.elapsed()));
        if finished {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    RequestOutcome { unique, responses }
}

/// Checks that no request ran twice, that none reported as "not run" did run, and that no executor
/// exceeded its slots.
///
/// # Panics
///
/// Panics with the first request whose responses and runs contradict each other.
pub fn check_outcomes(outcomes: &[RequestOutcome], ledger: &RunLedger) {
    for outcome in outcomes {
        let runs = ledger.runs_of(&outcome.unique);
        assert!(
            runs <= 1,
            "{} ran {runs} times: {:?}",
            outcome.unique,
            outcome.responses
        );
        let refused = outcome.not_run();
        assert!(
            !refused || runs == 0,
            "{} was reported as not run but ran: {:?}",
            outcome.unique,
            outcome.responses
        );
        assert!(
            !outcome.ran() || runs == 1,
            "{} got a response but did not run",
            outcome.unique
        );
    }
    assert_eq!(ledger.over_slots, 0, "an executor exceeded its slots");
}

/// Counts the requests by the result of their last attempt.
pub fn summarize_outcomes(outcomes: &[RequestOutcome]) -> String {
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for outcome in outcomes {
        let (last, _) = outcome.responses.last().expect("every request has an attempt");
        let result = match last.status {
            0 => "no answer".to_owned(),
            200 => "answered".to_owned(),
            _ => last.field("error"),
        };
        *counts.entry(result).or_default() += 1;
    }
    counts
        .iter()
        .map(|(result, count)| format!("{result}={count}"))
        .collect::<Vec<_>>()
        .join(" ")
}
