//! Claim delays by VM size.

use std::time::Duration;

use geraniumwinch_cell::VmSize;

/// Generates one test per case.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident: $own:expr, $last_owner:expr => $min:expr, $max:expr;)*) => {
        $($(#[doc = $doc])* #[test]
        fn $name() {
            let last_owner: Option<f64> = $last_owner;
            let delay = VmSize::from_cpu_share($own).claim_delay(last_owner.map(VmSize::from_cpu_share));
            let range = Duration::from_millis($min)..=Duration::from_millis($max);
            assert!(range.contains(&delay), "{delay:?}");
        })*
    };
}

cases! {
    a_large_vm_claims_without_delay: 0.5, None => 0, 0;
    a_large_vm_does_not_wait_for_its_equals: 0.5, Some(0.5) => 0, 0;
    a_small_vm_lets_larger_vms_claim_first: 0.12, None => 100, 250;
    /// In run trouble-1, all processes of kbc-winch-grown lost power and a VM with 0.12 cores was up
    /// first. It must not claim before VMs of the last owner's size have had time to start.
    a_small_vm_waits_for_vms_of_the_last_owners_size: 0.12, Some(0.5) => 1000, 2000;
    a_small_vm_does_not_wait_longer_among_its_equals: 0.25, Some(0.25) => 0, 60;
    a_vm_of_unknown_share_waits: 0.0, None => 250, 250;
}

#[test]
fn only_a_much_larger_vm_should_own_instead() {
    let own = VmSize::from_cpu_share(0.25);
    assert!(!own.is_much_smaller_than(VmSize::from_cpu_share(0.5)));
    assert!(own.is_much_smaller_than(VmSize::from_cpu_share(0.6)));
}
