//! Start commands that wait while the ones before them get no response.
//!
//! Each of them was decided before the wait. What has changed since must keep it from being sent.

mod common;

use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_cell::CellSettings;

use self::common::memory_store::MemoryStore;
use self::common::test_node::TestNode;
use self::common::test_node::job_request;
use self::common::test_node::run_test;
use self::common::test_node::settings;
use self::common::test_node::wait_until;
use self::common::test_worker::CATALOG_KEY;
use self::common::test_worker::DOMAIN;
use self::common::test_worker::EVACUATION_PREFIX;
use self::common::test_worker::TestWorker;

const JOB: &str = "0000000000000001";
/// The number of tasks of the job: far more than commands are sent at the same time.
const TASKS: u32 = 60;
/// How long the worker is watched. On average each start would take 0.2 s of it.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// The time after which no start is sent any more: those on their way have had their timeout.
const SETTLING_TIME: Duration = Duration::from_millis(100);
/// The interval at which the list of workers is read, and a little more.
const LISTING_TIME: Duration = Duration::from_millis(1000);
/// The time within which a request to evacuate a domain is in effect.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// A job whose start commands wait.
struct WaitingJob {
    node: TestNode,
    worker: Rc<TestWorker>,
}

impl WaitingJob {
    /// Submits a job to a cell whose only worker responds to no start, and waits for the first ones.
    async fn start() -> WaitingJob {
        let store = Rc::new(MemoryStore::default());
        store.put(CATALOG_KEY, Vec::new());
        let worker = TestWorker::silent();
        let settings =
            CellSettings { evacuation_bound: Some(EVACUATION_BOUND), ..settings() };
        let node = TestNode::start_on(Rc::clone(&worker), store, settings);
        node.await_owner().await;
        wait_until(async || node.submit_request(JOB, job_request(TASKS)).await.is_ok())
            .await;
        wait_until(async || worker.starts() > 0).await;
        WaitingJob { node, worker }
    }

    /// Checks that the worker gets no further start command.
    async fn check_no_further_start(&self) {
        let starts = self.worker.starts();
        tokio::time::sleep(WATCH_TIME).await;
        let later = self.worker.starts() - starts;
        assert_eq!(later, 0, "{later} starts were sent afterwards");
    }
}

/// Guards against tasks of a cancelled job that start seconds after the cancellation was acknowledged,
/// and against stops that wait behind the starts that they are to prevent (review/4).
#[test]
fn the_waiting_starts_of_a_cancelled_job_are_not_sent() {
    run_test(async {
        let job = WaitingJob::start().await;
        assert_eq!(job.node.cancel(JOB).await, Ok(true));
        tokio::time::sleep(SETTLING_TIME).await;
        job.check_no_further_start().await;
        assert_eq!(job.worker.running(), 0, "runs of the job are left");
        let stops = job.worker.stops();
        assert!(
            stops <= job.worker.starts(),
            "{stops} stops, also for what was not sent"
        );
    });
}

/// Guards against starts on a worker that drains (days of drains beside late commands, review/4).
#[test]
fn waiting_starts_are_not_sent_to_a_worker_that_drains() {
    run_test(async {
        let job = WaitingJob::start().await;
        job.worker.drain();
        tokio::time::sleep(LISTING_TIME).await;
        job.check_no_further_start().await;
    });
}

/// Guards against starts in a failure domain that is evacuated by then (review/4, other path).
#[test]
fn waiting_starts_are_not_sent_to_an_evacuated_domain() {
    run_test(async {
        let job = WaitingJob::start().await;
        job.node.store.put(&format!("{EVACUATION_PREFIX}{DOMAIN}"), Vec::new());
        tokio::time::sleep(SETTLING_TIME).await;
        job.check_no_further_start().await;
    });
}

/// Guards against starts by a process that no longer owns the cell (review/4, other path).
#[test]
fn a_former_owner_sends_no_waiting_starts() {
    run_test(async {
        let job = WaitingJob::start().await;
        job.node.store.refuse_commits(true);
        job.node.store.remove_leases();
        tokio::time::sleep(LISTING_TIME).await;
        job.check_no_further_start().await;
    });
}
