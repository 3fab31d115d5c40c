//! Submissions that arrive after the cancellation of their jobs.

mod common;

use std::time::Duration;

use geraniumwinch_cell::WithdrawnJobs;
use geraniumwinch_core::Name;
use geraniumwinch_core::RunState;

use self::common::test_node::TestNode;
use self::common::test_node::run_test;

const JOB: &str = "0000000000000001";
const OTHER_JOB: &str = "0000000000000002";

/// Guards against a job that is accepted and run after its client was told that there is no such job: the
/// attempt to submit it was held up by a suspended process (frozen-entry, UNASKED).
#[test]
fn a_job_that_arrives_after_its_cancellation_is_refused() {
    run_test(async {
        let node = TestNode::start().await;
        assert_eq!(node.cancel(JOB).await, Ok(false));
        let refusal = node.submit(JOB).await.expect_err("the job was accepted");
        assert_eq!(refusal.response().run, RunState::NotRun, "{refusal}");
        assert_eq!(node.exists(JOB).await, Ok(false));
        assert_eq!(node.submit(OTHER_JOB).await, Ok(()), "another job was refused");
    });
}

#[test]
fn a_cancellation_counts_for_some_time() {
    let mut withdrawn = WithdrawnJobs::default();
    let job = Name::from(JOB);
    let at = Duration::from_secs(100);
    withdrawn.add(&job, at);
    assert!(withdrawn.refuses(&job, at + Duration::from_millis(14_999)));
    assert!(!withdrawn.refuses(&job, at + Duration::from_secs(15)));
}

#[test]
fn a_second_cancellation_extends_the_first() {
    let mut withdrawn = WithdrawnJobs::default();
    let job = Name::from(JOB);
    withdrawn.add(&job, Duration::from_secs(100));
    withdrawn.add(&job, Duration::from_secs(110));
    withdrawn.add(&Name::from(OTHER_JOB), Duration::from_secs(116));
    assert!(withdrawn.refuses(&job, Duration::from_secs(124)));
}

#[test]
fn the_number_of_remembered_jobs_is_bounded() {
    let mut withdrawn = WithdrawnJobs::default();
    let now = Duration::from_secs(100);
    let jobs: Vec<Name> =
        (0..20_000).map(|number| format!("{number:016x}").into()).collect();
    jobs.iter().for_each(|job| withdrawn.add(job, now));
    let refused = jobs.iter().filter(|job| withdrawn.refuses(job, now));
    assert_eq!(refused.count(), 10_000);
    assert!(withdrawn.refuses(&jobs[19_999], now));
}
