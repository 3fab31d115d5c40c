//! Requests at an owner whose ownership ends while it serves them.

mod common;

use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;

use self::common::test_node::TestNode;
use self::common::test_node::run_test;

/// The number of jobs: more than two transactions hold.
const JOBS: usize = 70;
/// How long the store takes to execute a transaction.
const COMMIT_DELAY: Duration = Duration::from_millis(100);
/// When the ownership ends: the first transactions are on their way, and jobs wait for the next ones.
const OWNERSHIP_TIME: Duration = Duration::from_millis(20);

/// Guards against jobs that are refused although the next owner could take them: a former owner refused
/// those that it had not stored.
#[test]
fn jobs_that_a_former_owner_has_not_stored_are_handed_to_the_next_one() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.delay_commits(COMMIT_DELAY);
        let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
        let submissions = join_all(ids.iter().map(|id| node.submit(id)));
        let end = async {
            tokio::time::sleep(OWNERSHIP_TIME).await;
            node.store.remove_leases();
            node.store.delay_commits(Duration::ZERO);
        };
        let (results, ()) = join(submissions, end).await;
        let refused = results.iter().filter(|result| result.is_err()).count();
        assert_eq!(refused, 0, "{results:?}");
    });
}
