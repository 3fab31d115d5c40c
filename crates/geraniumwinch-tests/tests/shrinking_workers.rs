//! Workers whose capacity shrinks and grows while they run, with real processes on a stand-in for the
//! users' platform.

use std::time::Duration;

use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::unix_millis;
use geraniumwinch_tests::wait_until;
use serde_json::Value;

/// The time after which a capacity that has shrunk counts: the platform's `contact_ms` and one
/// heartbeat.
const SHRINK_BOUND: Duration = Duration::from_millis(4500);
/// The number of processors after the worker has shrunk.
const FEW_CORES: u64 = 3;

/// Returns the highest number of runs beside each other right after a start later than `since`.
fn most_after_start(runs: &[Value], since: u64) -> usize {
    let time = |run: &Value, field: &str| run[field].as_u64().unwrap_or(u64::MAX);
    let starts = runs.iter().map(|run| time(run, "started_ms")).filter(|at| *at >= since);
    let beside = |at: u64| {
        let running =
            |run: &&Value| time(run, "started_ms") <= at && at < time(run, "ended_ms");
        runs.iter().filter(running).count()
    };
    starts.map(beside).max().unwrap_or(0)
}

/// Guards against starts that bring a worker over a capacity that has shrunk (LIMIT), also by a new
/// owner.
#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    run_test(async {
        let mut cell = FleetCell::start(3, 1).await;
        let id = |number: u64| format!("{number:016x}");
        let owner = cell.await_owner().await;
        let other = (owner + 1) % 3;
        assert_eq!(cell.submit(other, &id(1), "2500 done", 12).await, 200);
        wait_until("the tasks run", async || cell.runs().await.len() == 12).await;
        cell.set_worker_cores(0, FEW_CORES).await;
        let since = unix_millis() + SHRINK_BOUND.as_millis() as u64;
        for number in 2..8 {
            assert_eq!(cell.submit(other, &id(number), "400 done", 2).await, 200);
        }
        tokio::time::sleep(SHRINK_BOUND).await;
        cell.kill(owner);
        for number in 8..14 {
            assert_eq!(cell.submit(other, &id(number), "400 done", 2).await, 200);
        }
        for number in 1..14 {
            cell.await_state(other, &id(number), "completed").await;
        }
        let most = most_after_start(&cell.runs().await, since);
        assert!((1..=FEW_CORES as usize).contains(&most), "{most} tasks at once");
        cell.set_worker_cores(0, 16).await;
        assert_eq!(cell.submit(other, &id(14), "1500 done", 12).await, 200);
        wait_until("the capacity is used again", async || {
            let runs = cell.runs().await;
            runs.iter().filter(|run| run["how"] == "running").count() == 12
        })
        .await;
        cell.check_runs().await;
    });
}
