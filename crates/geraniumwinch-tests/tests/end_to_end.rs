//! The whole path: requests and jobs from end to end through real processes.

use awc::http::Method;
use futures_util::StreamExt;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;

/// The number of concurrent requests of the large test.
const REQUESTS: usize = 2000;
/// The number of requests that are under way at the same time.
const CONCURRENT: usize = 256;

#[test]
fn each_caller_gets_its_own_answer() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 3, 2)).await;
        let client = TestClient::default();
        let urls = cell.entry_urls();
        let answers = futures_util::stream::iter(0..REQUESTS)
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
                    let answer = client.send(method, &url, &headers, "").await;
                    (unique, answer)
                }
            })
            .buffer_unordered(CONCURRENT)
            .collect::<Vec<_>>()
            .await;
        let ledger = cell.ledger().await;
        for (unique, answer) in &answers {
            assert!(answer.ran(), "{unique}: {} {:?}", answer.status, answer.body);
            assert_eq!(answer.field("unique"), *unique);
            assert_eq!(ledger.runs_of(unique), 1, "{unique}");
        }
        assert_eq!(ledger.over_slots, 0);
    });
}

#[test]
fn a_job_runs_and_ends() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 1, 2)).await;
        let client = TestClient::default();
        let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(1, 0));
        let headers = [("Authorization", "Bearer key-of-yard-b")];
        let body = r#"{"kind":"batch","tasks":20,"cpu_millis":4000,
            "memory_bytes":1073741824,"run_time_ms":200}"#;
        let answer = client.send(Method::POST, &url, &headers, body).await;
        assert_eq!(answer.status, 202, "{:?}", answer.body);
        let job = format!("{}/v1/jobs/{}", cell.entry_url(0, 0), answer.field("job"));
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
