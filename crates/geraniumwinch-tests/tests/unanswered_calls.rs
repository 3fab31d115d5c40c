//! Workers that leave a part of the calls without a response and answer the next one.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// The number of tasks of a job whose starts wait for one another.
const WAITING_TASKS: u32 = 60;
/// The time after the acknowledgement of a cancellation from which on no task of the job may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);
/// The time after a worker is listed as draining from which on no task may start there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time after a request to evacuate a domain from which on no task may start there.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// The failure domain of the first worker.
const DOMAIN: &str = "d0";
/// How long it takes at most until all starts would have been sent, three at a time.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// Submits a job of small tasks to the queue without permission and returns its path.
async fn submit_unrestricted(cell: &FleetCell, spec: &str, tasks: u32) -> String {
    let path = format!("/{UNRESTRICTED_QUEUE}/{:016x}", 1);
    let step = json!({ "count": tasks, "cpu": 100, "mem_mb": 16, "estimate_ms": 300 });
    let spec = format!("{spec} {UNRESTRICTED_QUEUE}");
    let body = json!({ "spec": spec, "steps": [step] }).to_string();
    let response = cell.call(0, Method::POST, &path, Some(FLEET_KEY), &body).await;
    assert_eq!(response.status, 200);
    path
}

/// Returns how long after a time the latest run has started; zero if none has.
async fn latest_start(cell: &FleetCell, since: SystemTime) -> Duration {
    let since = since.duration_since(UNIX_EPOCH).unwrap_or_default();
    let runs = cell.runs().await;
    let starts = runs.iter().filter_map(|run| run["started_ms"].as_u64());
    let latest = Duration::from_millis(starts.max().unwrap_or_default());
    latest.saturating_sub(since)
}

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
        let path = submit_unrestricted(&cell, "300 done", 1).await;
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

/// Guards against tasks of a cancelled job that start seconds after the cancellation was acknowledged:
/// their start commands waited behind others that got no response (review/4).
#[test]
fn no_task_of_a_cancelled_job_starts_after_its_start_has_waited() {
    run_test(async {
        let cell = FleetCell::start(2, 1).await;
        cell.set_faults(json!({ "starts_unanswered": true })).await;
        let path = submit_unrestricted(&cell, "60000 done", WAITING_TASKS).await;
        wait_until("a task runs", async || !cell.runs().await.is_empty()).await;
        let response = cell.call(1, Method::DELETE, &path, Some(FLEET_KEY), "").await;
        assert_eq!(response.status, 200);
        let cancelled = SystemTime::now();
        tokio::time::sleep(WATCH_TIME).await;
        let latest = latest_start(&cell, cancelled).await;
        assert!(
            latest <= CANCEL_TIME,
            "a task started {latest:?} after the cancellation"
        );
        let runs = cell.runs().await;
        let left = runs.iter().filter(|run| run["how"] == "running").count();
        assert_eq!(left, 0, "runs of the job are left");
    });
}

/// Guards against tasks that start on a worker that drains: their start commands waited behind others
/// that got no response (review/4, on days of drains).
#[test]
fn no_task_starts_on_a_draining_worker_after_its_start_has_waited() {
    run_test(async {
        let cell = FleetCell::start(2, 1).await;
        cell.set_faults(json!({ "starts_unanswered": true })).await;
        submit_unrestricted(&cell, "60000 done", WAITING_TASKS).await;
        wait_until("a task runs", async || !cell.runs().await.is_empty()).await;
        cell.set_worker_state(0, Some("draining")).await;
        let drained = SystemTime::now();
        tokio::time::sleep(WATCH_TIME).await;
        let latest = latest_start(&cell, drained).await;
        assert!(
            latest <= DRAIN_TIME,
            "a task started {latest:?} after the worker drained"
        );
    });
}

/// Guards against tasks that start in an evacuated failure domain: their start commands waited behind
/// others that got no response (review/4, other path).
#[test]
fn no_task_starts_in_an_evacuated_domain_after_its_start_has_waited() {
    run_test(async {
        let cell = FleetCell::start_evacuable(2, 1).await;
        cell.set_faults(json!({ "starts_unanswered": true })).await;
        submit_unrestricted(&cell, "60000 done", WAITING_TASKS).await;
        wait_until("a task runs", async || !cell.runs().await.is_empty()).await;
        cell.set_evacuation(DOMAIN, true).await;
        let evacuated = SystemTime::now();
        tokio::time::sleep(WATCH_TIME).await;
        let latest = latest_start(&cell, evacuated).await;
        assert!(latest <= EVACUATION_TIME, "a task started {latest:?} after the request");
    });
}
