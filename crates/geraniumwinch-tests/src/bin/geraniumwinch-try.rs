//! Starts a small cell for one user, shows requests and a job, and stops it gracefully.

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;

/// The key of the yard that the trial calls for.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");

fn main() {
    run_test(try_cell());
}

/// Runs the trial.
async fn try_cell() {
    println!("starting 3 failure domains with 2 entries, 2 executors and 2 workers each");
    let mut cell = TestCell::start(CellPlan::new(3, 2, 2, 2)).await;
    println!("revision 1 of the configuration is in force everywhere\n");
    show_requests(&cell).await;
    show_refusal(&cell).await;
    show_job(&cell).await;
    stop(&mut cell).await;
}

/// Sends some requests through different entry processes.
async fn show_requests(cell: &TestCell) {
    let client = TestClient::default();
    for (index, entry) in cell.entry_urls().into_iter().enumerate() {
        let url = format!("{entry}/v1/queues/exchange/requests/price/stinkwood");
        let unique = format!("try-{index}");
        let headers = [KEY, ("Unique", unique.as_str())];
        let answer = client.send(Method::GET, &url, &headers, "").await;
        println!("GET {url}\n  {} from {}", answer.status, answer.field("executor"));
    }
}

/// Sends a request without a key.
async fn show_refusal(cell: &TestCell) {
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/requests/price", cell.entry_url(0, 0));
    let answer = client.send(Method::GET, &url, &[], "").await;
    println!(
        "\nwithout a key: {} {}",
        answer.status,
        String::from_utf8_lossy(&answer.body)
    );
}

/// Submits a job and waits for its end.
async fn show_job(cell: &TestCell) {
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, 0));
    let body = r#"{"kind":"batch","tasks":6,"cpu_millis":4000,
        "memory_bytes":1073741824,"run_time_ms":300}"#;
    let answer = client.send(Method::POST, &url, &[KEY], body).await;
    let job = answer.field("job");
    println!("\nPOST {url}\n  {} job {job}", answer.status);
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
async fn stop(cell: &mut TestCell) {
    println!("\nstopping");
    cell.entries.values().for_each(|process| process.terminate());
    wait_until("every process has ended", async || {
        cell.entries.values_mut().all(|process| process.exit_code().is_some())
    })
    .await;
    for (&(domain, index), process) in &mut cell.entries {
        let code = process.exit_code().unwrap_or(-1);
        assert_eq!(code, 0, "entry {index} of domain {domain} ended with {code}");
    }
    println!("every process ended with exit code 0");
}
