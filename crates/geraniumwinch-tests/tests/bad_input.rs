//! Checks that invalid input is refused with the right error and has no effect.

use std::process::Command;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::OPERATOR_KEY;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::default_configuration;
use geraniumwinch_tests::program_path;
use geraniumwinch_tests::run_test;
use test_case::test_case;

/// A valid API key.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// A valid job.
const JOB: &str = r#"{"kind":"batch","cpu_millis":1000,"memory_bytes":1000}"#;

/// An invalid request with the expected status and error.
struct InvalidRequest {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    error: &'static str,
}

fn invalid(
    method: Method,
    path: &'static str,
    headers: &[(&'static str, &'static str)],
    body: &str,
    status: u16,
    error: &'static str,
) -> InvalidRequest {
    InvalidRequest {
        method,
        path,
        headers: headers.to_vec(),
        body: body.to_owned(),
        status,
        error,
    }
}

fn invalid_requests() -> Vec<InvalidRequest> {
    let requests = "/v1/queues/exchange/requests/price";
    let jobs = "/v1/queues/exchange/jobs";
    let wrong = ("Authorization", "Bearer wrong");
    let (get, post) = (Method::GET, Method::POST);
    let large = "x".repeat(2 << 20);
    vec![
        invalid(get.clone(), requests, &[], "", 401, "key-missing"),
        invalid(get.clone(), requests, &[wrong], "", 401, "key-unknown"),
        invalid(
            get.clone(),
            "/v1/queues/none/requests/x",
            &[KEY],
            "",
            404,
            "queue-unknown",
        ),
        invalid(get.clone(), "/nowhere", &[], "", 404, "queue-unknown"),
        invalid(
            get.clone(),
            requests,
            &[KEY, ("Request-Timeout-Ms", "soon")],
            "",
            400,
            "header-malformed",
        ),
        invalid(
            get.clone(),
            requests,
            &[KEY, ("Request-Timeout-Ms", "99999999")],
            "",
            400,
            "header-malformed",
        ),
        invalid(
            post.clone(),
            requests,
            &[KEY, ("Idempotency-Key", "")],
            "",
            400,
            "header-malformed",
        ),
        invalid(post.clone(), requests, &[KEY], &large, 413, "body-too-large"),
        invalid(post.clone(), jobs, &[KEY], "{", 400, "job-malformed"),
        invalid(post.clone(), jobs, &[KEY], r#"{"kind":"batch"}"#, 400, "job-malformed"),
        invalid(
            post.clone(),
            jobs,
            &[KEY],
            r#"{"kind":"batch","cpu_millis":0,"memory_bytes":1}"#,
            400,
            "job-malformed",
        ),
        invalid(
            post.clone(),
            jobs,
            &[KEY],
            r#"{"kind":"batch","cpu_millis":1,"memory_bytes":1,"colour":1}"#,
            400,
            "job-malformed",
        ),
        invalid(
            post.clone(),
            jobs,
            &[KEY],
            r#"{"kind":"batch","cpu_millis":900000,"memory_bytes":1}"#,
            422,
            "job-never-fits",
        ),
        invalid(post.clone(), "/v1/queues/open/jobs", &[], JOB, 401, "key-missing"),
        invalid(get.clone(), "/v1/jobs/zone-a.1.77", &[KEY], "", 404, "job-unknown"),
        invalid(get.clone(), "/v1/jobs/nonsense", &[KEY], "", 404, "job-unknown"),
        invalid(get.clone(), "/v1/status", &[KEY], "", 403, "operator-key"),
        invalid(Method::PUT, "/v1/configuration", &[KEY], "", 403, "operator-key"),
    ]
}

#[test]
fn every_invalid_request_is_refused_without_effect() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(1, 1, 1, 1)).await;
        let client = TestClient::default();
        let entry = cell.entry_url(0, 0);
        for call in invalid_requests() {
            let url = format!("{entry}{}", call.path);
            let response = client.send(call.method, &url, &call.headers, call.body).await;
            let actual = (response.status, response.field("error"));
            assert_eq!(actual, (call.status, call.error.to_owned()), "{}", call.path);
            assert!(response.not_run());
        }
        let set = default_configuration(10).replace("weight = 1", "weight = none");
        let response = cell.publish(0, 0, 1, &set).await;
        assert_eq!(
            (response.status, response.field("error")),
            (422, "set-invalid".to_owned())
        );
        assert!(response.field("detail").contains("set:2: [share even] `weight`"));
        let ledger = cell.ledger().await;
        assert!(ledger.requests.is_empty() && ledger.tasks.is_empty());
        let metrics =
            client.send(Method::GET, &format!("{entry}/metrics"), &[], "").await;
        let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
        assert!(
            metrics.contains(r#"geraniumwinch_refusals_total{reason="key-unknown"} 1"#)
        );
        let log = cell.entries[&(0, 0)].log();
        assert!(
            !log.contains("key-of-yard-a") && !log.contains(OPERATOR_KEY),
            "the log must not contain keys"
        );
    });
}

#[test_case(&["--version"], 0; "the version")]
#[test_case(&["--help"], 0; "the overview")]
#[test_case(&["apply", "--help"], 0; "the help of a command")]
#[test_case(&[], 2; "no command")]
#[test_case(&["fly"], 2; "an unknown command")]
#[test_case(&["entry"], 2; "no settings option")]
#[test_case(&["entry", "--settings", "/nowhere.ini"], 2; "a missing settings file")]
#[test_case(&["check", "Cargo.toml"], 2; "a file that is not a configuration set")]
#[test_case(&["status", "--server", "http://127.0.0.1:9"], 3; "an unreachable server")]
fn the_command_line_sets_the_exit_code(args: &[&str], code: i32) {
    let output = Command::new(program_path("geraniumwinch")).args(args).output();
    let output = output.expect("the command runs");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(code == 0 || !output.stderr.is_empty(), "an error must be printed");
}
