//! An owner whose processor is busy, so that each wait takes as long as a turn of its other work.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;

use self::common::test_node::TestNode;
use self::common::test_node::run_test;

/// The number of jobs: twenty full transactions.
const JOBS: usize = 560;
/// The number of transactions that they need.
const TRANSACTIONS: usize = 20;
/// How long the other work occupies the processor in each turn, which is longer than the time between
/// two transactions.
const TURN_TIME: Duration = Duration::from_millis(40);

/// Occupies the processor in turns with everything else, and counts the turns.
async fn occupy(turns: Rc<Cell<usize>>) {
    loop {
        std::thread::sleep(TURN_TIME);
        turns.set(turns.get() + 1);
        tokio::task::yield_now().await;
    }
}

/// Guards against an owner that stores less the busier it is, so that ends stay unacknowledged, workers
/// list them again and again, and the owner never comes back from a peak (issue 56, SHORT).
#[test]
fn a_busy_owner_stores_more_than_one_transaction_a_turn() {
    run_test(async {
        let node = TestNode::start().await;
        let turns = Rc::new(Cell::new(0));
        let work = actix_rt::spawn(occupy(Rc::clone(&turns)));
        let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
        let results = join_all(ids.iter().map(|id| node.submit(id))).await;
        work.abort();
        assert!(results.iter().all(Result::is_ok), "a job was not stored");
        let turns = turns.get();
        assert!(turns < TRANSACTIONS, "{TRANSACTIONS} transactions took {turns} turns");
    });
}
