//! Evacuation of a failure domain, with real processes on a stand-in for the users' platform.

use std::time::Duration;

use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::unix_millis;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

/// The number of processes; the last one is never the owner that a test disturbs.
const PROCESSES: usize = 3;
/// The number of workers: one in each domain.
const WORKERS: u16 = 2;
/// The domain of worker 0.
const DOMAIN: &str = "d0";
/// The time within which a request must be in effect.
const BOUND: Duration = Duration::from_millis(5000);

/// Returns the id of a job.
fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Returns how many runs a worker has started since a time.
fn started_on(runs: &[Value], worker: u64, since: u64) -> usize {
    let started = runs.iter().filter(|run| run["worker"] == worker);
    started.filter(|run| run["started_ms"].as_u64() >= Some(since)).count()
}

/// Submits jobs of one short task each through a process.
async fn submit_jobs(cell: &FleetCell, process: usize, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(cell.submit(process, &id(number), "100 done", 1).await, 200);
    }
}

/// Waits until each of some jobs is completed.
async fn await_completed(
    cell: &FleetCell,
    process: usize,
    numbers: std::ops::Range<u64>,
) {
    for number in numbers {
        cell.await_state(process, &id(number), "completed").await;
    }
}

/// Checks that a run in the domain goes on, that nothing starts there, and that it is used again.
#[test]
fn an_evacuated_domain_finishes_its_runs_and_gets_no_new_ones() {
    run_test(async {
        let cell = FleetCell::start_evacuable(PROCESSES, WORKERS).await;
        let owner = cell.await_owner().await;
        assert_eq!(cell.submit(owner, &id(1), "3000 done", 32).await, 200);
        wait_until("all tasks run", async || cell.runs().await.len() == 32).await;
        cell.set_evacuation(DOMAIN, true).await;
        let requested = unix_millis();
        wait_until("the request is in effect", async || {
            cell.metric(owner, "geraniumwinch_cell_evacuated_domains").await == Some(1.0)
        })
        .await;
        assert!(unix_millis() < requested + BOUND.as_millis() as u64);
        submit_jobs(&cell, owner, 2..12).await;
        await_completed(&cell, owner, 1..12).await;
        let runs = cell.runs().await;
        assert_eq!(started_on(&runs, 0, requested), 0, "{runs:#?}");
        assert!(runs.iter().all(|run| run["how"] == "done"), "{runs:#?}");
        cell.set_evacuation(DOMAIN, false).await;
        wait_until("the domain is used again", async || {
            let number = unix_millis();
            assert_eq!(cell.submit(owner, &id(number), "100 done", 32).await, 200);
            cell.await_state(owner, &id(number), "completed").await;
            started_on(&cell.runs().await, 0, requested) > 0
        })
        .await;
        cell.check_runs().await;
    });
}

/// Guards against a new owner that starts tasks in a domain whose evacuation its predecessor did not
/// learn of, or did not hand over.
#[test_case(true; "killed before it notices the request")]
#[test_case(false; "stopped gracefully")]
fn a_new_owner_withholds_starts_in_an_evacuated_domain(killed: bool) {
    run_test(async {
        let mut cell = FleetCell::start_evacuable(PROCESSES, WORKERS).await;
        let owner = cell.await_owner().await;
        let other = (owner + 1) % PROCESSES;
        submit_jobs(&cell, other, 1..3).await;
        await_completed(&cell, other, 1..3).await;
        if killed {
            cell.process(owner).freeze();
        }
        cell.set_evacuation(DOMAIN, true).await;
        let requested = unix_millis();
        if killed {
            cell.kill(owner);
        } else {
            cell.terminate(owner);
        }
        wait_until("another process owns the cell", async || {
            cell.owner().await.is_some_and(|found| found != owner)
        })
        .await;
        submit_jobs(&cell, other, 3..43).await;
        await_completed(&cell, other, 3..43).await;
        let runs = cell.runs().await;
        assert_eq!(started_on(&runs, 0, requested), 0, "{runs:#?}");
        assert!(started_on(&runs, 1, requested) >= 40);
        cell.check_runs().await;
    });
}

/// Guards against a domain that stays evacuated after it was taken back while the store did not
/// answer, and against starts there before.
#[test]
fn a_domain_that_is_taken_back_without_the_store_is_used_again() {
    run_test(async {
        let cell = FleetCell::start_evacuable(PROCESSES, WORKERS).await;
        let owner = cell.await_owner().await;
        cell.set_evacuation(DOMAIN, true).await;
        wait_until("the request is in effect", async || {
            cell.metric(owner, "geraniumwinch_cell_evacuated_domains").await == Some(1.0)
        })
        .await;
        let requested = unix_millis();
        assert_eq!(cell.submit(owner, &id(1), "2000 done", 40).await, 200);
        cell.set_faults(json!({ "store_busy": true })).await;
        cell.set_evacuation(DOMAIN, false).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(started_on(&cell.runs().await, 0, requested), 0);
        cell.set_faults(json!({})).await;
        wait_until("the domain is used again", async || {
            started_on(&cell.runs().await, 0, requested) > 0
        })
        .await;
        cell.await_state(owner, &id(1), "completed").await;
        cell.check_runs().await;
    });
}

/// Guards against an owner that goes on starting tasks although the store answers it everything but
/// which domains are evacuated.
#[test]
fn an_owner_that_cannot_read_the_requests_starts_nothing() {
    run_test(async {
        let cell = FleetCell::start_evacuable(PROCESSES, WORKERS).await;
        let owner = cell.await_owner().await;
        cell.set_faults(json!({ "evacuations_hidden": true })).await;
        cell.set_evacuation(DOMAIN, true).await;
        let requested = unix_millis();
        tokio::time::sleep(BOUND).await;
        assert_eq!(cell.owner().await, Some(owner));
        let late = unix_millis();
        submit_jobs(&cell, owner, 1..5).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let runs = cell.runs().await;
        assert_eq!(started_on(&runs, 0, late) + started_on(&runs, 1, late), 0);
        cell.set_faults(json!({})).await;
        await_completed(&cell, owner, 1..5).await;
        assert_eq!(started_on(&cell.runs().await, 0, requested), 0);
    });
}
