//! Tasks that crash the workers that start them, with real processes on a stand-in for the users'
//! platform. A worker that crashed is back after some time, under another id at the same address.

use std::time::Duration;

use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use test_case::test_case;

/// The number of starts that the platform allows: three that crash their workers, and two more.
const MAX_STARTS: usize = 5;
/// The time for all of these starts, of which each takes a worker's return and a poll of it.
const GIVE_UP_TIME: Duration = Duration::from_secs(12);

/// The longest lease of a worker, in milliseconds.
const LEASE_MS: u64 = 6000;

/// Creates a job identifier.
fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Returns how often the first task of a job was started.
async fn starts(cell: &FleetCell, id: &str) -> usize {
    let runs = cell.runs().await;
    let task = format!("{id}.0.0.0");
    runs.iter().filter(|run| run["task"].as_str() == Some(&task)).count()
}

/// Waits for a task's end or its first start too many, whichever comes first.
async fn await_end(cell: &FleetCell, process: usize, id: &str) {
    let wait = wait_until("the job has failed", async || {
        cell.state(process, id).await.as_deref() == Some("failed")
            || starts(cell, id).await > MAX_STARTS
    });
    assert!(
        tokio::time::timeout(GIVE_UP_TIME, wait).await.is_ok(),
        "{} starts, and no end",
        starts(cell, id).await
    );
}

/// Guards against a task that crashes worker after worker without an end (issue 28, BUDGET).
#[test_case("0 crashes"; "at once")]
#[test_case("300 crashes"; "after some time")]
fn a_task_that_crashes_its_workers_is_given_up(spec: &str) {
    run_test(async {
        let cell = FleetCell::start(2, 6).await;
        assert_eq!(cell.submit(0, &id(1), spec, 1).await, 200);
        await_end(&cell, 1, &id(1)).await;
        let starts = starts(&cell, &id(1)).await;
        assert!((2..=MAX_STARTS).contains(&starts), "{starts} starts");
    });
}

/// Guards against a new owner that counts the crashes of a task from the beginning (issue 28).
#[test]
fn a_new_owner_knows_the_crashes_under_a_task() {
    run_test(async {
        let mut cell = FleetCell::start(3, 6).await;
        assert_eq!(cell.submit(0, &id(1), "100 crashes", 1).await, 200);
        wait_until("the task has crashed a worker and runs again", async || {
            starts(&cell, &id(1)).await == 2
        })
        .await;
        let owner = cell.await_owner().await;
        cell.kill(owner);
        await_end(&cell, (owner + 1) % 3, &id(1)).await;
        let starts = starts(&cell, &id(1)).await;
        assert!(starts <= 3, "{starts} starts");
    });
}

/// Guards against waiting for the lease of a worker that has been replaced at its address (issue 28,
/// LOST): what ran there can't run any more.
#[test]
fn work_beside_a_task_that_crashes_its_worker_is_done() {
    run_test(async {
        let cell = FleetCell::start(2, 2).await;
        for number in 1..=12 {
            assert_eq!(cell.submit(0, &id(number), "2500 done", 2).await, 200);
        }
        wait_until("both workers run tasks", async || cell.runs().await.len() == 24)
            .await;
        assert_eq!(cell.submit(1, &id(20), "0 crashes", 1).await, 200);
        await_end(&cell, 0, &id(20)).await;
        for number in 1..=12 {
            cell.await_state(0, &id(number), "completed").await;
        }
        let runs = cell.runs().await;
        let time = |run: &Value, field: &str| run[field].as_u64().unwrap_or(u64::MAX);
        let lost: Vec<&Value> =
            runs.iter().filter(|run| run["how"] == "crashed").collect();
        assert!(lost.len() > 2, "no work was lost beside the task");
        for one in
            lost.into_iter().filter(|run| !run["task"].to_string().contains(&id(20)))
        {
            let ended = time(one, "ended_ms");
            let again = runs.iter().filter(|run| run["task"] == one["task"]);
            let again =
                again.map(|run| time(run, "started_ms")).filter(|at| *at >= ended);
            let wait = again.min().unwrap_or(u64::MAX) - ended;
            assert!(wait < LEASE_MS, "{one} started again after {wait} ms");
        }
        cell.check_runs().await;
    });
}
