//! The memory for jobs, which bounds what is accepted.

mod common;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_cell::CellSettings;
use geraniumwinch_cell::JobRoom;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::RunState;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::JobSchedule;
use geraniumwinch_intake::VmLimits;
use test_case::test_case;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::job_request;
use self::common::test_node::run_test;
use self::common::test_node::settings;
use self::common::test_node::stored_request;
use self::common::test_worker::TestWorker;

/// The memory of the VM in bytes, a quarter of which is for jobs.
const MEMORY_BYTES: u64 = 64_000_000;
/// The number of tasks of a wide job.
const WIDE: u32 = 65_000;
/// More wide jobs than there is room for.
const JOBS: usize = 40;
/// The number of bytes that even a compact owner needs for a task: which ones are done, in memory and in the
/// record as it is stored.
const MIN_TASK_BYTES: u64 = 4;

/// Starts a process on a small VM and waits until it owns the cell.
async fn start() -> TestNode {
    start_on(Rc::default()).await
}

/// Like [`start`], on a store.
async fn start_on(store: Rc<MemoryStore>) -> TestNode {
    let vm = VmLimits { memory_bytes: MEMORY_BYTES, ..VmLimits::detect(None, None) };
    let settings = CellSettings { vm, ..settings() };
    let node = TestNode::start_on(TestWorker::silent(), store, settings);
    node.await_owner().await;
    node
}

/// Returns the request of a job of many tasks that is due in an hour, so that it is no load now.
fn wide_request() -> JobRequest {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let first = now.unwrap_or_default() + Duration::from_secs(3600);
    let schedule = JobSchedule { repeats: 1, first, interval: Duration::from_secs(1) };
    JobRequest { schedule: Some(schedule), ..job_request(WIDE) }
}

/// Submits wide jobs of an account, and returns how many were accepted.
async fn submit_wide(node: &TestNode, account: &str, first: usize) -> usize {
    let mut accepted = 0;
    for number in first..first + JOBS {
        let id = format!("{number:016x}");
        match node.submit_as(account, &id, wide_request()).await {
            Ok(()) => accepted += 1,
            Err(refusal) => check_refusal(refusal),
        }
    }
    accepted
}

fn check_refusal(refusal: ErrorKind) {
    let response = refusal.response();
    assert_eq!(response.run, RunState::NotRun, "{refusal}");
    assert!(matches!(response.status, 429 | 503), "{refusal}");
}

/// Checks that accepted wide jobs fit into the memory for jobs.
fn check_accepted(accepted: usize) {
    let bytes = accepted as u64 * u64::from(WIDE) * MIN_TASK_BYTES;
    assert!(accepted > 0, "no job was accepted");
    assert!(bytes <= MEMORY_BYTES / 4, "{accepted} jobs were accepted");
    assert!(accepted < JOBS, "all jobs were accepted");
}

/// Guards against jobs that are accepted without any bound, so that each owner in turn has more than its memory
/// (review/14, Fault), and against an account whose jobs leave no room for those of others.
#[test]
fn an_account_leaves_room_for_the_jobs_of_others() {
    run_test(async {
        let node = start().await;
        let first = submit_wide(&node, "first", 0).await;
        check_accepted(first);
        let second = submit_wide(&node, "second", 100).await;
        check_accepted(first + second);
        assert!(second > 0, "the first account has left no room");
        assert_eq!(
            node.submit_as("third", "0000000000000fff", job_request(60)).await,
            Ok(())
        );
    });
}

/// Guards against an owner that does not count the jobs that former owners have accepted.
#[test]
fn the_next_owner_counts_the_jobs_that_it_loads() {
    run_test(async {
        let node = start().await;
        check_accepted(submit_wide(&node, "first", 0).await);
        node.store.remove_leases();
        assert_eq!(
            submit_wide(&node, "first", 100).await,
            0,
            "further jobs were accepted"
        );
        assert_eq!(
            node.submit_as("second", "0000000000000fff", wide_request()).await,
            Ok(())
        );
    });
}

/// Guards against jobs that are denied or lost, or an owner that ends, since earlier versions have accepted more
/// than there is room for.
#[test]
fn stored_jobs_beyond_the_room_are_kept_and_no_more_are_accepted() {
    run_test(async {
        let store = Rc::new(MemoryStore::default());
        let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
        for id in &ids {
            store.put(&format!("job/{id}"), stored_request(wide_request()));
        }
        let node = start_on(store).await;
        for id in &ids {
            assert_eq!(node.exists(id).await, Ok(true));
        }
        let refusal = node.submit_as("other", "0000000000000fff", job_request(1)).await;
        check_refusal(refusal.expect_err("a job was accepted"));
        assert_eq!(node.cancel(&ids[0]).await, Ok(true));
    });
}

/// Guards against jobs that are all accepted because none of them is stored yet.
#[test]
fn jobs_that_are_being_stored_count() {
    run_test(async {
        let node = start().await;
        node.store.delay_commits(Duration::from_millis(300));
        let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
        let submissions =
            ids.iter().map(|id| node.submit_as("first", id, wide_request()));
        let results = join_all(submissions).await;
        check_accepted(results.iter().filter(|result| result.is_ok()).count());
        results.into_iter().filter_map(Result::err).for_each(check_refusal);
    });
}

/// Guards against an account that shuts out others by its weight, or is shut out by its own.
#[test_case(1.0, 50; "of average weight")]
#[test_case(2.0, 66; "of twice the average weight")]
#[test_case(1e9, 66; "of very great weight")]
#[test_case(0.0, 33; "without weight")]
fn an_account_alone_uses_its_part(weight_ratio: f64, expected: u64) {
    let mut room = JobRoom { limit: 100, total: 0, own: 0, weight_ratio };
    while room.takes(1) {
        room.total += 1;
        room.own += 1;
    }
    assert_eq!(room.own, expected);
    let other = JobRoom { own: 0, weight_ratio: 0.5, ..room };
    assert!(other.takes(10), "there is no room for another account");
}

/// Guards against jobs that are refused although the former ones have ended.
#[test]
fn ended_jobs_leave_room() {
    run_test(async {
        let node = start().await;
        for round in 0..20 {
            let ids: Vec<String> =
                (0..100).map(|number| format!("{:016x}", round * 100 + number)).collect();
            let results = join_all(ids.iter().map(|id| node.submit(id))).await;
            assert!(results.iter().all(Result::is_ok), "round {round}: {results:?}");
            join_all(ids.iter().map(|id| node.cancel(id))).await;
        }
    });
}

/// Guards against a job whose record the store can't take: it would be tried again and again, and jobs that
/// share its transactions would wait and be refused.
#[test]
fn a_job_that_the_store_cannot_take_is_refused_at_once() {
    run_test(async {
        let store = Rc::new(MemoryStore::default());
        let node = TestNode::start_on(TestWorker::silent(), store, settings());
        node.await_owner().await;
        let step = job_request(1).steps[0].clone();
        let request = JobRequest { steps: vec![step; 80_000], ..job_request(1) };
        let refusal = node.submit_request("0000000000000001", request).await;
        let refusal = refusal.expect_err("the job was accepted");
        assert_eq!(refusal.response().run, RunState::NotRun, "{refusal}");
        assert!(!node.store.contains("job/0000000000000001"));
        assert_eq!(node.submit("0000000000000002").await, Ok(()));
    });
}
