//! What clients are told about calls that the store or an owner may have executed although their
//! responses were lost.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join;
use geraniumwinch_cell::StoreTransaction;
use geraniumwinch_cell::VmSize;
use geraniumwinch_core::ErrorKind;
use test_case::test_case;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::run_test;
use self::common::test_node::stored_job;
use self::common::test_node::wait_until;

const JOB: &str = "0000000000000001";
/// The key of the owner record.
const OWNER_KEY: &str = "cell/owner";
/// The time after which an owner that is cut off is replaced. Opening a connection takes longer.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);
/// The time within which a waiting job is stored by a new owner.
const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(300);
/// The key of the last epoch.
const EPOCH_KEY: &str = "cell/epoch";
/// The prefix of the fence records.
const FENCE_PREFIX: &str = "cell/seal/";

/// Returns whether a transaction writes a job.
fn writes_job(transaction: &StoreTransaction) -> bool {
    transaction.writes.iter().any(|write| write.key.starts_with("job/"))
}

/// Guards against reporting a job as not stored after its transaction was committed without a
/// response and a later owner has rewritten the fence.
#[test]
fn a_job_stored_before_a_takeover_is_not_reported_as_refused() {
    run_test(async {
        let node = TestNode::start().await;
        let taken_over = Rc::new(Cell::new(false));
        node.store.on_commit(move |store, transaction| {
            let lost = writes_job(transaction) && !taken_over.replace(true);
            if lost {
                take_over(store, transaction);
            }
            lost
        });
        assert_eq!(node.submit(JOB).await, Err(ErrorKind::StoreUnknown));
        assert!(node.store.contains(&format!("job/{JOB}")));
    });
}

/// Guards against a process that does not know a job because it no longer owns the cell, and
/// confirms that the job does not exist.
#[test_case(async |node| node.cancel(JOB).await; "cancelled")]
#[test_case(async |node| node.exists(JOB).await; "queried")]
fn a_former_owner_does_not_deny_a_job(
    call: impl AsyncFn(&TestNode) -> Result<bool, ErrorKind>,
) {
    run_test(async {
        let node = TestNode::start().await;
        node.store.remove_leases();
        node.store.put(&format!("job/{JOB}"), stored_job());
        assert_eq!(call(&node).await, Ok(true));
    });
}

/// Guards against an owner that cannot reach the store and confirms that a job does not exist.
#[test]
fn an_owner_without_the_store_does_not_deny_a_job() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.lose_renewals(true);
        assert_eq!(node.exists(JOB).await, Err(ErrorKind::DomainUnowned));
    });
}

/// Guards against denying a job to the client that cancels it while it is being stored.
#[test]
fn a_job_is_cancelled_while_it_is_being_stored() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.delay_commits(Duration::from_millis(300));
        let cancellation = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            node.cancel(JOB).await
        };
        let results = join(node.submit(JOB), cancellation).await;
        assert_eq!(results, (Ok(()), Ok(true)));
    });
}

/// Guards against a job that runs after its cancellation was answered with "no such job": it arrived
/// while the owner had its ownership confirmed (issue 46).
#[test]
fn a_job_that_arrives_while_its_cancellation_waits_is_cancelled() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.delay_renewals(Duration::from_millis(200));
        node.store.delay_commits(Duration::from_millis(400));
        let submission = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            node.submit(JOB).await
        };
        let results = join(submission, node.cancel(JOB)).await;
        assert_eq!(results, (Ok(()), Ok(true)));
    });
}

/// Guards against a cell without an owner until the lease of a claim ends that was committed
/// without a response and could not be read back.
#[test]
fn a_claim_without_a_response_is_given_up_once_it_is_seen() {
    run_test(async {
        let node = TestNode::start_without_owner().await;
        let claimed = Rc::new(Cell::new(false));
        node.store.on_commit(move |store, transaction| {
            let claims = transaction.writes.iter().any(|write| write.key == OWNER_KEY);
            let lost = claims && !claimed.replace(true);
            if lost {
                store.lose_reads(true);
            }
            lost
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        node.store.lose_reads(false);
        let owned = tokio::time::timeout(Duration::from_secs(2), node.await_owner());
        assert!(owned.await.is_ok(), "no process owns the cell");
    });
}

/// Guards against an idle owner that refuses all jobs after the store has refused one.
#[test]
fn an_idle_owner_accepts_jobs_again_after_the_store_has_refused_one() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.refuse_commits(true);
        assert_eq!(node.submit(JOB).await, Err(ErrorKind::StoreUnavailable));
        node.store.refuse_commits(false);
        wait_until(async || node.submit(JOB).await.is_ok()).await;
    });
}

/// Guards against a job that is refused after its owner was replaced: the entry still waited for a
/// connection to the former owner, and then gave up.
#[test]
fn a_job_goes_to_the_successor_of_an_owner_that_is_cut_off() {
    run_test(async {
        let former = owner_record(unreachable_address().await);
        let node = TestNode::start_without_owner().await;
        node.store.put(OWNER_KEY, former);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let replacement = async {
            tokio::time::sleep(REPLACEMENT_DELAY).await;
            node.store.delete(OWNER_KEY);
            tokio::time::Instant::now()
        };
        let submission = async {
            let result = node.submit(JOB).await;
            (result, tokio::time::Instant::now())
        };
        let (replaced, (result, accepted)) = join(replacement, submission).await;
        assert_eq!(result, Ok(()));
        assert!(accepted - replaced < MAX_TAKEOVER_TIME, "it waited too long");
    });
}

/// Guards against a takeover by a VM that is too small for the cell (butoan-sched-grown, recorded day
/// 3f4e): it waited in a first vacancy, and claimed at once in a second one that followed.
#[test]
fn a_small_vm_waits_anew_in_each_vacancy() {
    run_test(async {
        let former = owner_record(unreachable_address().await);
        let node = TestNode::start_without_owner().await;
        node.store.put(EPOCH_KEY, epoch_record(VmSize::from_cpu_share(100.0)));
        tokio::time::sleep(Duration::from_millis(300)).await;
        node.store.put(OWNER_KEY, former);
        node.store.delete(OWNER_KEY);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert!(!node.store.contains(OWNER_KEY), "the small VM has claimed the cell");
        let owned = tokio::time::timeout(Duration::from_secs(3), node.await_owner());
        assert!(owned.await.is_ok(), "no process owns the cell");
    });
}

/// Returns the encoded record of an epoch with the size of its owner's VM.
fn epoch_record(size: VmSize) -> Vec<u8> {
    postcard::to_stdvec(&(1_u64, size)).expect("the record is encodable")
}

/// Returns an address that opens no connections, and where they are not refused either.
async fn unreachable_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket is available");
    socket.bind("127.0.0.1:0".parse().expect("it is valid")).expect("a port is free");
    let listener = socket.listen(0).expect("it listens");
    let address = listener.local_addr().expect("it listens");
    let wait = Duration::from_millis(100);
    while let Ok(Ok(stream)) =
        tokio::time::timeout(wait, TcpStream::connect(address)).await
    {
        std::mem::forget(stream);
    }
    std::mem::forget(listener);
    address
}

/// Returns the encoded record of an owner, whose lease the store doesn't know.
fn owner_record(address: SocketAddr) -> Vec<u8> {
    let (epoch, process, lease) = (0_u64, 1_u64, 99_u64);
    let size = VmSize::default();
    let record = (epoch, "former owner", process, address, size, lease);
    postcard::to_stdvec(&record).expect("the record is encodable")
}

/// Replaces the owner record and the fences of a transaction like a later owner, and leaves the
/// renewals of the former one without a response.
fn take_over(store: &MemoryStore, transaction: &StoreTransaction) {
    store.lose_renewals(true);
    store.remove_leases();
    store.put(OWNER_KEY, b"another owner".to_vec());
    let fences =
        transaction.writes.iter().filter(|write| write.key.starts_with(FENCE_PREFIX));
    for fence in fences {
        let (epoch, sequence) = (9_u64, 1_u64);
        let value =
            postcard::to_stdvec(&(epoch, sequence)).expect("a fence is encodable");
        store.put(&fence.key, value);
    }
}
