//! Amounts of the resources that tasks require and workers provide.

use std::iter::Sum;

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource type of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// CPU capacity in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl ResourceVector {
    /// The greatest amounts that a single VM may have; larger ones are errors of their writer. The
    /// sums over the workers of a fleet, or over the tasks of a job, don't come near the limits of
    /// their types.
    pub const VM_MAX: ResourceVector = ResourceVector {
        cpu_millis: 16_384 * 1000,
        memory_bytes: 64 << 40,
        accelerators: 4096,
    };

    /// Returns whether no amount exceeds that of `available`.
    pub fn fits(&self, available: &ResourceVector) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
    }

    /// Adds another vector, saturating at the greatest amounts.
    pub fn add(&mut self, other: &ResourceVector) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_bytes = self.memory_bytes.saturating_add(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Returns the amounts of several such vectors together.
    pub fn times(&self, count: u32) -> ResourceVector {
        ResourceVector {
            cpu_millis: self.cpu_millis.saturating_mul(count.into()),
            memory_bytes: self.memory_bytes.saturating_mul(count.into()),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Subtracts another vector, saturating at zero.
    pub fn subtract(&mut self, other: &ResourceVector) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_bytes = self.memory_bytes.saturating_sub(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Returns `self` less `used`, saturating at zero.
    pub fn minus(&self, used: &ResourceVector) -> ResourceVector {
        let mut rest = *self;
        rest.subtract(used);
        rest
    }

    /// Returns the greater amount of each resource.
    pub fn max(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest fraction of `total` over all resources.
    pub fn dominant_share(&self, total: &ResourceVector) -> f64 {
        let cpu = fraction(self.cpu_millis, total.cpu_millis);
        let memory = fraction(self.memory_bytes, total.memory_bytes);
        let accelerators = fraction(self.accelerators.into(), total.accelerators.into());
        cpu.max(memory).max(accelerators)
    }
}

impl<'a> Sum<&'a ResourceVector> for ResourceVector {
    fn sum<I: Iterator<Item = &'a ResourceVector>>(vectors: I) -> Self {
        let mut total = ResourceVector::default();
        vectors.for_each(|vector| total.add(vector));
        total
    }
}

/// Returns `part / whole`, or 0 if `whole` is 0.
fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
