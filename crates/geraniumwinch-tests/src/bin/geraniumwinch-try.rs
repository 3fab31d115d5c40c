//! Demo: starts a small cell, sends requests, runs a job and stops the cell gracefully.

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;

/// The API key of the team that sends the requests.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");

fn main() {
    run_test(run_demo());
}

async fn run_demo() {
    println!("starting 3 failure domains with 2 entries, 2 executors and 2 workers each");
    let mut cell = TestCell::start(CellPlan::new(3, 2, 2, 2)).await;
    println!("revision 1 of the configuration is in force everywhere\n");
    send_requests(&cell).await;
    send_request_without_key(&cell).await;
    run_job(&cell).await;
    stop_cell(&mut cell).await;
}

/// Sends a request through each entry process.
async fn send_requests(cell: &TestCell) {
    let client = TestClient::default();
    for (index, entry) in cell.entry_urls().into_iter().enumerate() {
        let url = format!("{entry}/v1/queues/exchange/requests/price/stinkwood");
        let unique = format!("try-{index}");
        let headers = [KEY, ("Unique", unique.as_str())];
        let response = client.send(Method::GET, &url, &headers, "").await;
        println!("GET {url}\n  {} from {}", response.status, response.field("executor"));
    }
}

/// Sends a request without an API key.
async fn send_request_without_key(cell: &TestCell) {
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/requests/price", cell.entry_url(0, 0));
    let response = client.send(Method::GET, &url, &[], "").await;
    println!(
        "\nwithout a key: {} {}",
        response.status,
        String::from_utf8_lossy(&response.body)
    );
}

/// Submits a job and waits until it has ended.
async fn run_job(cell: &TestCell) {
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, 0));
    let body = r#"{"kind":"batch","tasks":6,"cpu_millis":4000,
        "memory_bytes":1073741824,"run_time_ms":300}"#;
    let response = client.send(Method::POST, &url, &[KEY], body).await;
    let job = response.field("job");
    println!("\nPOST {url}\n  {} job {job}", response.status);
    let url = format!("{}/v1/jobs/{job}", cell.entry_url(0, 1));
    wait_until("the job ends", async || {
        client.send(Method::GET, &url, &[KEY], "").await.field("state") == "ended"
    })
    .await;
    for worker in cell.worker_urls() {
        let account = client.get_json(&format!("{worker}/account")).await;
        let runs = account["runs"].as_array().map_or(0, Vec::len);
        println!("  {} ran {runs} tasks", account["name"].as_str().unwrap_or_default());
    }
}

/// Stops every entry process gracefully.
async fn stop_cell(cell: &mut TestCell) {
    println!("\nstopping");
    cell.entries.values().for_each(|process| process.terminate());
    wait_until("every process has exited", async || {
        cell.entries.values_mut().all(|process| process.exit_code().is_some())
    })
    .await;
    for (&(domain, index), process) in &mut cell.entries {
        let code = process.exit_code().unwrap_or(-1);
        assert_eq!(code, 0, "entry {index} of domain {domain} exited with code {code}");
    }
    println!("every process exited with code 0");
}
