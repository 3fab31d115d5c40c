//! Checks that graceful stops interrupt no request, that leaving VMs get no new work, and that
//! responses are either complete or visibly truncated.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;

/// The API key of the team that sends the requests.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The time after which a leaving VM gets no new work.
const LEAVING: Duration = Duration::from_millis(4000);

/// Sends requests through a process while it is healthy, until `stopped` is set; returns how many
/// failed.
async fn load_until_stopped(
    entry: String,
    stopped: std::rc::Rc<std::cell::Cell<bool>>,
) -> usize {
    let client = TestClient::default();
    let url = format!("{entry}/v1/queues/exchange/requests/price?ms=40");
    let health = format!("{entry}/healthz");
    let mut failed = 0;
    while !stopped.get() {
        // Like the platform's load balancer, sends no requests to a process that does not report
        // itself healthy.
        if client.send(Method::GET, &health, &[], "").await.status != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        }
        let response = client.send(Method::GET, &url, &[KEY], "").await;
        if response.status != 200 {
            eprintln!("{} {:?}", response.status, response.body);
            failed += 1;
        }
    }
    failed
}

#[test]
fn stopping_every_entry_in_turn_interrupts_no_request() {
    run_test(async {
        let plan = CellPlan::new(2, 2, 3, 2).setting("stop", "notice-ms", "500");
        let mut cell = TestCell::start(plan).await;
        let stopped = std::rc::Rc::new(std::cell::Cell::new(false));
        let mut loads = Vec::new();
        for entry in cell.entry_urls() {
            for _ in 0..4 {
                let load = load_until_stopped(entry.clone(), stopped.clone());
                loads.push(actix_rt::spawn(load));
            }
        }
        // A long streamed response is in progress through each process while it stops.
        let client = TestClient::default();
        let mut streams = Vec::new();
        for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let url = format!(
                "{}/v1/queues/exchange/requests/report?chunks=30&ms=100&bytes=20000",
                cell.entry_url(domain, index)
            );
            let client = client.clone();
            let stream = actix_rt::spawn(async move {
                client.send(Method::GET, &url, &[KEY, ("Unique", "long")], "").await
            });
            tokio::time::sleep(Duration::from_millis(300)).await;
            cell.entries[&(domain, index)].terminate();
            wait_until("the process has exited", async || {
                cell.entries.get_mut(&(domain, index)).unwrap().exit_code().is_some()
            })
            .await;
            let code = cell.entries.get_mut(&(domain, index)).unwrap().exit_code();
            assert_eq!(code, Some(0));
            streams.push(stream);
            cell.start_entry(domain, index);
            cell.wait_ready(1).await;
        }
        stopped.set(true);
        for stream in streams {
            let response = stream.await.expect("the client task panicked");
            let lines = response.body.split(|byte| *byte == b'\n').count() - 1;
            assert_eq!((response.status, lines), (200, 30));
        }
        for load in loads {
            assert_eq!(load.await.expect("the load task panicked"), 0, "requests failed");
        }
        assert_eq!(cell.ledger().await.over_slots, 0);
        let log = cell.entries.values().map(|process| process.log()).collect::<String>();
        assert!(
            !log.contains("owner-silent"),
            "a successor waited for the ownership to lapse"
        );
    });
}

/// Guards against a request without a response because it was still in progress when the time that a
/// stopping process waits for requests had passed (issue 40).
#[test]
fn a_request_that_outlasts_the_stop_limit_is_answered() {
    run_test(async {
        let plan = CellPlan::new(1, 2, 1, 1)
            .setting("stop", "notice-ms", "200")
            .setting("stop", "limit-ms", "1500");
        let mut cell = TestCell::start(plan).await;
        let url =
            format!("{}/v1/queues/exchange/requests/price?ms=6000", cell.entry_url(0, 0));
        let request = actix_rt::spawn(async move {
            TestClient::default().send(Method::GET, &url, &[KEY], "").await
        });
        tokio::time::sleep(Duration::from_millis(400)).await;
        cell.entries[&(0, 0)].terminate();
        let response = request.await.expect("the client task panicked");
        assert_eq!((response.status, response.field("run")), (504, "unknown".to_owned()));
        assert_eq!(response.header("connection"), Some("close"));
        wait_until("the process has exited", async || {
            cell.entries.get_mut(&(0, 0)).unwrap().exit_code().is_some()
        })
        .await;
        assert_eq!(cell.entries.get_mut(&(0, 0)).unwrap().exit_code(), Some(0));
    });
}

/// Guards against a process that attracted requests before it knew the owner of its domain, and
/// refused them as `domain-unowned`.
#[test]
fn a_restarted_process_is_healthy_only_once_it_can_serve() {
    run_test(async {
        let plan = CellPlan::new(1, 2, 1, 1).setting("ownership", "heartbeat-ms", "600");
        let mut cell = TestCell::start(plan).await;
        let client = TestClient::default();
        for index in [0, 1] {
            cell.entries[&(0, index)].terminate();
            wait_until("the process has exited", async || {
                cell.entries.get_mut(&(0, index)).unwrap().exit_code().is_some()
            })
            .await;
            cell.start_entry(0, index);
            let entry = cell.entry_url(0, index);
            let health = format!("{entry}/healthz");
            wait_until("the process is healthy", async || {
                client.send(Method::GET, &health, &[], "").await.status == 200
            })
            .await;
            let url = format!("{entry}/v1/queues/exchange/requests/price");
            let response = client.send(Method::GET, &url, &[KEY], "").await;
            assert_eq!(response.status, 200, "{:?}", response.body);
        }
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_although_the_vm_list_lags() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 1, 2, 2)).await;
        let lag = json!({ "lag_ms": 1500 });
        TestClient::default().post_json(&cell.vm_list_url("/faults"), &lag).await;
        let leaving = cell.executor_urls()[0].clone();
        cell.mark_leaving("executor-zone-a-0").await;
        tokio::time::sleep(LEAVING).await;
        let client = TestClient::default();
        let account = async || client.get_json(&format!("{leaving}/account")).await;
        let before = account().await;
        for number in 0..100 {
            let entry = cell.entry_url(number % 2, 0);
            let url = format!("{entry}/v1/queues/exchange/requests/price");
            assert_eq!(client.send(Method::GET, &url, &[KEY], "").await.status, 200);
        }
        assert_eq!(account().await["total"], before["total"]);
    });
}

#[test]
fn a_leaving_worker_gets_no_new_tasks() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(1, 1, 1, 2)).await;
        cell.mark_leaving("worker-zone-a-0").await;
        tokio::time::sleep(LEAVING).await;
        let client = TestClient::default();
        let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, 0));
        let body = r#"{"kind":"batch","tasks":8,"cpu_millis":1000,"memory_bytes":1000,
            "run_time_ms":100}"#;
        assert_eq!(client.send(Method::POST, &url, &[KEY], body).await.status, 202);
        wait_until("tasks succeed", async || cell.ledger().await.succeeded() == 8).await;
        let account =
            client.get_json(&format!("{}/account", cell.worker_urls()[0])).await;
        assert_eq!(account["runs"].as_array().map(Vec::len), Some(0));
    });
}

/// Sends a request over a TCP connection and returns the raw response.
fn raw_response(address: &str, target: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connecting");
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: x\r\nAuthorization: {}\r\nConnection: close\r\n\r\n",
        KEY.1
    );
    stream.write_all(request.as_bytes()).expect("sending the request");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn a_truncated_response_is_never_passed_on_as_complete() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(1, 1, 1, 1)).await;
        let entry = cell.entry_url(0, 0);
        let address = entry.trim_start_matches("http://").to_owned();
        let path = "/v1/queues/exchange/requests/report";
        let small =
            raw_response(&address, &format!("{path}?chunks=3&ms=1&truncate=true"));
        let (head, body) = small.split_once("\r\n\r\n").expect("a response");
        assert!(head.starts_with("HTTP/1.1 502"), "{head}");
        let body: Value = serde_json::from_str(body).expect("a JSON body");
        assert_eq!(
            (&body["error"], &body["run"]),
            (&json!("answer-truncated"), &json!("unknown"))
        );
        let large = raw_response(
            &address,
            &format!("{path}?chunks=30&ms=1&bytes=20000&truncate=true"),
        );
        assert!(large.starts_with("HTTP/1.1 200"));
        assert!(!large.ends_with("0\r\n\r\n"), "the last chunk must be missing");
        let complete =
            raw_response(&address, &format!("{path}?chunks=30&ms=1&bytes=20000"));
        assert!(complete.ends_with("0\r\n\r\n"));
    });
}
