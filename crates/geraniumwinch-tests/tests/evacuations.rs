//! Checks that in an evacuated failure domain nothing starts until it is taken back, whatever is lost
//! in between, and that what runs there goes on.

use std::process::Command;
use std::time::Duration;

use awc::http::Method;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::home_domain;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::OPERATOR_KEY;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::TestResponse;
use geraniumwinch_tests::program_path;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;

/// The API key of the team that submits the jobs.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The time within which a request is in force.
const IN_FORCE: Duration = Duration::from_millis(4000);
/// How long nothing may start before the test goes on.
const OBSERVATION: Duration = Duration::from_millis(1500);

/// Runs a command of an operator against a process, and returns its exit code and output.
fn run_command(cell: &TestCell, domain: usize, arguments: &[&str]) -> (i32, String) {
    let server = cell.entry_url(domain, 0);
    let output = Command::new(program_path("geraniumwinch"))
        .args(arguments)
        .args(["--server", server.as_str()])
        .env("GERANIUMWINCH_KEY", OPERATOR_KEY)
        .output()
        .expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

/// Sends a request of the operator about the evacuation of a domain to the second domain.
async fn send_change(cell: &TestCell, method: Method, target: &str) -> TestResponse {
    let url = format!("{}/v1/domains/{target}", cell.entry_url(1, 0));
    let key = format!("Bearer {OPERATOR_KEY}");
    let headers = [("Authorization", key.as_str())];
    TestClient::default().send(method, &url, &headers, "").await
}

/// Submits a job to the first domain, under a key whose home it is, or to the fleet without a key.
async fn submit(cell: &TestCell, key: Option<&str>, run_time_ms: u64) -> TestResponse {
    let domains: Vec<Name> =
        cell.plan.domains.iter().map(|domain| domain.name.as_str().into()).collect();
    let is_local = |key: &String| {
        let parts: [&[u8]; 4] = [b"job", b"yard-a", b"exchange", key.as_bytes()];
        home_domain(&RecordDigest::of(&parts), &domains) == Some(&domains[0])
    };
    let local = |name| {
        let mut keys = (0..100).map(|number| format!("{name}-{number}"));
        keys.find(is_local).expect("a key whose home is the first domain")
    };
    let key = key.map(local);
    let mut headers = vec![KEY];
    headers.extend(key.as_deref().map(|key| ("Idempotency-Key", key)));
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, 1));
    let body = format!(
        r#"{{"kind":"batch","tasks":1,"cpu_millis":1000,"memory_bytes":1000000,
            "run_time_ms":{run_time_ms}}}"#
    );
    TestClient::default().send(Method::POST, &url, &headers, body).await
}

/// Sends an idempotent request to the first domain.
async fn send_request(cell: &TestCell) -> TestResponse {
    let url = format!("{}/v1/queues/exchange/requests/price?ms=5", cell.entry_url(0, 1));
    TestClient::default().send(Method::GET, &url, &[KEY], "").await
}

/// Returns the evacuation of the first domain as the second one's process sees it.
async fn evacuation(cell: &TestCell) -> Value {
    cell.status(1, 1).await["domains"][0]["evacuation"].clone()
}

/// Returns the numbers of requests and tasks that have started in the first domain.
async fn started(cell: &TestCell) -> (u64, usize) {
    let client = TestClient::default();
    let (mut requests, mut tasks) = (0, 0);
    for url in &cell.executor_urls()[..cell.plan.domains[0].executors] {
        let account = client.get_json(&format!("{url}/account")).await;
        requests += account["total"].as_u64().expect("a number");
    }
    for url in &cell.worker_urls()[..cell.plan.domains[0].workers] {
        let account = client.get_json(&format!("{url}/account")).await;
        tasks += account["runs"].as_array().expect("a list").len();
    }
    (requests, tasks)
}

/// Checks that work for the first domain starts elsewhere or is refused, and none of it there.
async fn expect_nothing_starts(cell: &TestCell, key: &str) {
    let before = started(cell).await;
    for _ in 0..10 {
        let response = send_request(cell).await;
        assert!(response.ran(), "{} {:?}", response.status, response.body);
    }
    let job = submit(cell, None, 10).await;
    assert!(job.field("job").starts_with("zone-b."), "{:?}", job.body);
    let job = submit(cell, Some(key), 10).await;
    assert_eq!((job.status, job.field("error").as_str()), (503, "domain-evacuated"));
    assert!(job.not_run() && job.header("retry-after").is_some(), "{:?}", job.headers);
    tokio::time::sleep(OBSERVATION).await;
    assert_eq!(started(cell).await, before, "nothing may start in the first domain");
}

#[test]
fn a_domain_stays_evacuated_while_the_store_is_out_and_its_dispatcher_lost() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 2, 2)).await;
        cell.wait_ready(1).await;
        let job = submit(&cell, Some("long"), 30_000).await;
        assert!(job.field("job").starts_with("zone-a."), "{:?}", job.body);
        wait_until("the task runs", async || started(&cell).await.1 == 1).await;

        let response = send_change(&cell, Method::PUT, "zone-a/evacuation").await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        let since_ms = response.json()["since_ms"].clone();
        let in_force = async || evacuation(&cell).await["in_force"] == true;
        let elapsed = wait_until("the request is in force", in_force).await;
        assert!(elapsed < IN_FORCE, "{elapsed:?}");
        let status = evacuation(&cell).await;
        assert_eq!(status["since_ms"], since_ms);
        assert_eq!(
            (&status["drain"]["tasks"], &status["empty"]),
            (&json!(1), &json!(false))
        );
        // The domains tell each other of their slots once a second.
        let served = async || send_request(&cell).await.ran();
        let elapsed = wait_until("requests run elsewhere", served).await;
        assert!(elapsed < IN_FORCE, "{elapsed:?}");
        expect_nothing_starts(&cell, "evacuated").await;

        cell.set_store_faults(json!({ "down": true })).await;
        tokio::time::sleep(OBSERVATION).await;
        assert!(send_request(&cell).await.ran());
        assert_eq!(evacuation(&cell).await["in_force"], true);
        assert_eq!(started(&cell).await, (0, 1));
        cell.set_store_faults(json!({})).await;

        let owner = cell.owner_of(0).await.expect("an owner");
        cell.entries.get_mut(&(0, owner)).expect("a process").kill();
        let epoch = async || {
            cell.status(1, 1).await["domains"][0]["report"]["digest"]["owner"]["epoch"]
                == 2
        };
        wait_until("a new owner", epoch).await;
        let row = evacuation(&cell).await;
        assert_eq!((&row["in_force"], &row["since_ms"]), (&json!(true), &since_ms));
        cell.start_entry(0, owner);
        wait_until("the first domain answers", async || send_request(&cell).await.ran())
            .await;
        expect_nothing_starts(&cell, "taken-over").await;
        assert_eq!(started(&cell).await, (0, 1));

        let response = send_change(&cell, Method::DELETE, "zone-a/evacuation").await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        let accepted = async || submit(&cell, Some("taken-back"), 10).await.status == 202;
        let elapsed = wait_until("the domain accepts a job", accepted).await;
        assert!(elapsed < IN_FORCE, "{elapsed:?}");
        wait_until("the job runs there", async || started(&cell).await.1 == 2).await;
        assert_eq!(cell.ledger().await.overlapping_tasks(), Vec::<&str>::new());
    });
}

#[test]
fn an_operator_evacuates_a_domain_and_takes_it_back_by_command() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 1, 1)).await;
        cell.wait_ready(1).await;
        let (code, text) = run_command(&cell, 1, &["evacuate", "zone-d"]);
        assert!(code == 1 && text.contains("domain-unknown"), "{code} {text}");
        assert!(text.contains("name one of zone-a, zone-b"), "{text}");

        let (code, text) = run_command(&cell, 1, &["evacuate", "zone-a"]);
        assert!(code == 0 && text.contains("in force after"), "{code} {text}");
        assert!(text.contains("empty: nothing runs"), "{text}");
        let (_, text) = run_command(&cell, 0, &["status"]);
        assert!(text.contains("evacuated for ") && text.contains("; in force"), "{text}");

        let (code, text) = run_command(&cell, 0, &["evacuate", "zone-b"]);
        assert!(code == 1 && text.contains("domain-last"), "{code} {text}");
        let (code, text) = run_command(&cell, 0, &["evacuate", "--last", "zone-b"]);
        assert!(code == 0 && text.contains("in force after"), "{code} {text}");
        let refused = send_request(&cell).await;
        assert_eq!(refused.field("error"), "domain-evacuated", "{:?}", refused.body);
        assert!(refused.not_run());

        // A set that is published on top of the two requests takes nothing back.
        let set = geraniumwinch_tests::default_configuration(500);
        assert_eq!(cell.publish(0, 0, 3, &set).await.status, 200);
        cell.wait_ready(4).await;
        assert_eq!(send_request(&cell).await.field("error"), "domain-evacuated");

        for domain in ["zone-a", "zone-b"] {
            let arguments = ["evacuate", "--take-back", domain];
            let (code, text) = run_command(&cell, 1, &arguments);
            assert!(code == 0 && text.contains("is not evacuated"), "{code} {text}");
        }
        let served = async || send_request(&cell).await.ran();
        wait_until("requests run again", served).await;
    });
}
