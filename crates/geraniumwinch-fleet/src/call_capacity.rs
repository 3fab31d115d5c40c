//! The VMs that can make calls to the permission service for the jobs of a priority.

/// What the VMs of a cell can do for the calls of a priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCapacity {
    /// The number of VMs that can make calls.
    pub vms: usize,
    /// The number of them that can make calls of the priority.
    pub available: f64,
    /// The share of the VMs' time that calls of the priority and more urgent ones have taken lately.
    pub used_share: f64,
}
