//! Schedules of very many occurrences.

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::unix_millis;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The memory of the smallest VM of a deployment in megabytes.
const MEMORY_MB: u64 = 120;
/// The number of schedules.
const SCHEDULES: u64 = 8;
/// A minute and a day in milliseconds.
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// The number of occurrences: one a minute for 30 days.
const OCCURRENCES: u64 = 43_200;

/// Submits a schedule whose first occurrence is due on the next day, and returns the status.
async fn submit_schedule(cell: &FleetCell, index: usize, number: u64) -> u16 {
    let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
    let body = json!({
        "spec": "100", "steps": [step], "repeats": OCCURRENCES,
        "start_ms": unix_millis() + DAY_MS, "interval_ms": MINUTE_MS,
    });
    let path = format!("/unrestricted/{number:016x}");
    cell.call(index, Method::POST, &path, Some(FLEET_KEY), &body.to_string()).await.status
}

/// Guards against a few accepted schedules that take all memory of each owner, one after the other
/// (review/6, LOST).
#[test]
fn owners_have_room_for_schedules_of_many_occurrences() {
    run_test(async {
        let mut cell = FleetCell::start(2, 2).await;
        let owner = cell.await_owner().await;
        let other = 1 - owner;
        for number in 0..SCHEDULES {
            wait_until("the schedule is accepted", async || {
                submit_schedule(&cell, other, number).await == 200
            })
            .await;
        }
        cell.check_memory(owner, MEMORY_MB);
        cell.kill(owner);
        wait_until("the next owner knows the schedules", async || {
            let path = format!("/unrestricted/{:016x}", SCHEDULES - 1);
            cell.state_at(other, &path).await.as_deref() == Some("pending")
        })
        .await;
        cell.check_memory(other, MEMORY_MB);
        assert_eq!(cell.submit(other, "00000000000000a1", "100", 1).await, 200);
        cell.await_state(other, "00000000000000a1", "completed").await;
    });
}
