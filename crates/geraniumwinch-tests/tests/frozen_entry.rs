//! A process that is suspended while a client's request waits at it.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::ClientConnection;
use geraniumwinch_tests::FLEET_HOST;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use test_case::test_case;

const PATH: &str = "/unrestricted/00000000000000f1";
/// The path of the job whose owner is replaced.
const MOVED_PATH: &str = "/unrestricted/00000000000000f2";
/// The time after which the owner's lease has ended for certain while it is suspended.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// How long the client waits for a response before it leaves.
const CLIENT_TIME: Duration = Duration::from_secs(3);
/// How long the process is suspended: longer than the client waits.
const FREEZE: Duration = Duration::from_millis(3500);
/// How long the job is watched for afterwards.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Guards against a job that is accepted and run after its cancellation was answered with "no such job":
/// a suspended process forwarded the submission when it woke (frozen-entry, UNASKED).
#[test_case(1; "at_another_process")]
#[test_case(0; "at_the_owner")]
fn a_submission_that_waited_at_a_suspended_process_starts_nothing(offset: usize) {
    run_test(async move {
        let mut cell = FleetCell::start(3, 2).await;
        let owner = cell.await_owner().await;
        let (frozen, other) = ((owner + offset) % 3, (owner + 2) % 3);
        cell.process(frozen).freeze();
        submit_and_leave(&cell, frozen, PATH, "").await;
        let cancel = cell.call(other, Method::DELETE, PATH, Some(FLEET_KEY), "").await;
        assert_eq!(cancel.status, 410, "the job is known before it has arrived");
        tokio::time::sleep(FREEZE - CLIENT_TIME).await;
        cell.process(frozen).resume();
        tokio::time::sleep(WATCH_TIME).await;
        let runs = cell.runs().await;
        assert!(runs.is_empty(), "tasks have started: {runs:?}");
        let state = cell.call(other, Method::GET, PATH, Some(FLEET_KEY), "").await;
        assert_eq!(state.status, 410, "the cancelled job exists");
    });
}

/// What happens to the owner that has answered a cancellation.
#[derive(Debug, Clone, Copy)]
enum OwnerFault {
    Kill,
    Terminate,
    Suspend,
}

/// Guards against a job that is accepted and run by the next owner after the former one has answered its
/// cancellation with "no such job" (review/13, UNASKED).
#[test_case(OwnerFault::Kill, ""; "killed")]
#[test_case(OwnerFault::Terminate, ""; "stopped")]
#[test_case(OwnerFault::Suspend, ""; "suspended")]
#[test_case(OwnerFault::Kill, r#","long_running":true"#; "killed, with a long running task")]
fn a_submission_that_waits_until_the_owner_is_replaced_starts_nothing(
    fault: OwnerFault,
    fields: &'static str,
) {
    run_test(async move {
        let mut cell = FleetCell::start(3, 2).await;
        let owner = cell.await_owner().await;
        let (frozen, other) = ((owner + 1) % 3, (owner + 2) % 3);
        cell.process(frozen).freeze();
        submit_and_leave(&cell, frozen, MOVED_PATH, fields).await;
        let cancel =
            cell.call(other, Method::DELETE, MOVED_PATH, Some(FLEET_KEY), "").await;
        assert_eq!(cancel.status, 410, "the job is known before it has arrived");
        match fault {
            OwnerFault::Kill => cell.process(owner).kill(),
            OwnerFault::Terminate => cell.process(owner).terminate(),
            OwnerFault::Suspend => {
                cell.process(owner).freeze();
                tokio::time::sleep(LEASE_TIME).await;
            }
        }
        tokio::time::sleep(FREEZE - CLIENT_TIME).await;
        cell.process(frozen).resume();
        if matches!(fault, OwnerFault::Suspend) {
            tokio::time::sleep(WATCH_TIME / 2).await;
            cell.process(owner).resume();
        }
        tokio::time::sleep(WATCH_TIME).await;
        let runs = cell.runs().await;
        assert!(runs.is_empty(), "tasks have started: {runs:?}");
        let state = cell.call(other, Method::GET, MOVED_PATH, Some(FLEET_KEY), "").await;
        assert_eq!(state.status, 410, "the cancelled job exists");
    });
}

/// Submits a job to a suspended process with further fields of its step, and leaves without a response.
async fn submit_and_leave(cell: &FleetCell, process: usize, path: &str, fields: &str) {
    let body = format!(
        r#"{{"spec":"100 done unrestricted","steps":[{{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":100{fields}}}]}}"#
    );
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {FLEET_HOST}\r\nAuthorization: {FLEET_KEY}\r\n\
         Geraniumwinch-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let address = cell.process_address(process);
    let mut client = ClientConnection::open(address).await.expect("a connection");
    let exchange = client.exchange(request.as_bytes());
    let left = tokio::time::timeout(CLIENT_TIME, exchange).await;
    assert!(left.is_err(), "a suspended process has responded");
}
