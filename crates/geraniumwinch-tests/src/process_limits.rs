//! The limits of a process in its settings.

/// What a process may use, as its settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory in megabytes.
    pub memory_mb: u64,
    /// The number of open descriptors.
    pub descriptors: usize,
}
