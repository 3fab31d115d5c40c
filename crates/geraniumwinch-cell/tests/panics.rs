//! Tasks of a process that panic.
//!
//! A panic must neither take a part of the process away for good nor lose a job.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_cell::CellSettings;
use test_case::test_case;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::job_request;
use self::common::test_node::run_test;
use self::common::test_node::settings;
use self::common::test_node::wait_until;
use self::common::test_worker::CATALOG_KEY;
use self::common::test_worker::EVACUATION_PREFIX;
use self::common::test_worker::PortCall;
use self::common::test_worker::TestWorker;

/// The job that is at work when a task panics.
const JOB: &str = "0000000000000001";
/// The job that is submitted afterwards.
const NEXT_JOB: &str = "0000000000000002";
/// The number of tasks of a job.
const TASKS: u32 = 4;
/// The time within which a request to evacuate a domain is in effect.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Starts a process with a responsive worker.
async fn start() -> (TestNode, Rc<TestWorker>) {
    let store = Rc::new(MemoryStore::default());
    store.put(CATALOG_KEY, Vec::new());
    let worker = TestWorker::responsive();
    let settings =
        CellSettings { evacuation_bound: Some(EVACUATION_BOUND), ..settings() };
    let node = TestNode::start_on(Rc::clone(&worker), store, settings);
    node.await_owner().await;
    (node, worker)
}

/// Checks that a job that was accepted before a panic ends, and one that is submitted after it.
async fn check_jobs(node: &TestNode) {
    wait_until(async || node.submit_request(NEXT_JOB, job_request(TASKS)).await.is_ok())
        .await;
    for job in [JOB, NEXT_JOB] {
        wait_until(async || node.is_completed(job).await).await;
    }
}

/// Guards against a process that goes on as the owner without a part of itself: the loops that poll
/// workers had ended by a panic, and no end of a run was seen any more (issue 47).
#[test_case(PortCall::Poll; "a loop that polls a worker")]
#[test_case(PortCall::Start; "the task of a start command")]
#[test_case(PortCall::List; "the loop that lists the workers")]
#[test_case(PortCall::Catalog; "the loop that follows the configuration")]
#[test_case(PortCall::Evacuation; "the loop that follows the evacuations")]
fn jobs_end_after_a_panic_of(call: PortCall) {
    run_test(async {
        let (node, worker) = start().await;
        wait_until(async || node.submit_request(JOB, job_request(TASKS)).await.is_ok())
            .await;
        // The second panic shows that the task is there again after the first.
        for other_job in ["0000000000000003", "0000000000000004"] {
            worker.panic_at(call);
            wait_until(async || {
                node.store.put(CATALOG_KEY, Vec::new());
                node.store.put(&format!("{EVACUATION_PREFIX}other"), Vec::new());
                // It may be refused while there is no owner.
                let _ = node.submit_request(other_job, job_request(TASKS)).await;
                worker.has_panicked()
            })
            .await;
        }
        check_jobs(&node).await;
    });
}

/// Guards against a journal that waits for ever for a transaction whose task has panicked.
#[test]
fn jobs_end_after_a_panic_of_a_transaction() {
    run_test(async {
        let (node, _worker) = start().await;
        wait_until(async || node.submit_request(JOB, job_request(TASKS)).await.is_ok())
            .await;
        let panicked = Rc::new(Cell::new(false));
        node.store.on_commit(move |_, _| {
            assert!(panicked.replace(true), "a transaction of the test's store panics");
            false
        });
        check_jobs(&node).await;
    });
}

/// Guards against an owner that no longer renews its ownership.
#[test]
fn jobs_end_after_a_panic_of_the_renewal() {
    run_test(async {
        let (node, _worker) = start().await;
        wait_until(async || node.submit_request(JOB, job_request(TASKS)).await.is_ok())
            .await;
        for _ in 0..2 {
            node.store.panic_at_renewal();
            wait_until(async || !node.store.awaits_panic()).await;
        }
        check_jobs(&node).await;
    });
}
