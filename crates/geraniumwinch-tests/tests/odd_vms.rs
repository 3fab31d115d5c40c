//! Odd rows of another writer in the list of VMs: real processes go on.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The time in which processes read the list several times.
const LIST_TIME: Duration = Duration::from_secs(3);
/// The key of a client.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-b");

/// Creates the row of a worker with one field replaced, at an address where no worker is.
fn row(domain: &str, name: &str, field: &str, text: &str) -> String {
    let mut row = json!({
        "name": name, "kind": "worker", "domain": domain, "address": "127.0.0.1:9",
        "rack": "rack", "cpu_millis": 1000, "memory_bytes": 1000, "leaving": false,
    });
    row[field] = json!("ODD");
    row.to_string().replace("\"ODD\"", text)
}

/// Returns odd rows of a domain.
fn odd_rows(domain: &str) -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let great = u64::MAX.to_string();
    let texts = [
        ("cpu_millis", great.as_str()),
        ("cpu_millis", "9223372036854775808"),
        ("cpu_millis", "9223372036854775808"),
        ("memory_bytes", "1e400"),
        ("memory_bytes", "-1"),
        ("accelerators", "4294967296"),
        ("accelerators", "4294967295"),
        ("accelerators", "4294967295"),
        ("slots", "\"8\""),
        ("rack", nested.as_str()),
        ("leaving", "null"),
        ("address", "\"127.0.0.1:99999\""),
    ];
    let rows = texts.iter().enumerate();
    let mut rows: Vec<String> = rows
        .map(|(number, (field, text))| row(domain, &format!("odd-{number}"), field, text))
        .collect();
    rows.extend(["null", "[]", "7", "{}", &nested].map(str::to_owned));
    rows
}

/// Runs a job of 6 tasks and waits for its end.
async fn run_job(cell: &TestCell) {
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, 0));
    let body = r#"{"kind":"batch","tasks":6,"cpu_millis":1000,"memory_bytes":1000,
        "run_time_ms":50}"#;
    let response = client.send(Method::POST, &url, &[KEY], body).await;
    assert_eq!(response.status, 202, "{:?}", response.body);
    let job = format!("{}/v1/jobs/{}", cell.entry_url(0, 0), response.field("job"));
    wait_until("the job ends", async || {
        client.send(Method::GET, &job, &[KEY], "").await.field("state") == "ended"
    })
    .await;
}

/// Returns the number of runs of each worker.
async fn run_counts(cell: &TestCell) -> Vec<usize> {
    let mut counts = Vec::new();
    for url in cell.worker_urls() {
        let account = TestClient::default().get_json(&format!("{url}/account")).await;
        counts.push(account["runs"].as_array().map_or(0, Vec::len));
    }
    counts
}

/// Guards against processes that end, or stop following the list of VMs, over odd rows in it: a
/// worker that is marked as leaving beside them gets no more tasks.
#[test]
fn a_cell_follows_the_list_beside_odd_rows() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(1, 2, 1, 2)).await;
        run_job(&cell).await;
        cell.add_odd_rows(&odd_rows("zone-a")).await;
        cell.mark_leaving("worker-zone-a-0").await;
        tokio::time::sleep(LIST_TIME).await;
        let before = run_counts(&cell).await;
        run_job(&cell).await;
        let after = run_counts(&cell).await;
        assert_eq!(after, [before[0], before[1] + 6]);
    });
}
