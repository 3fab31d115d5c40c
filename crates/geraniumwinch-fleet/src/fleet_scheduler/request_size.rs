//! How many workers a permission request names.

/// The bounds of the number of workers that a permission request names.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestSize {
    /// The number of tasks for which the named workers should have capacity.
    pub(super) wanted: f64,
    /// The number of workers that are named even if fewer would do.
    pub(super) minimum: usize,
    /// The maximum number of workers.
    pub(super) limit: usize,
}

impl RequestSize {
    /// Returns how many workers are named at most, each of which has capacity for a task.
    pub(super) fn most(&self) -> usize {
        (self.wanted.ceil() as usize).max(self.minimum).min(self.limit)
    }
}
