//! Long-running tasks that end by themselves, with real processes on a stand-in for the users' platform.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::unix_millis;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;

/// The path of the only job.
const PATH: &str = "/jobs/00000000000000a1";
/// The time after a run within which each task has to be at work again: 6 s, and 3 s more until that
/// counts.
const RESTART_TIME: Duration = Duration::from_secs(9);
/// The time after a cancellation from which on no task of the job may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// A job with one long-running step.
#[derive(Debug, Clone, Copy)]
struct LastingJob {
    tasks: u32,
    gang: bool,
    /// How long each run lasts until it ends `done`.
    run_time: Duration,
    /// Whether all processes of the cell are killed after the first end.
    kills: bool,
}

/// Defines a test for each job.
macro_rules! cases {
    ($($name:ident($tasks:expr, $gang:expr, $millis:expr, $kills:expr);)*) => {
        $(#[test]
        fn $name() {
            let run_time = Duration::from_millis($millis);
            let (tasks, gang, kills) = ($tasks, $gang, $kills);
            run_test(tasks_are_restarted(LastingJob { tasks, gang, run_time, kills }));
        })*
    };
}

cases! {
    a_long_running_task_is_restarted_when_it_is_done(1, false, 2000, false);
    long_running_tasks_are_restarted_each_time(5, false, 900, false);
    a_long_running_gang_is_restarted_when_it_is_done(3, true, 2000, false);
    a_new_owner_restarts_a_long_running_task(1, false, 2000, true);
}

/// Returns the number of a task's runs.
fn count_runs(runs: &[Value], index: u32) -> usize {
    let suffix = format!(".0.0.{index}");
    let of_task =
        |run: &&Value| run["task"].as_str().is_some_and(|task| task.ends_with(&suffix));
    runs.iter().filter(of_task).count()
}

/// Guards against long-running tasks that end `done` and are never restarted, with a job that is shown
/// as completed (LOST, review/8).
async fn tasks_are_restarted(job: LastingJob) {
    let mut cell = FleetCell::start(3, 3).await;
    let step = json!({
        "count": job.tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000,
        "gang": job.gang, "long_running": true,
    });
    let spec = format!("{} done", job.run_time.as_millis());
    let body = json!({ "spec": spec, "steps": [step] }).to_string();
    let response = cell.call(0, Method::POST, PATH, Some(FLEET_KEY), &body).await;
    assert_eq!(response.status, 200);
    wait_until("all tasks have ended once", async || {
        let runs = cell.runs().await;
        let done = runs.iter().filter(|run| run["how"] == "done").count();
        done >= job.tasks as usize
    })
    .await;
    if job.kills {
        for process in 0..3 {
            cell.kill(process);
            cell.start_process(process);
        }
        for process in 0..3 {
            cell.await_ready(process).await;
        }
    }
    for runs in 2..=3 {
        let took = wait_until("each task is started again", async || {
            let all = cell.runs().await;
            (0..job.tasks).all(|index| count_runs(&all, index) >= runs)
        })
        .await;
        assert!(took < job.run_time + RESTART_TIME, "run {runs} began after {took:?}");
        assert_eq!(cell.state_at(0, PATH).await.as_deref(), Some("running"));
    }
    assert!(overlaps(&cell.runs().await).is_empty(), "a task ran twice at a time");
    let response = cell.call(0, Method::DELETE, PATH, Some(FLEET_KEY), "").await;
    assert_eq!(response.status, 200);
    let cancelled = unix_millis();
    assert_eq!(cell.state_at(0, PATH).await.as_deref(), Some("cancelled"));
    tokio::time::sleep(CANCEL_TIME * 2).await;
    let runs = cell.runs().await;
    let latest = runs.iter().filter_map(|run| run["started_ms"].as_u64()).max();
    let limit = cancelled + CANCEL_TIME.as_millis() as u64;
    assert!(latest.is_some_and(|started| started < limit), "started after the cancel");
}

/// Returns pairs of runs of one task that were in progress at the same time.
fn overlaps(runs: &[Value]) -> Vec<(Value, Value)> {
    let time = |run: &Value, field: &str| run[field].as_u64().unwrap_or(u64::MAX);
    let mut found = Vec::new();
    for (index, one) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let together = time(one, "started_ms") < time(other, "ended_ms")
                && time(other, "started_ms") < time(one, "ended_ms");
            if one["task"] == other["task"] && together {
                found.push((one.clone(), other.clone()));
            }
        }
    }
    found
}
