//! Workers that leave a part of the calls without a response and answer the next one.

use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::UNRESTRICTED_QUEUE;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// How long the task of a job runs.
const RUN_TIME: Duration = Duration::from_millis(300);
/// The time within which the end of a run is known: a live request is of use for a second.
const NOTICE_TIME: Duration = Duration::from_millis(1000);

/// Guards against ends that stay unseen until a poll's timeout, so that urgent jobs that start in time
/// end late.
#[test]
fn ends_are_known_soon_while_polls_get_no_response() {
    run_test(async {
        let cell = FleetCell::start(2, 2).await;
        cell.set_faults(json!({ "polls_unanswered": true })).await;
        let mut slow = Vec::new();
        for number in 1..=20 {
            let id = format!("{number:016x}");
            let began = Instant::now();
            assert_eq!(cell.submit(0, &id, "300 done", 2).await, 200);
            cell.await_state(0, &id, "completed").await;
            let took = began.elapsed();
            if took > RUN_TIME + NOTICE_TIME {
                slow.push((number, took));
            }
        }
        // One job may meet a poll that was sent before any loss was observed.
        assert!(slow.len() <= 1, "{slow:?}");
        cell.check_runs().await;
    });
}

/// Guards against running a task again after its worker has listed its end: the response to its start
/// was lost, and the worker crashed seconds after the end was listed (review/3).
#[test]
fn a_task_whose_end_was_listed_does_not_run_again_after_a_crash() {
    run_test(async {
        let cell = FleetCell::start(2, 2).await;
        cell.set_faults(json!({ "starts_unanswered": true })).await;
        let path = format!("/{UNRESTRICTED_QUEUE}/{:016x}", 1);
        let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 300 });
        let spec = format!("300 done {UNRESTRICTED_QUEUE}");
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        let response = cell.call(0, Method::POST, &path, Some(FLEET_KEY), &body).await;
        assert_eq!(response.status, 200);
        let began = Instant::now();
        wait_until("the job is shown as completed", async || {
            cell.state_at(0, &path).await.as_deref() == Some("completed")
        })
        .await;
        let took = began.elapsed();
        assert!(took <= RUN_TIME + NOTICE_TIME, "completed after {took:?}");
        cell.set_faults(json!({})).await;
        let worker = cell.runs().await[0]["worker"].as_u64().unwrap_or_default();
        cell.restart_worker(worker as u16).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(cell.runs().await.len(), 1);
        assert_eq!(cell.state_at(0, &path).await.as_deref(), Some("completed"));
        cell.check_runs().await;
    });
}
