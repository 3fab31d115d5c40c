//! Tests of records, allowances, error kinds, retry budgets and identifiers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::AllowanceTransfer;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantTicket;
use geraniumwinch_core::JobId;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::RecordLookup;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::RecordTable;
use geraniumwinch_core::RetryBudget;
use geraniumwinch_core::RunState;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::home_domain;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// The number of cases of each property test.
const CASES: u32 = 500;
/// The seed of the property tests.
const SEED: u64 = 20261203;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_is_new_once_within_its_retention(keys in vec(0..20_u8, 1..200)) {
        let now = Instant::now();
        let mut table = RecordTable::new(100, Duration::from_secs(60));
        let mut new_counts: HashMap<u8, u32> = HashMap::new();
        for key in keys {
            let digest = RecordDigest::of(&[&[key]]);
            let is_new = table.begin(digest, digest, GrantTicket(1), now) == RecordLookup::New;
            *new_counts.entry(key).or_default() += u32::from(is_new);
            table.expire(now + Duration::from_secs(59));
        }
        prop_assert!(new_counts.values().all(|count| *count == 1));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_parts_of_a_limit_never_exceed_it(
        steps in vec((0..4_usize, 0..4_usize, 0..40_u32, 0..60_u32), 1..40),
    ) {
        let domains: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).to_vec();
        let team: Name = "team".into();
        let mut table = AllowanceTable::default();
        for (from, to, count, limit) in steps {
            let parts = |table: &AllowanceTable| -> Vec<u32> {
                domains.iter().map(|name| table.part(&team, limit, &domains, name)).collect()
            };
            prop_assert!(parts(&table).iter().sum::<u32>() <= limit, "{:?}", parts(&table));
            let before = parts(&table);
            let transfer = AllowanceTransfer {
                from: domains[from].clone(),
                to: domains[to].clone(),
                count,
            };
            table.transfer(&team, limit, &domains, &transfer);
            let after = parts(&table);
            prop_assert_eq!(before.iter().sum::<u32>(), after.iter().sum::<u32>());
        }
    }
}

#[test]
fn a_full_table_refuses_new_keys_and_keeps_known_ones() {
    let now = Instant::now();
    let mut table = RecordTable::new(1, Duration::from_secs(60));
    let first = RecordDigest::of(&[b"first"]);
    let second = RecordDigest::of(&[b"second"]);
    assert_eq!(table.begin(first, first, GrantTicket(1), now), RecordLookup::New);
    assert_eq!(table.begin(second, second, GrantTicket(2), now), RecordLookup::Full);
    assert_eq!(
        table.begin(first, first, GrantTicket(1), now),
        RecordLookup::Known(RecordState::Intent)
    );
    assert_eq!(table.begin(first, second, GrantTicket(2), now), RecordLookup::Reused);
}

// Guards against a request that runs twice: the outcome of its first grant, which was not used, was sent
// again and removed the record while the request ran with its second grant.
#[test]
fn a_repeated_outcome_does_not_remove_the_record_of_a_later_grant() {
    let now = Instant::now();
    let mut table = RecordTable::new(10, Duration::from_secs(60));
    let digest = RecordDigest::of(&[b"key"]);
    let (first, second) = (GrantTicket(1), GrantTicket(2));
    table.begin(digest, digest, first, now);
    assert!(table.accepts_outcome(&digest, first, true));
    table.remove(&digest);
    table.begin(digest, digest, second, now);
    assert!(!table.accepts_outcome(&digest, first, true));
    assert!(table.accepts_outcome(&digest, second, true));
    table.set_state(&digest, RecordState::Unknown, now);
    assert!(!table.accepts_outcome(&digest, first, true));
}

// Guards against a request that runs twice after a takeover: its record doesn't show which grant it has.
#[test]
fn a_restored_record_is_changed_but_not_removed_by_an_outcome() {
    let now = Instant::now();
    let mut table = RecordTable::new(10, Duration::from_secs(60));
    let digest = RecordDigest::of(&[b"key"]);
    table.restore(digest, digest, RecordState::Unknown, now);
    assert!(!table.accepts_outcome(&digest, GrantTicket(1), true));
    assert!(table.accepts_outcome(&digest, GrantTicket(1), false));
}

#[test]
fn an_open_intent_outlasts_its_retention() {
    let now = Instant::now();
    let mut table = RecordTable::new(10, Duration::from_secs(1));
    let digest = RecordDigest::of(&[b"open"]);
    table.begin(digest, digest, GrantTicket(1), now);
    table.expire(now + Duration::from_secs(5));
    assert_eq!(table.len(), 1);
    table.set_state(&digest, RecordState::Unknown, now + Duration::from_secs(5));
    table.expire(now + Duration::from_secs(7));
    assert!(table.is_empty());
}

#[test]
fn each_error_kind_has_a_unique_name_and_an_error_status() {
    let names: BTreeSet<&str> =
        ErrorKind::ALL.iter().map(|kind| kind.response().name).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!((400..600).contains(&response.status), "{kind}");
        let retryable = response.status == 503 || response.status == 429;
        assert!(
            !retryable || response.retry_after.is_some(),
            "{kind} has no retry delay"
        );
    }
}

#[test_case(ErrorKind::EndpointConnect, RunState::NotRun; "no byte was sent")]
#[test_case(ErrorKind::EndpointFailed, RunState::Unknown; "the connection failed")]
#[test_case(ErrorKind::AnswerLate, RunState::Unknown; "the response is late")]
#[test_case(ErrorKind::AlreadyRan, RunState::Ran; "an earlier request ended")]
fn a_response_states_whether_the_request_has_run(kind: ErrorKind, run: RunState) {
    assert_eq!(kind.response().run, run);
}

#[test]
fn retries_stay_below_a_fifth_of_requests() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut attempts = 0;
    for _ in 0..1000 {
        budget.earn();
        attempts += 1;
        while budget.spend() {
            attempts += 1;
        }
    }
    assert!(attempts < 1200, "{attempts} attempts for 1000 requests");
}

#[test]
fn removing_a_domain_moves_only_the_keys_whose_home_it_was() {
    let all: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let fewer = all[..2].to_vec();
    for number in 0..200_u32 {
        let digest = RecordDigest::of(&[&number.to_be_bytes()]);
        let before = home_domain(&digest, &all).expect("a home");
        let after = home_domain(&digest, &fewer).expect("a home");
        assert!(before == after || &**before == "c");
    }
}

#[test_case("zone-a.1.2/3/4294967297"; "a plain domain")]
#[test_case("za.cape.1.7.9/0/1"; "a domain with dots")]
fn task_identifiers_round_trip_through_text(text: &str) {
    let task: TaskId = text.parse().expect("a task");
    assert_eq!(task.to_string(), text);
}

#[test_case(""; "nothing")]
#[test_case("zone"; "no numbers")]
#[test_case(".1.2"; "no domain")]
#[test_case("zone.one.2"; "a word for a number")]
fn malformed_job_identifiers_are_refused(text: &str) {
    assert!(text.parse::<JobId>().is_err());
}
