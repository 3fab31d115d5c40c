//! Workers that leave as they have announced, with real processes on a stand-in for the users' platform.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The path of the only job.
const PATH: &str = "/jobs/00000000000000a1";
/// How long the worker serves after it has announced that it leaves: more than a read of the list, and
/// less than three intervals of its reports.
const NOTICE: Duration = Duration::from_millis(1500);
/// The time after the worker has left within which its task is started elsewhere. The lease of the run
/// would last for 6 s.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Guards against tasks that wait for the lease of a worker that has left as announced (LOST on days of
/// drains).
#[test]
fn a_task_of_a_worker_that_has_left_waits_for_no_lease() {
    run_test(async {
        let cell = FleetCell::start(3, 2).await;
        let step =
            json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60_000 });
        let body = json!({ "spec": "20000 done", "steps": [step] }).to_string();
        let response = cell.call(0, Method::POST, PATH, Some(FLEET_KEY), &body).await;
        assert_eq!(response.status, 200);
        wait_until("the task runs", async || cell.runs().await.len() == 1).await;
        let worker = cell.runs().await[0]["worker"].as_u64().expect("a worker") as u16;
        cell.set_worker_state(worker, Some("draining")).await;
        tokio::time::sleep(NOTICE).await;
        cell.end_worker(worker).await;
        let took =
            wait_until("the task runs elsewhere", async || cell.runs().await.len() == 2)
                .await;
        assert!(took < RESTART_TIME, "the second run began after {took:?}");
        cell.check_runs().await;
    });
}
