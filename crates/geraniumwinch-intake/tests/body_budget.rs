//! Who pays when the memory for bodies is used up.

use std::task::Context;
use std::task::Waker;

use geraniumwinch_intake::BodyBudget;
use geraniumwinch_intake::BodyLease;

/// The budget in bytes.
const LIMIT: usize = 1000;

/// Returns a body that holds some bytes.
fn body(budget: &BodyBudget, bytes: usize) -> BodyLease {
    let lease = budget.open();
    assert!(lease.grow(bytes), "there is room for {bytes} bytes");
    lease
}

/// Returns whether a body was given up.
fn is_given_up(lease: &BodyLease) -> bool {
    lease.poll_given_up(&mut Context::from_waker(Waker::noop())).is_ready()
}

#[test]
fn a_small_body_takes_the_place_of_the_largest_one() {
    let budget = BodyBudget::new(LIMIT);
    let (large, larger, small) =
        (body(&budget, 400), body(&budget, 590), body(&budget, 10));
    assert!(small.grow(20));
    assert!(is_given_up(&larger) && !is_given_up(&large) && !is_given_up(&small));
    assert_eq!(budget.used(), 430);
}

#[test]
fn of_two_bodies_of_a_size_the_older_one_is_given_up() {
    let budget = BodyBudget::new(LIMIT);
    let (older, newer) = (body(&budget, 500), body(&budget, 500));
    let small = body(&budget, 1);
    assert!(is_given_up(&older) && !is_given_up(&newer) && !is_given_up(&small));
}

#[test]
fn the_largest_body_is_refused_itself() {
    let budget = BodyBudget::new(LIMIT);
    let (large, other) = (body(&budget, 600), body(&budget, 400));
    assert!(!large.grow(1));
    assert!(!is_given_up(&other));
}

#[test]
fn a_complete_body_is_not_given_up() {
    let budget = BodyBudget::new(LIMIT);
    let complete = body(&budget, 990);
    assert!(complete.complete());
    let small = budget.open();
    assert!(!small.grow(20), "a body was taken in beyond the budget");
    assert!(!is_given_up(&complete));
    drop(complete);
    assert!(small.grow(20));
}

#[test]
fn a_body_that_was_given_up_gets_no_more_and_is_not_complete() {
    let budget = BodyBudget::new(LIMIT);
    let large = body(&budget, 1000);
    let small = body(&budget, 1);
    assert!(!large.grow(1) && !large.complete());
    drop(large);
    assert_eq!(budget.used(), 1);
    drop(small);
    assert_eq!(budget.used(), 0);
}

#[test]
fn the_oldest_of_too_many_incomplete_bodies_is_given_up() {
    let budget = BodyBudget::new(LIMIT).with_incomplete(2);
    let complete = body(&budget, 1);
    assert!(complete.complete());
    let (oldest, older) = (body(&budget, 1), body(&budget, 500));
    assert!(!is_given_up(&oldest));
    let newest = body(&budget, 1);
    assert!(is_given_up(&oldest) && !is_given_up(&older) && !is_given_up(&newest));
    assert!(!is_given_up(&complete));
}

/// Guards against bodies that together take more than the budget until those given up are dropped.
#[test]
fn a_body_waits_until_what_was_given_up_for_it_is_dropped() {
    let budget = BodyBudget::new(LIMIT);
    let has_room = |lease: &BodyLease| {
        lease.poll_room(&mut Context::from_waker(Waker::noop())).is_ready()
    };
    let (large, small) = (body(&budget, 1000), body(&budget, 20));
    assert!(is_given_up(&large) && !has_room(&small));
    large.release();
    assert!(has_room(&small));
    drop(large);
    assert!(has_room(&small));
    assert_eq!(budget.used(), 20);
}
