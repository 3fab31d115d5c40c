//! Start commands to workers that have crashed before.

mod common;

use std::rc::Rc;
use std::time::Duration;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::job_request;
use self::common::test_node::run_test;
use self::common::test_node::settings;
use self::common::test_node::wait_until;
use self::common::test_worker::CATALOG_KEY;
use self::common::test_worker::TestWorker;

const JOB: &str = "0000000000000001";
/// The number of workers: more than the crashes after which a job is given up.
const WORKERS: u8 = 8;
/// The time in which all workers have been listed and have reported.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// The time in which all workers are found to be gone, and in which the job's record is written.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// Guards against an accepted job that is shown as failed although it never began: its starts found no
/// connection, and the next owner took them for crashes of their workers (review/11, LOST).
#[test]
fn a_job_whose_workers_crashed_before_it_began_is_done() {
    run_test(async {
        let store = Rc::new(MemoryStore::default());
        store.put(CATALOG_KEY, Vec::new());
        let workers = TestWorker::responsive();
        workers.list(WORKERS);
        let node = TestNode::start_on(Rc::clone(&workers), store, settings());
        node.await_owner().await;
        tokio::time::sleep(REPORT_TIME).await;
        workers.crash();
        let accepted = node.submit_request(JOB, job_request(1)).await;
        assert!(accepted.is_ok(), "the job is refused: {accepted:?}");
        tokio::time::sleep(RECORD_TIME).await;
        // The process owns the cell again, with nothing but what it has stored.
        node.store.remove_leases();
        workers.restart();
        wait_until(async || node.is_ended(JOB).await).await;
        assert!(node.is_completed(JOB).await, "the job is shown as failed");
    });
}
