//! More ends of one worker than a report lists, with real processes on a stand-in for the users'
//! platform.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The number of jobs, and of tasks of each; all of them fit one worker, which lists 500 ends at most.
const JOBS: u64 = 12;
const TASKS: u32 = 60;
/// The run time of the first job's tasks, and how much longer those of each further job run.
const RUN_TIME: Duration = Duration::from_millis(4000);
const RUN_TIME_STEP: Duration = Duration::from_millis(150);
/// The clients' estimate, which is so long that runs don't count as stalled: the stand-in shows no
/// progress.
const ESTIMATE: Duration = Duration::from_secs(60);
/// How long the store refuses all calls.
const OUTAGE: Duration = Duration::from_millis(4500);
/// The time between two outages, and the length of the second.
const SECOND_OUTAGE: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_secs(3));

/// What happens beside the outage of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Nothing.
    None,
    /// All processes of the cell are killed at its end.
    Kills,
    /// Another outage follows.
    Second,
}

/// Defines a test for each kind of trouble.
macro_rules! cases {
    ($($name:ident($trouble:expr);)*) => {
        $(#[test]
        fn $name() {
            run_test(done_tasks_run_once($trouble));
        })*
    };
}

cases! {
    done_tasks_run_once_although_their_ends_are_listed_late(Trouble::None);
    done_tasks_run_once_although_a_new_owner_reads_their_ends_late(Trouble::Kills);
    done_tasks_run_once_although_the_store_is_out_twice(Trouble::Second);
}

/// Has the store refuse all calls for some time.
async fn refuse_calls(cell: &FleetCell, time: Duration) {
    cell.set_faults(json!({ "store_busy": true })).await;
    tokio::time::sleep(time).await;
    cell.set_faults(json!({})).await;
}

/// Guards against second runs of tasks whose ends are beyond those that a report lists (TWICE,
/// review/7).
async fn done_tasks_run_once(trouble: Trouble) {
    let mut cell = FleetCell::start(3, 1).await;
    let path = |number: u64| format!("/jobs/{number:016x}");
    for number in 0..JOBS {
        let time = RUN_TIME + RUN_TIME_STEP * number as u32;
        let step = json!({
            "count": TASKS, "cpu": 20, "mem_mb": 16, "estimate_ms": ESTIMATE.as_millis(),
        });
        let body = json!({
            "spec": format!("{} done", time.as_millis()), "steps": [step],
        });
        let (path, body) = (path(number), body.to_string());
        let response = cell.call(0, Method::POST, &path, Some(FLEET_KEY), &body).await;
        assert_eq!(response.status, 200);
    }
    wait_until("a task has ended", async || {
        cell.runs().await.iter().any(|run| run["how"] == "done")
    })
    .await;
    refuse_calls(&cell, OUTAGE).await;
    match trouble {
        Trouble::None => {}
        Trouble::Kills => {
            for process in 0..3 {
                cell.kill(process);
                cell.start_process(process);
            }
            for process in 0..3 {
                cell.await_ready(process).await;
            }
        }
        Trouble::Second => {
            let (pause, outage) = SECOND_OUTAGE;
            tokio::time::sleep(pause).await;
            refuse_calls(&cell, outage).await;
        }
    }
    for number in 0..JOBS {
        wait_until("the jobs are completed", async || {
            cell.state_at(0, &path(number)).await.as_deref() == Some("completed")
        })
        .await;
    }
    cell.check_runs().await;
    let runs = cell.runs().await.len() as u64;
    assert_eq!(runs, JOBS * u64::from(TASKS), "each task runs once");
}
