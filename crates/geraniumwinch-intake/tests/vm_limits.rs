//! What a VM's limits leave for callers.

use geraniumwinch_intake::VmLimits;
use test_case::test_case;

/// The largest body that the usual limits allow, in bytes.
const MAX_BODY: usize = 256 * 1024;
/// What a connection takes at most, in bytes.
const CONNECTION_BYTES: u64 = 64 * 1024;

/// The bodies of two interfaces and all connections take at most half of the memory, and the connections at
/// most a quarter of the descriptors.
#[test_case(64, 256; "a test's process")]
#[test_case(120, 3_075; "a small VM")]
#[test_case(512, 10_250; "a large VM")]
#[test_case(64_000, 1 << 20; "a VM without limits")]
fn callers_get_a_part(memory_mb: u64, descriptors: u64) {
    let vm = VmLimits::detect(Some(memory_mb), Some(descriptors));
    let connections = vm.connections(CONNECTION_BYTES) as u64;
    let bytes = 2 * vm.body_bytes(MAX_BODY) as u64 + connections * CONNECTION_BYTES;
    assert!(bytes <= vm.memory_bytes / 2, "{bytes} bytes");
    assert!(connections <= descriptors / 4, "{connections} connections");
    assert!(connections >= 16, "{connections} connections");
}

#[test]
fn there_is_room_for_some_bodies_of_any_size() {
    let vm = VmLimits::detect(Some(8), Some(1024));
    assert_eq!(vm.body_bytes(10 << 20), 40 << 20);
}

#[test]
fn the_system_says_what_the_settings_do_not() {
    let vm = VmLimits::detect(None, None);
    assert!(vm.memory_bytes > 0 && vm.descriptors > 0, "{vm:?}");
}
