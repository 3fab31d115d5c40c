//! Checks that a process that stops as planned leaves no request without a response, however late
//! the request arrives and however slow its answer is.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use geraniumwinch_tests::ClientConnection;
use geraniumwinch_tests::FLEET_HOST;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::RequestExchange;
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
/// How long after the vacancy a claim is under way.
const CLAIM_DELAY: Duration = Duration::from_millis(150);

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

/// Returns the bytes of a request whose client waits 3 s for the response.
fn request_bytes(method: &str, path: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {FLEET_HOST}\r\nAuthorization: {FLEET_KEY}\r\n\
         Geraniumwinch-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + body).into_bytes()
}

/// Opens a connection and has the process answer a request on it, so that it is kept open.
async fn open_connection(cell: &FleetCell, process: usize) -> ClientConnection {
    let opened = ClientConnection::open(cell.process_address(process)).await;
    let mut connection = opened.expect("the process takes connections");
    let exchange = connection.exchange(&request_bytes("GET", "/jobs/", "")).await;
    assert_eq!(exchange.and_then(|exchange| exchange.status), Some(200));
    connection
}

/// Submits a job at a time and returns the exchange, or `None` if the connection had ended before.
async fn submit_at(
    mut connection: ClientConnection,
    at: Instant,
    number: u32,
) -> Option<RequestExchange> {
    tokio::time::sleep_until(at.into()).await;
    let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100 });
    let body = json!({ "spec": "20 done", "steps": [step] }).to_string();
    let path = format!("/jobs/{}", job_id(number));
    connection.exchange(&request_bytes("POST", &path, &body)).await
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

/// Returns the HTTP status of a complete response.
fn status(exchange: &Option<RequestExchange>) -> Option<u16> {
    exchange.and_then(|exchange| exchange.status)
}

/// Checks that each request got a complete response before its connection ended.
fn check_responses(exchanges: &[Option<RequestExchange>]) {
    let waited = |exchange: &RequestExchange| exchange.ended - exchange.sent;
    let unanswered = exchanges
        .iter()
        .flatten()
        .filter(|exchange| exchange.status.is_none() && waited(exchange) > CLOSE_RACE);
    let waits: Vec<Duration> = unanswered.map(waited).collect();
    assert!(waits.is_empty(), "requests without a response after {waits:?}");
    let answered = exchanges.iter().filter(|exchange| status(exchange).is_some()).count();
    assert!(answered >= REQUESTS as usize / 3, "too few were answered: {exchanges:?}");
}

/// Checks that accepted jobs complete and that jobs that were not accepted never run.
async fn check_jobs(
    cell: &FleetCell,
    process: usize,
    exchanges: &[Option<RequestExchange>],
) {
    for (number, exchange) in (1..).zip(exchanges) {
        if status(exchange) == Some(200) {
            cell.await_state(process, &job_id(number), "completed").await;
        }
    }
    let runs = cell.runs().await;
    for (number, exchange) in (1..).zip(exchanges) {
        let id = job_id(number);
        let ran = runs.iter().any(|run| run["task"].to_string().contains(&id));
        let refused = matches!(status(exchange), Some(429 | 503));
        assert!(!(refused && ran), "job {id} was refused and ran: {exchange:?}");
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
        let exchanges: Vec<Option<RequestExchange>> = join_all(requests)
            .await
            .into_iter()
            .map(|exchange| exchange.expect("the client task panicked"))
            .collect();
        assert_eq!(code, Some(0));
        assert!(took < GRACE, "the process exited after {took:?}");
        check_responses(&exchanges);
        others(stopped).for_each(|other| cell.process(other).resume());
        cell.set_faults(json!({})).await;
        check_jobs(&cell, (stopped + 1) % PROCESSES, &exchanges).await;
    });
}

/// Guards against a stopping process that takes over an ownership which it was claiming at the signal, and
/// keeps it until it exits.
#[test]
fn a_stopping_process_keeps_no_ownership_that_it_was_claiming() {
    run_test(async {
        let mut cell = FleetCell::start(PROCESSES, 2).await;
        let owner = cell.await_owner().await;
        slow_down(&cell, SlowPart::Store).await;
        cell.kill(owner);
        wait_until("the ownership is vacant", async || {
            others(owner)
                .any(|other| cell.process(other).log().contains("event=owner-none"))
        })
        .await;
        tokio::time::sleep(CLAIM_DELAY).await;
        others(owner).for_each(|other| cell.process(other).terminate());
        for other in others(owner) {
            await_exit(&mut cell, other).await;
            let log = cell.process(other).log();
            let taken = log.matches("event=ownership-taken").count();
            let ended = log.matches("event=ownership-ended").count();
            assert_eq!(taken, ended, "ownerships taken and ended by {other}");
        }
    });
}
