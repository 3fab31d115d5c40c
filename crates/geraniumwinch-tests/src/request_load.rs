//! A load of non-idempotent requests, judged by the executors' accounts.

use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::RunLedger;
use crate::TestClient;
use crate::TestResponse;

/// The key of the team that requests are sent for.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The greatest number of attempts with the same idempotency key.
const MAX_ATTEMPTS: usize = 4;

/// What a load consists of.
#[derive(Debug, Clone, Copy)]
pub struct RequestLoad {
    /// The seed of every choice.
    pub seed: u64,
    /// The number of requests.
    pub requests: usize,
    /// The time between two requests.
    pub spacing: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
}

/// What a caller was told of one request.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// The mark under which executors count the request.
    pub unique: String,
    /// The answers of all attempts, in order.
    pub responses: Vec<(TestResponse, Duration)>,
}

impl RequestOutcome {
    /// Returns whether any attempt was answered by an endpoint.
    pub fn ran(&self) -> bool {
        self.responses.iter().any(|(answer, _)| answer.ran())
    }

    /// Returns whether every attempt was refused with the word that it has not run.
    pub fn not_run(&self) -> bool {
        self.responses.iter().all(|(answer, _)| answer.not_run())
    }
}

impl RequestLoad {
    /// Sends the load through every entry process; half of the requests carry an idempotency key
    /// and are repeated through other processes until they are answered.
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
            tokio::time::sleep(self.spacing).await;
        }
        let mut outcomes = Vec::new();
        for call in calls {
            outcomes.push(call.await.expect("the caller does not panic"));
        }
        outcomes
    }
}

/// Sends one request, with repeated attempts if it carries an idempotency key.
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
        let answer = client.send(Method::POST, &url, &headers, "one crate").await;
        let ended = answer.ran() || !keyed;
        responses.push((answer, sent.elapsed()));
        if ended {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    RequestOutcome { unique, responses }
}

/// Checks that nothing ran twice, that "not run" is true, and that no executor had too much.
///
/// # Panics
///
/// Panics with the first request whose answers and runs do not agree.
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
        assert!(!refused || runs == 0, "{} ran: {:?}", outcome.unique, outcome.responses);
        assert!(!outcome.ran() || runs == 1, "{} did not run", outcome.unique);
    }
    assert_eq!(ledger.over_slots, 0, "an executor had more than its slots");
}

/// Counts the outcomes by what the last attempt was told.
pub fn summarize_outcomes(outcomes: &[RequestOutcome]) -> String {
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for outcome in outcomes {
        let (last, _) = outcome.responses.last().expect("there is an attempt");
        let word = match last.status {
            0 => "no answer".to_owned(),
            200 => "answered".to_owned(),
            _ => last.field("error"),
        };
        *counts.entry(word).or_default() += 1;
    }
    counts
        .iter()
        .map(|(word, count)| format!("{word}={count}"))
        .collect::<Vec<_>>()
        .join(" ")
}
