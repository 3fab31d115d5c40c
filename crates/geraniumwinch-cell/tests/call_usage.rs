//! The use of the VMs by calls to the permission service.

use std::time::Duration;

use geraniumwinch_cell::CallUsage;
use geraniumwinch_fleet::BootTime;

/// The time at which each test begins.
const BEGIN: BootTime = Duration::from_secs(100);
/// The duration of each call.
const CALL_TIME: Duration = Duration::from_millis(100);

/// Records calls that keep the given numbers of VMs busy with a priority for some seconds.
fn used(vms: &[(u32, u32)]) -> (CallUsage, BootTime) {
    let mut usage = CallUsage::default();
    let mut now = BEGIN;
    for _ in 0..100 {
        for &(priority, vms) in vms {
            usage.record(priority, CALL_TIME * vms, now);
        }
        now += CALL_TIME;
    }
    (usage, now)
}

/// Asserts that a value is about the expected one.
#[track_caller]
fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 0.2, "{value:.2} in place of {expected:.2}");
}

#[test]
fn unused_vms_are_available_to_all() {
    let (usage, now) = used(&[]);
    assert_near(usage.available(0, 40, now), 40.0);
    let (usage, now) = used(&[(0, 2), (1, 3)]);
    assert_near(usage.available(2, 40, now), 35.0);
    assert_near(usage.available(1, 40, now), 38.0);
}

/// Failure: all VMs but two are removed. Guards against less urgent jobs that are accepted although
/// urgent ones use both VMs.
#[test]
fn no_vm_is_available_behind_urgent_calls() {
    let (usage, now) = used(&[(0, 2)]);
    assert_near(usage.available(0, 2, now), 2.0);
    assert_near(usage.available(1, 2, now), 0.0);
}

#[test]
fn a_share_is_available_before_less_urgent_calls() {
    let (usage, now) = used(&[(1, 10)]);
    assert_near(usage.available(0, 10, now), 3.4);
}

/// Failure: VMs are lost that have made many calls.
#[test]
fn calls_of_lost_vms_take_nothing_from_the_others() {
    let (usage, now) = used(&[(0, 30), (1, 10)]);
    assert_near(usage.available(0, 2, now), 1.5);
}

#[test]
fn calls_are_forgotten() {
    let (usage, now) = used(&[(0, 2)]);
    assert_near(usage.available(1, 2, now + Duration::from_secs(10)), 2.0);
}
