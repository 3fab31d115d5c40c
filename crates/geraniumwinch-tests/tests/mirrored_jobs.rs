//! Checks that jobs that were accepted during an outage of the store survive their owner, although
//! other processes of the domain fail, too.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::TestResponse;
use geraniumwinch_tests::default_configuration;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The API key of the team that submits the jobs.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The number of tasks of a job.
const TASKS: usize = 20;
/// How many of them run at once, so that a job outlasts the owner that accepted it.
const RUNNING_TASKS: u32 = 2;
/// How long it takes until a process that has joined is named in the store's record of members.
const JOINING: Duration = Duration::from_millis(1500);

/// Starts a domain of some processes and two workers.
async fn start_domain(entries: usize) -> TestCell {
    let plan = CellPlan::new(1, entries, 1, 2)
        .setting("workers", "task-lease-ms", "2000")
        .with_configuration(default_configuration(RUNNING_TASKS));
    let cell = TestCell::start(plan).await;
    tokio::time::sleep(JOINING).await;
    cell
}

/// Submits a job through a process and returns the response.
async fn submit(cell: &TestCell, index: usize) -> TestResponse {
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, index));
    let body = format!(
        r#"{{"kind":"batch","tasks":{TASKS},"cpu_millis":500,"memory_bytes":1000000,
            "run_time_ms":400}}"#
    );
    TestClient::default().send(Method::POST, &url, &[KEY], body).await
}

/// Makes the store unavailable and submits a job, which another process mirrors.
async fn submit_during_outage(cell: &TestCell, owner: usize) {
    cell.set_store_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let response = submit(cell, owner).await;
    assert_eq!(response.status, 202, "{:?}", response.body);
}

/// Waits until the tasks of a number of jobs have succeeded, and checks that none overlapped.
async fn await_jobs(cell: &TestCell, jobs: usize) {
    let tasks = jobs * TASKS;
    let description = format!("{tasks} tasks have succeeded");
    wait_until(&description, async || cell.ledger().await.succeeded() >= tasks).await;
    assert!(cell.ledger().await.overlapping_tasks().is_empty());
}

/// Waits until a process's log shows an event.
async fn await_event(cell: &TestCell, index: usize, event: &str) {
    let event = format!("event={event} ");
    wait_until(&event, async || cell.entries[&(0, index)].log().contains(&event)).await;
}

/// Guards against accepted jobs that are lost as the process that mirrors them answers the new
/// owner late.
#[test]
fn a_mirrored_job_survives_a_suspended_mirror() {
    run_test(async {
        let mut cell = start_domain(3).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        let others: Vec<usize> = (0..3).filter(|&index| index != owner).collect();
        let (mirror, successor) = (others[0], others[1]);
        // The successor isn't reached by what the owner sends during the outage.
        cell.entries[&(0, successor)].freeze();
        submit_during_outage(&cell, owner).await;
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        cell.entries[&(0, mirror)].freeze();
        cell.entries[&(0, successor)].resume();
        cell.set_store_faults(json!({})).await;
        await_event(&cell, successor, "owner-silent").await;
        tokio::time::sleep(Duration::from_millis(1000)).await;
        cell.entries[&(0, mirror)].resume();
        await_jobs(&cell, 1).await;
    });
}

/// Guards against accepted jobs that are lost with the one process that mirrors them, although
/// other processes of the domain could have kept them, too.
#[test]
fn a_mirrored_job_survives_the_loss_of_the_owner_and_a_process() {
    run_test(async {
        let mut cell = start_domain(4).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        submit_during_outage(&cell, owner).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        let mirror = (0..4).find(|&index| index != owner).expect("another process");
        cell.entries.get_mut(&(0, mirror)).unwrap().kill();
        cell.set_store_faults(json!({})).await;
        await_jobs(&cell, 1).await;
        let takeovers = cell
            .entries
            .values()
            .map(|process| process.log().matches("event=ownership-taken ").count());
        assert_eq!(takeovers.sum::<usize>(), 2, "a new owner must keep its lease");
    });
}

/// Guards against accepted jobs that are lost as an owner that has owned the domain before tells
/// others that the store has what it has not.
#[test]
fn a_mirrored_job_survives_an_owner_that_owned_the_domain_before() {
    run_test(async {
        let mut cell = start_domain(2).await;
        let first = cell.owner_of(0).await.expect("an owner");
        let second = 1 - first;
        assert_eq!(submit(&cell, first).await.status, 202);
        await_jobs(&cell, 1).await;
        // The last ends are journaled, too, so that the next owners write nothing.
        tokio::time::sleep(JOINING).await;
        cell.entries[&(0, first)].freeze();
        await_event(&cell, second, "ownership-taken").await;
        cell.entries[&(0, first)].resume();
        cell.entries.get_mut(&(0, second)).unwrap().kill();
        wait_until("the first owner owns the domain again", async || {
            let log = cell.entries[&(0, first)].log();
            log.matches("event=ownership-taken ").count() == 2
        })
        .await;
        cell.start_entry(0, second);
        cell.wait_ready(1).await;
        tokio::time::sleep(JOINING).await;
        submit_during_outage(&cell, first).await;
        // Several heartbeats say meanwhile what the store has.
        tokio::time::sleep(Duration::from_millis(1000)).await;
        cell.entries.get_mut(&(0, first)).unwrap().kill();
        cell.set_store_faults(json!({})).await;
        await_jobs(&cell, 2).await;
    });
}
