//! Queues whose rules change while accepted jobs wait, with real processes on a stand-in for the users'
//! platform.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::OTHER_SERVICE;
use geraniumwinch_tests::UNRESTRICTED_QUEUE;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;

/// The number of workers.
const WORKERS: u16 = 4;
/// The time within which a change of the configuration is in force, and a list of workers is read.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// The identifier of the job that is accepted before the change.
const JOB: &str = "00000000000000a1";

/// How the worker of the former service leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It drains first.
    Drained,
    /// It ends without an announcement.
    Crashed,
    /// It drains first, and all processes of the cell are killed after it has left.
    BeforeTakeover,
}

/// Defines a test for each kind of departure and queue.
macro_rules! cases {
    ($($name:ident($queue:expr, $departure:expr);)*) => {
        $(#[test]
        fn $name() {
            run_test(work_follows_its_queue($queue, $departure));
        })*
    };
}

cases! {
    work_follows_its_queue_after_a_drain("jobs", Departure::Drained);
    unrestricted_work_follows_its_queue_after_a_drain(UNRESTRICTED_QUEUE, Departure::Drained);
    work_follows_its_queue_after_a_crash("jobs", Departure::Crashed);
    work_follows_its_queue_after_a_takeover("jobs", Departure::BeforeTakeover);
}

/// Submits a job of two steps to a queue.
async fn submit_steps(cell: &FleetCell, queue: &str, spec: &str) {
    let step = json!({ "count": 4, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000 });
    let mut second = step.clone();
    second["after"] = json!([0]);
    let body = json!({ "spec": spec, "steps": [step, second] }).to_string();
    let path = format!("/{queue}/{JOB}");
    let response = cell.call(0, Method::POST, &path, Some(FLEET_KEY), &body).await;
    assert_eq!(response.status, 200);
}

/// Returns the workers that have started tasks of the second step.
async fn second_step_workers(cell: &FleetCell) -> Vec<u64> {
    let of_step = |run: &&Value| {
        run["task"].as_str().is_some_and(|task| task.starts_with(&format!("{JOB}.0.1.")))
    };
    let runs = cell.runs().await;
    runs.iter().filter(of_step).filter_map(|run| run["worker"].as_u64()).collect()
}

/// Guards against accepted work that stays with a service which its queue has left (LOST, review/10).
async fn work_follows_its_queue(queue: &str, departure: Departure) {
    let mut cell = FleetCell::start(3, WORKERS).await;
    for worker in 1..WORKERS {
        cell.set_worker_service(worker, OTHER_SERVICE).await;
    }
    tokio::time::sleep(CHANGE_TIME).await;
    submit_steps(&cell, queue, &format!("2500 done {UNRESTRICTED_QUEUE}")).await;
    wait_until("the first step runs", async || cell.runs().await.len() == 4).await;
    cell.publish_queues(2, OTHER_SERVICE, false).await;
    if departure != Departure::Crashed {
        cell.set_worker_state(0, Some("draining")).await;
        tokio::time::sleep(CHANGE_TIME).await;
    }
    cell.set_worker_state(0, None).await;
    if departure == Departure::BeforeTakeover {
        for process in 0..3 {
            cell.kill(process);
            cell.start_process(process);
        }
        for process in 0..3 {
            cell.await_ready(process).await;
        }
    }
    wait_until("the job is completed", async || {
        let path = format!("/{queue}/{JOB}");
        cell.state_at(0, &path).await.as_deref() == Some("completed")
    })
    .await;
    let workers = second_step_workers(&cell).await;
    assert!(!workers.contains(&0), "the second step ran on {workers:?}");
}

/// Guards against a long-running task that isn't started again on the service to which its queue goes.
#[test]
fn a_long_running_task_follows_its_queue() {
    run_test(async {
        let cell = FleetCell::start(3, WORKERS).await;
        for worker in 1..WORKERS {
            cell.set_worker_service(worker, OTHER_SERVICE).await;
        }
        tokio::time::sleep(CHANGE_TIME).await;
        let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "long_running": true });
        let body = json!({ "spec": "60000 done", "steps": [step] }).to_string();
        let path = format!("/jobs/{JOB}");
        let response = cell.call(0, Method::POST, &path, Some(FLEET_KEY), &body).await;
        assert_eq!(response.status, 200);
        wait_until("the task runs", async || cell.runs().await.len() == 1).await;
        cell.publish_queues(2, OTHER_SERVICE, false).await;
        cell.set_worker_state(0, Some("draining")).await;
        tokio::time::sleep(CHANGE_TIME).await;
        cell.set_worker_state(0, None).await;
        wait_until("the task runs on the new service", async || {
            let runs = cell.runs().await;
            runs.iter().any(|run| run["how"] == "running" && run["worker"] != 0)
        })
        .await;
        assert_eq!(cell.state_at(0, &path).await.as_deref(), Some("running"));
    });
}

/// Guards against starts without permission, refused for ever, of jobs whose queue requires one since
/// their acceptance.
#[test]
fn accepted_work_gets_the_permissions_that_its_queue_has_come_to_require() {
    run_test(async {
        let cell = FleetCell::start(2, 2).await;
        cell.set_worker_state(0, Some("draining")).await;
        cell.set_worker_state(1, Some("draining")).await;
        tokio::time::sleep(CHANGE_TIME).await;
        submit_steps(&cell, UNRESTRICTED_QUEUE, "300 done").await;
        cell.publish_queues(2, "service", true).await;
        tokio::time::sleep(CHANGE_TIME).await;
        cell.set_worker_state(0, Some("ready")).await;
        cell.set_worker_state(1, Some("ready")).await;
        wait_until("the job is completed", async || {
            let path = format!("/{UNRESTRICTED_QUEUE}/{JOB}");
            cell.state_at(0, &path).await.as_deref() == Some("completed")
        })
        .await;
        cell.check_runs().await;
    });
}
