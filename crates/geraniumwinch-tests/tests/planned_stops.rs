//! Checks that a process that stops as planned leaves no request without a response, however late
//! the request arrives and however slow its answer is.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use geraniumwinch_tests::ExchangeEnd;
use geraniumwinch_tests::FLEET_HOST;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::HeldConnection;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;
use test_case::test_case;

/// The number of processes of the cell.
const PROCESSES: usize = 3;
/// The time between the signal to stop and the platform's forced termination.
const GRACE: Duration = Duration::from_secs(4);
/// When the first of the late requests is sent, from the signal on.
const FIRST_REQUEST: Duration = Duration::from_millis(1200);
/// The time between two late requests.
const REQUEST_GAP: Duration = Duration::from_millis(40);
/// The number of late requests; the last ones find no process any more.
const REQUESTS: u32 = 70;
/// The age of a request up to which its connection may have been closed while it was under way.
const CLOSE_RACE: Duration = Duration::from_millis(100);
/// When the other processes are held back, from the signal on.
const HOLD_BACK: Duration = Duration::from_millis(1900);

/// What makes the responses slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlowPart {
    /// The store responds to transactions after 0.9 s.
    Store,
    /// The store commits transactions without responding in time.
    SilentStore,
    /// The owner and the process that could take over are frozen.
    Owner,
}

/// Creates a job identifier.
fn job_id(number: u32) -> String {
    format!("{number:016x}")
}

/// Returns the headers of a client that waits 3 s for the response.
fn headers() -> [(&'static str, &'static str); 3] {
    [
        ("Host", FLEET_HOST),
        ("Authorization", FLEET_KEY),
        ("Geraniumwinch-Deadline-Ms", "3000"),
    ]
}

/// Opens a connection and has the process answer a request on it, so that it is kept open.
async fn open_connection(cell: &FleetCell, process: usize) -> HeldConnection {
    let opened = HeldConnection::open(cell.process_address(process)).await;
    let mut connection = opened.expect("the process takes connections");
    let end = connection.exchange("GET", "/jobs/", &headers(), "").await;
    assert_eq!(end.status(), Some(200));
    connection
}

/// Submits a job at a time and returns how the request ended.
async fn submit_at(
    mut connection: HeldConnection,
    at: Instant,
    number: u32,
) -> ExchangeEnd {
    tokio::time::sleep_until(at.into()).await;
    let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
    let body = json!({ "spec": "20 done", "steps": [step] }).to_string();
    let path = format!("/jobs/{}", job_id(number));
    connection.exchange("POST", &path, &headers(), &body).await
}

/// Makes the responses slow.
async fn slow_down(cell: &FleetCell, slow: SlowPart) {
    match slow {
        SlowPart::Store => cell.set_faults(json!({ "store_delay_ms": 900 })).await,
        SlowPart::SilentStore => cell.set_faults(json!({ "store_lost": true })).await,
        SlowPart::Owner => {}
    }
}

/// Returns a process to stop.
fn process_to_stop(owner: usize, of_owner: bool) -> usize {
    if of_owner { owner } else { (owner + 1) % PROCESSES }
}

/// Returns the processes other than one.
fn others(process: usize) -> impl Iterator<Item = usize> {
    (0..PROCESSES).filter(move |other| *other != process)
}

/// Waits until a process has exited and returns how long that took, with the exit code.
async fn await_exit(cell: &mut FleetCell, process: usize) -> (Duration, Option<i32>) {
    let began = Instant::now();
    wait_until("the process exits", async || cell.process(process).exit_code().is_some())
        .await;
    (began.elapsed(), cell.process(process).exit_code())
}

/// Checks that each request got a complete response before its connection ended.
fn check_ends(ends: &[ExchangeEnd]) {
    let cut = ends
        .iter()
        .enumerate()
        .filter(|(_, end)| matches!(end, ExchangeEnd::Cut(after) if *after > CLOSE_RACE));
    let cut: Vec<_> = cut.collect();
    assert!(cut.is_empty(), "requests without a response: {cut:?}");
    let answered = ends.iter().filter(|end| end.status().is_some()).count();
    assert!(answered >= REQUESTS as usize / 3, "too few were answered: {ends:?}");
}

/// Checks that accepted jobs complete and that jobs that were not accepted never run.
async fn check_jobs(cell: &FleetCell, process: usize, ends: &[ExchangeEnd]) {
    for (number, end) in (1..).zip(ends) {
        if end.status() == Some(200) {
            cell.await_state(process, &job_id(number), "completed").await;
        }
    }
    let runs = cell.runs().await;
    for (number, end) in (1..).zip(ends) {
        let id = job_id(number);
        let ran = runs.iter().any(|run| run["task"].to_string().contains(&id));
        let refused = matches!(end.status(), Some(429 | 503));
        assert!(!(refused && ran), "job {id} was refused and ran: {end:?}");
    }
    cell.check_runs().await;
}

/// Guards against requests that got no response because the process exited at a fixed time after the
/// signal, whatever was in progress (butoan-sched-grown, issue 40).
#[test_case(SlowPart::Store, false; "with a slow store")]
#[test_case(SlowPart::Store, true; "by the owner with a slow store")]
#[test_case(SlowPart::SilentStore, false; "with a silent store")]
#[test_case(SlowPart::SilentStore, true; "by the owner with a silent store")]
#[test_case(SlowPart::Owner, false; "with an owner that is held back")]
fn late_requests_on_open_connections_are_answered(slow: SlowPart, of_owner: bool) {
    run_test(async move {
        let mut cell = FleetCell::start(PROCESSES, 4).await;
        let owner = cell.await_owner().await;
        let stopped = process_to_stop(owner, of_owner);
        let connections = (0..REQUESTS).map(|_| open_connection(&cell, stopped));
        let connections = join_all(connections).await;
        cell.process(stopped).terminate();
        let began = Instant::now();
        slow_down(&cell, slow).await;
        let times = (0..REQUESTS).map(|number| FIRST_REQUEST + REQUEST_GAP * number);
        let requests = connections.into_iter().zip(times).zip(1..);
        let requests = requests.map(|((connection, after), number)| {
            actix_rt::spawn(submit_at(connection, began + after, number))
        });
        let requests: Vec<_> = requests.collect();
        if slow == SlowPart::Owner {
            tokio::time::sleep(HOLD_BACK).await;
            others(stopped).for_each(|other| cell.process(other).freeze());
        }
        let (_, code) = await_exit(&mut cell, stopped).await;
        let took = began.elapsed();
        let ends: Vec<ExchangeEnd> = join_all(requests)
            .await
            .into_iter()
            .map(|end| end.expect("the client task panicked"))
            .collect();
        assert_eq!(code, Some(0));
        assert!(took < GRACE, "the process exited after {took:?}");
        check_ends(&ends);
        others(stopped).for_each(|other| cell.process(other).resume());
        cell.set_faults(json!({})).await;
        check_jobs(&cell, (stopped + 1) % PROCESSES, &ends).await;
    });
}
