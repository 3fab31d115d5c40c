//! The size of a VM, which decides who claims the ownership first.
//!
//! It answers the pattern of a fleet of which most VMs are small: after a loss of all processes a
//! small VM is up first, and an owner there takes seconds to read the jobs and places late.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The wait before a claim, times what the inverse of the VM's share of a core exceeds that of
/// [`FULL_MILLIS`] by.
const SMALL_VM_WAIT: Duration = Duration::from_millis(25);
/// The longest such wait.
const SMALL_VM_WAIT_MAX: Duration = Duration::from_millis(250);
/// The share of a core with which a VM waits for none, in thousandths.
const FULL_MILLIS: f64 = 500.0;
/// How many times as large as a VM one is that outsizes it.
const OUTSIZED_FACTOR: u32 = 2;
/// The least wait before a claim if the last owner's VM outsizes this one: others like it may be
/// about to start.
const LARGER_VM_WAIT: Duration = Duration::from_millis(1500);

/// The size of a VM.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct VmSize {
    /// The share of a core, in thousandths.
    cpu_millis: u32,
}

impl VmSize {
    /// Creates the size of a VM with a share of a core.
    pub fn from_cpu_share(share: f64) -> Self {
        VmSize { cpu_millis: (share * 1000.0) as u32 }
    }

    /// Returns whether another VM is so much larger that it should own the cell instead.
    pub fn is_much_smaller_than(self, other: VmSize) -> bool {
        other.cpu_millis > self.cpu_millis.saturating_mul(OUTSIZED_FACTOR)
    }

    /// Returns how long a process on the VM lets those on larger ones claim first.
    pub fn claim_delay(self, last_owner: Option<VmSize>) -> Duration {
        let millis = f64::from(self.cpu_millis.max(1));
        let lacking = (1000.0 / millis - 1000.0 / FULL_MILLIS).max(0.0);
        let wait = SMALL_VM_WAIT.mul_f64(lacking).min(SMALL_VM_WAIT_MAX);
        match last_owner {
            Some(last) if self.is_much_smaller_than(last) => wait.max(LARGER_VM_WAIT),
            _ => wait,
        }
    }
}
