//! Steps of very many tasks.

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::unix_millis;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The memory of the smallest VM of a deployment in megabytes.
const MEMORY_MB: u64 = 120;
/// The number of jobs, each of one step.
const JOBS: u64 = 8;
/// The number of tasks of a step.
const TASKS: u64 = 65_000;
/// The time in milliseconds after which the jobs are due: all of them are accepted by then.
const DUE_MS: u64 = 3_000;

/// Submits a job whose tasks are due at a time, and returns the status.
async fn submit_wide(cell: &FleetCell, index: usize, number: u64, due_ms: u64) -> u16 {
    let step = json!({ "count": TASKS, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
    let body = json!({
        "spec": "100 done unrestricted", "steps": [step], "repeats": 1, "start_ms": due_ms, "interval_ms": 1000,
    });
    let path = format!("/unrestricted/{number:016x}");
    cell.call(index, Method::POST, &path, Some(FLEET_KEY), &body.to_string()).await.status
}

/// Waits until a process shows that tasks of all jobs run or ran, or that they wait behind others.
async fn await_jobs(cell: &FleetCell, index: usize) {
    wait_until("the owner knows the jobs, and one of them runs", async || {
        let mut states = Vec::new();
        for number in 0..JOBS {
            states.push(
                cell.state_at(index, &format!("/unrestricted/{number:016x}")).await,
            );
        }
        let running = states.iter().any(|state| state.as_deref() == Some("running"));
        running && states.iter().all(Option::is_some)
    })
    .await;
}

/// Guards against a few accepted jobs of very many tasks that take all memory of each owner, one after the
/// other, once the tasks are due (review/14, Fault).
#[test]
fn owners_have_room_for_steps_of_many_tasks() {
    run_test(async {
        let mut cell = FleetCell::start(2, 2).await;
        let owner = cell.await_owner().await;
        let other = 1 - owner;
        let due = unix_millis() + DUE_MS;
        for number in 0..JOBS {
            wait_until("the job is accepted", async || {
                submit_wide(&cell, other, number, due).await == 200
            })
            .await;
        }
        await_jobs(&cell, other).await;
        cell.check_memory(owner, MEMORY_MB);
        cell.kill(owner);
        wait_until("another process owns the cell", async || {
            let path = "/unrestricted/00000000000000a1";
            cell.call(other, Method::GET, path, Some(FLEET_KEY), "").await.status == 410
        })
        .await;
        await_jobs(&cell, other).await;
        cell.check_memory(other, MEMORY_MB);
    });
}
