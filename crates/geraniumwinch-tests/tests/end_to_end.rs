//! End-to-end tests of requests and jobs through real processes.

use awc::http::Method;
use futures_util::StreamExt;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;

/// The number of requests.
const REQUESTS: usize = 2000;
/// The maximum number of requests in flight.
const CONCURRENT: usize = 256;

#[test]
fn each_client_gets_the_response_to_its_request() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 3, 2)).await;
        let client = TestClient::default();
        let urls = cell.entry_urls();
        let responses = futures_util::stream::iter(0..REQUESTS)
            .map(|number| {
                let url = format!(
                    "{}/v1/queues/exchange/requests/price?ms=5",
                    urls[number % urls.len()]
                );
                let client = client.clone();
                async move {
                    let unique = format!("request-{number}");
                    let headers = [
                        ("Authorization", "Bearer key-of-yard-a"),
                        ("Unique", unique.as_str()),
                    ];
                    let method = if number % 2 == 0 { Method::GET } else { Method::POST };
                    let response = client.send(method, &url, &headers, "").await;
                    (unique, response)
                }
            })
            .buffer_unordered(CONCURRENT)
            .collect::<Vec<_>>()
            .await;
        let ledger = cell.ledger().await;
        for (unique, response) in &responses {
            assert!(response.ran(), "{unique}: {} {:?}", response.status, response.body);
            assert_eq!(response.field("unique"), *unique);
            assert_eq!(ledger.runs_of(unique), 1, "{unique}");
        }
        assert_eq!(ledger.over_slots, 0);
    });
}

#[test]
fn a_job_runs_to_completion() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 1, 2)).await;
        let client = TestClient::default();
        let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(1, 0));
        let headers = [("Authorization", "Bearer key-of-yard-b")];
        let body = r#"{"kind":"batch","tasks":20,"cpu_millis":4000,
            "memory_bytes":1073741824,"run_time_ms":200}"#;
        let response = client.send(Method::POST, &url, &headers, body).await;
        assert_eq!(response.status, 202, "{:?}", response.body);
        let job = format!("{}/v1/jobs/{}", cell.entry_url(0, 0), response.field("job"));
        wait_until("the job ends", async || {
            client.send(Method::GET, &job, &headers, "").await.field("state") == "ended"
        })
        .await;
        let ledger = cell.ledger().await;
        assert_eq!(ledger.succeeded(), 20);
        assert_eq!(ledger.overcommits, 0);
        assert!(ledger.overlapping_tasks().is_empty());
    });
}
