//! Who claims the ownership first.

use std::time::Duration;

use geraniumwinch_cell::VmSize;

/// Names each test.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident: $own:expr, $last:expr => $least:expr, $most:expr;)*) => {
        $($(#[doc = $doc])* #[test]
        fn $name() {
            let last: Option<f64> = $last;
            let wait = VmSize::from_cpu_share($own).claim_delay(last.map(VmSize::from_cpu_share));
            let range = Duration::from_millis($least)..=Duration::from_millis($most);
            assert!(range.contains(&wait), "{wait:?}");
        })*
    };
}

cases! {
    a_large_vm_claims_at_once: 0.5, None => 0, 0;
    a_large_vm_waits_for_no_other: 0.5, Some(0.5) => 0, 0;
    a_small_vm_lets_larger_ones_claim: 0.12, None => 100, 250;
    /// trouble-1 of kbc-winch-grown: all power was lost, and a VM with 0.12 cores was up first.
    a_small_vm_waits_until_one_like_the_last_owner_may_be_up: 0.12, Some(0.5) => 1000, 2000;
    a_small_vm_among_its_like_does_not_wait_longer: 0.25, Some(0.25) => 0, 60;
    a_vm_without_a_known_share_waits: 0.0, None => 250, 250;
}

#[test]
fn only_a_much_larger_vm_is_to_own_instead() {
    let own = VmSize::from_cpu_share(0.25);
    assert!(!own.is_much_smaller_than(VmSize::from_cpu_share(0.5)));
    assert!(own.is_much_smaller_than(VmSize::from_cpu_share(0.6)));
}
