//! The removal of jobs that can no longer be queried.

mod common;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_cell::CellSettings;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::run_test;
use self::common::test_node::settings;
use self::common::test_worker::TestWorker;

/// The number of jobs that end: what the designed peak of 140 a second hands in between two removals.
const JOBS: usize = 1_400;
/// The number of jobs that are handed in together.
const GROUP: usize = 100;
/// The time after which the ends are known and have been kept for the retention, with a reserve.
const REMOVAL_TIME: Duration = Duration::from_secs(25);

/// Guards against ended jobs that stay in memory and in the store because fewer are removed than end (issue
/// 56, found while the cause of SHORT was looked for elsewhere).
#[test]
fn as_many_jobs_are_removed_as_the_designed_peak_brings() {
    run_test(async {
        let settings = CellSettings { job_retention: Duration::ZERO, ..settings() };
        let store = Rc::new(MemoryStore::default());
        let node = TestNode::start_on(TestWorker::silent(), store, settings);
        node.await_owner().await;
        let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
        for group in ids.chunks(GROUP) {
            let results = join_all(group.iter().map(|id| node.submit(id))).await;
            assert!(results.iter().all(Result::is_ok), "a job was not stored");
            let results = join_all(group.iter().map(|id| node.cancel(id))).await;
            assert!(results.iter().all(|result| *result == Ok(true)));
        }
        tokio::time::sleep(REMOVAL_TIME).await;
        let found = join_all(ids.iter().map(|id| node.exists(id))).await;
        let left = found.iter().filter(|found| **found == Ok(true)).count();
        assert_eq!(left, 0, "{left} of {JOBS} jobs are left");
    });
}
