//! Submissions that arrive after the cancellation of their jobs.

mod common;

use std::time::Duration;

use futures_util::future::join;
use geraniumwinch_cell::WithdrawnJobs;
use geraniumwinch_core::Name;
use geraniumwinch_core::RunState;
use geraniumwinch_fleet::BootTime;

use self::common::test_node::TestNode;
use self::common::test_node::run_test;
use self::common::test_node::wait_until;

const JOB: &str = "0000000000000001";
const OTHER_JOB: &str = "0000000000000002";
const ACCOUNT: &str = "account";
const EPOCH: u64 = 1;

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

/// Guards against a job that is accepted and run by the next owner after the former one has told its client
/// that there is no such job (review/13, UNASKED).
#[test]
fn a_job_that_arrives_at_the_next_owner_after_its_cancellation_is_refused() {
    run_test(async {
        let node = TestNode::start().await;
        assert_eq!(node.cancel(JOB).await, Ok(false));
        node.store.remove_leases();
        let refusal = node.submit(JOB).await.expect_err("the job was accepted");
        assert_eq!(refusal.response().run, RunState::NotRun, "{refusal}");
        assert_eq!(node.exists(JOB).await, Ok(false));
        assert_eq!(node.submit(OTHER_JOB).await, Ok(()), "another job was refused");
    });
}

/// Guards against a client that is told that its job does not exist by an owner which can't store that, so
/// that the next owner accepts the job.
#[test]
fn a_cancellation_that_is_not_stored_is_not_confirmed() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.refuse_commits(true);
        let refusal = node.cancel(JOB).await.expect_err("the cancellation was confirmed");
        assert_ne!(refusal.response().status, 410, "{refusal}");
        node.store.refuse_commits(false);
        wait_until(async || node.cancel(JOB).await == Ok(false)).await;
    });
}

/// Guards against a cancellation that is confirmed by an owner which has lost the ownership while it was
/// being stored.
#[test]
fn a_cancellation_whose_owner_is_replaced_is_served_by_the_next_one() {
    run_test(async {
        let node = TestNode::start().await;
        node.store.delay_commits(Duration::from_millis(200));
        let loss = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            node.store.remove_leases();
        };
        let (cancelled, ()) = join(node.cancel(JOB), loss).await;
        assert_eq!(cancelled, Ok(false));
        assert!(node.submit(JOB).await.is_err(), "the job was accepted");
    });
}

#[test]
fn a_cancellation_counts_for_some_time() {
    let mut withdrawn = WithdrawnJobs::new(EPOCH);
    let job = Name::from(JOB);
    let at = Duration::from_secs(100);
    let key = add(&mut withdrawn, JOB, at).expect("there is room");
    assert!(withdrawn.refuses(&job, at + Duration::from_millis(89_999)));
    assert!(!withdrawn.refuses(&job, at + Duration::from_secs(90)));
    assert!(withdrawn.take_expired(at + Duration::from_millis(89_999)).is_empty());
    assert_eq!(withdrawn.take_expired(at + Duration::from_secs(90)), [key]);
    assert!(withdrawn.take_expired(at + Duration::from_secs(91)).is_empty());
}

#[test]
fn a_second_cancellation_extends_the_first() {
    let mut withdrawn = WithdrawnJobs::new(EPOCH);
    let job = Name::from(JOB);
    let first = add(&mut withdrawn, JOB, Duration::from_secs(100));
    let second = add(&mut withdrawn, JOB, Duration::from_secs(160));
    assert_ne!(first, second, "removing the first from the store removes the second");
    add(&mut withdrawn, OTHER_JOB, Duration::from_secs(191));
    assert!(withdrawn.refuses(&job, Duration::from_secs(249)));
    assert!(!withdrawn.refuses(&job, Duration::from_secs(250)));
}

/// Guards against a key of the store that two owners use.
#[test]
fn a_cancellation_of_a_former_owner_counts_from_the_takeover() {
    let mut former = WithdrawnJobs::new(EPOCH);
    let key = add(&mut former, JOB, Duration::from_secs(100)).expect("there is room");
    let mut withdrawn = WithdrawnJobs::new(EPOCH + 1);
    let taken_over = Duration::from_secs(5);
    withdrawn.load(&key, ACCOUNT.into(), taken_over);
    assert_ne!(add(&mut withdrawn, OTHER_JOB, taken_over), Some(key.clone()));
    assert!(withdrawn.refuses(&JOB.into(), taken_over + Duration::from_millis(89_999)));
    assert!(withdrawn.take_expired(taken_over + Duration::from_secs(90)).contains(&key));
}

/// Guards against a client account whose cancellations have those of others forgotten, or that uses up what
/// can be remembered.
#[test]
fn the_number_of_remembered_jobs_is_bounded() {
    let mut withdrawn = WithdrawnJobs::new(EPOCH);
    let now = Duration::from_secs(100);
    let jobs: Vec<Name> =
        (0..20_000).map(|number| format!("{number:016x}").into()).collect();
    let kept: Vec<&Name> = jobs
        .iter()
        .filter(|job| withdrawn.add(job, &ACCOUNT.into(), now).is_some())
        .collect();
    assert_eq!(kept.len(), 5_000);
    let others = jobs.iter().rev().take(2_000);
    for (number, job) in others.enumerate() {
        let account = format!("account-{}", number % 4).into();
        assert!(withdrawn.add(job, &account, now).is_some(), "there is no room");
        assert!(withdrawn.refuses(job, now));
    }
    assert!(kept.iter().all(|job| withdrawn.refuses(job, now)), "one was forgotten");
    let later = now + Duration::from_secs(90);
    assert!(withdrawn.add(&jobs[0], &ACCOUNT.into(), later).is_some(), "no room again");
}

/// Records a cancellation by the account of these tests.
fn add(withdrawn: &mut WithdrawnJobs, job: &str, now: BootTime) -> Option<String> {
    withdrawn.add(&job.into(), &ACCOUNT.into(), now)
}
