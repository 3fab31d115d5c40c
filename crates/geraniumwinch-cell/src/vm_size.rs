//! The size of a VM, which decides which process claims the ownership first.
//!
//! In a fleet of mostly small VMs, a small VM tends to be up first when all processes were lost. An
//! owner there takes seconds to read the jobs and places tasks late, so processes on small VMs
//! delay their claims.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The delay of a claim per unit by which the inverse of the VM's CPU share exceeds that of
/// [`FULL_SIZE_MILLIS`].
const SMALL_VM_DELAY: Duration = Duration::from_millis(25);
/// The maximum of that delay.
const MAX_SMALL_VM_DELAY: Duration = Duration::from_millis(250);
/// The CPU share from which on a VM claims without delay, in thousandths of a core.
const FULL_SIZE_MILLIS: f64 = 500.0;
/// The ratio of CPU shares above which a VM counts as much larger than another.
const MUCH_LARGER_FACTOR: u32 = 2;
/// The minimum delay of a claim if the last owner's VM was much larger than this one: other VMs of
/// that size may be about to start.
const LARGER_VM_DELAY: Duration = Duration::from_millis(1500);

/// The size of a VM.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct VmSize {
    /// The CPU share in thousandths of a core.
    cpu_millis: u32,
}

impl VmSize {
    /// Creates the size of a VM from its CPU share as a fraction of a core.
    pub fn from_cpu_share(share: f64) -> Self {
        VmSize { cpu_millis: (share * 1000.0) as u32 }
    }

    /// Returns the CPU share in thousandths of a core.
    pub fn cpu_millis(self) -> u32 {
        self.cpu_millis
    }

    /// Returns whether another VM is so much larger that it should own the cell instead.
    pub fn is_much_smaller_than(self, other: VmSize) -> bool {
        other.cpu_millis > self.cpu_millis.saturating_mul(MUCH_LARGER_FACTOR)
    }

    /// Returns how long a process on this VM lets processes on larger VMs claim first.
    pub fn claim_delay(self, last_owner: Option<VmSize>) -> Duration {
        let millis = f64::from(self.cpu_millis.max(1));
        let shortfall = (1000.0 / millis - 1000.0 / FULL_SIZE_MILLIS).max(0.0);
        let delay = SMALL_VM_DELAY.mul_f64(shortfall).min(MAX_SMALL_VM_DELAY);
        match last_owner {
            Some(last) if self.is_much_smaller_than(last) => delay.max(LARGER_VM_DELAY),
            _ => delay,
        }
    }
}
