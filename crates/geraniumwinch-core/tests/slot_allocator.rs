//! Compares the slot allocator with a simple model of slots, teams and outcomes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::EndpointSpec;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantHolder;
use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::Name;
use geraniumwinch_core::QueuePolicy;
use geraniumwinch_core::SlotAllocator;
use geraniumwinch_core::SlotOutcome;
use geraniumwinch_core::SlotRequest;
use geraniumwinch_core::TeamLedger;
use geraniumwinch_core::TeamPolicy;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// The number of cases of each property test.
const CASES: u32 = 500;
/// The seed of the property tests.
const SEED: u64 = 20261203;

/// The allowance of each team.
const ALLOWANCE: u32 = 5;
/// The number of slots of each endpoint.
const SLOTS: u32 = 4;

/// One step of a generated test case.
#[derive(Debug, Clone)]
enum AllocatorStep {
    Submit { team: usize, deadline_ms: u64, holder: GrantHolder },
    Release(usize),
    Wait(u64),
    Leave(usize),
}

/// Generates a random step.
fn step() -> impl Strategy<Value = AllocatorStep> {
    let holder = prop_oneof![
        Just(GrantHolder::Member),
        Just(GrantHolder::Owner),
        Just(GrantHolder::Remote)
    ];
    prop_oneof![
        4 => (0..3_usize, 1..500_u64, holder)
            .prop_map(|(team, deadline_ms, holder)| AllocatorStep::Submit { team, deadline_ms, holder }),
        3 => any::<usize>().prop_map(AllocatorStep::Release),
        2 => (1..200_u64).prop_map(AllocatorStep::Wait),
        1 => (0..3_usize).prop_map(AllocatorStep::Leave),
    ]
}

/// Describes three endpoints, of which the given ones are about to be removed.
fn endpoints(leaving: &[bool; 3]) -> Vec<EndpointSpec> {
    let spec = |(index, leaving): (usize, &bool)| EndpointSpec {
        name: format!("endpoint-{index}").into(),
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        slots: SLOTS,
        leaving: *leaving,
    };
    leaving.iter().enumerate().map(spec).collect()
}

/// A simple model of the requests and of the granted slots.
#[derive(Default)]
struct AllocatorModel {
    open: HashMap<u64, usize>,
    held: Vec<(GrantOffer, usize, Instant)>,
    outcome_counts: HashMap<u64, u32>,
}

impl AllocatorModel {
    /// Records outcomes, and checks that no request has two and that no limit is exceeded.
    fn record(
        &mut self,
        outcomes: Vec<SlotOutcome<(u64, Instant)>>,
        leaving: &[bool; 3],
    ) {
        for outcome in outcomes {
            let (number, deadline) = outcome.context;
            let team =
                self.open.remove(&number).expect("only open requests have outcomes");
            *self.outcome_counts.entry(number).or_default() += 1;
            if let Ok(offer) = outcome.result {
                let index: usize = offer.endpoint[9..].parse().expect("a number");
                assert!(!leaving[index], "a leaving endpoint got a new request");
                self.held.push((offer, team, deadline + Duration::from_millis(500)));
            }
        }
        let mut busy: HashMap<Name, u32> = HashMap::new();
        let mut teams = [0; 3];
        for (offer, team, _) in &self.held {
            *busy.entry(offer.endpoint.clone()).or_default() += 1;
            teams[*team] += 1;
        }
        assert!(busy.values().all(|count| *count <= SLOTS), "{busy:?}");
        assert!(teams.iter().all(|count| *count <= ALLOWANCE), "{teams:?}");
        assert!(self.outcome_counts.values().all(|count| *count == 1));
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
    fn slots_and_allowances_are_never_exceeded(steps in vec(step(), 1..120)) {
        let start = Instant::now();
        let mut now = start;
        let mut ledger = TeamLedger::default();
        let policy = TeamPolicy { weight: 1.0, allowance: ALLOWANCE };
        let names: Vec<Name> = (0..3).map(|team| format!("team-{team}").into()).collect();
        ledger.set_policies(&names.iter().map(|name| (name.clone(), policy)).collect());
        let mut allocator = SlotAllocator::new(1, None);
        let mut leaving = [false; 3];
        allocator.set_endpoints(&endpoints(&leaving));
        let queue = QueuePolicy {
            service: "service".into(),
            max_waiting: 10,
            default_deadline: Duration::from_secs(1),
            max_deadline: Duration::from_secs(1),
        };
        allocator.set_queues(&BTreeMap::from([("queue".into(), queue)]));
        let mut model = AllocatorModel::default();
        let mut number = 0;
        for step in steps {
            match step {
                AllocatorStep::Submit { team, deadline_ms, holder } => {
                    number += 1;
                    model.open.insert(number, team);
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let request = SlotRequest {
                        id: u128::from(number),
                        queue: "queue".into(),
                        team: Some(ledger.key_of(&names[team])),
                        holder,
                        deadline,
                        excluded: Vec::new(),
                        context: (number, deadline),
                    };
                    let refused = allocator.submit(request, &ledger, now);
                    model.record(refused.into_iter().collect(), &leaving);
                }
                AllocatorStep::Release(index) if !model.held.is_empty() => {
                    let index = index % model.held.len();
                    let (offer, ..) = model.held.swap_remove(index);
                    allocator.release(offer.ticket, &mut ledger, now);
                }
                AllocatorStep::Release(_) => {}
                AllocatorStep::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    let expired = allocator.expire(&mut ledger, now);
                    for ticket in &expired {
                        let held = model.held.iter().find(|held| held.0.ticket == *ticket);
                        prop_assert!(held.is_some_and(|held| held.2 <= now), "expired too early");
                    }
                    model.held.retain(|held| !expired.contains(&held.0.ticket));
                }
                AllocatorStep::Leave(index) => {
                    leaving[index] = !leaving[index];
                    allocator.set_endpoints(&endpoints(&leaving));
                }
            }
            let outcomes = allocator.allocate(&mut ledger, now);
            model.record(outcomes, &leaving);
        }
        now += Duration::from_secs(10);
        let outcomes = allocator.allocate(&mut ledger, now);
        model.record(outcomes, &leaving);
        prop_assert!(model.open.is_empty(), "every request has an outcome in the end");
    }
}

#[test]
fn a_recovering_allocator_refuses_and_then_reserves_slots() {
    let now = Instant::now();
    let until = now + Duration::from_secs(5);
    let mut ledger = TeamLedger::default();
    let mut allocator = SlotAllocator::new(2, Some(until));
    let mut spec = endpoints(&[false; 3]).remove(0);
    spec.slots = 8;
    allocator.set_endpoints(&[spec]);
    let queue = QueuePolicy {
        service: "service".into(),
        max_waiting: 100,
        default_deadline: Duration::from_secs(60),
        max_deadline: Duration::from_secs(60),
    };
    allocator.set_queues(&BTreeMap::from([("queue".into(), queue)]));
    let request = |id| SlotRequest {
        id,
        queue: "queue".into(),
        team: None,
        holder: GrantHolder::Member,
        deadline: now + Duration::from_secs(60),
        excluded: Vec::new(),
        context: (),
    };
    let refused = allocator.submit(request(1), &ledger, now).expect("a refusal");
    assert_eq!(refused.result, Err((ErrorKind::DomainRecovering, Some(until - now))));
    allocator.end_recovery();
    for id in 2..20 {
        assert!(allocator.submit(request(id), &ledger, now).is_none());
    }
    let reserved = GrantHolder::reserved_slots(8) as usize;
    assert_eq!(allocator.allocate(&mut ledger, now).len(), 8 - reserved);
    assert_eq!(allocator.allocate(&mut ledger, until).len(), reserved);
}
