//! How late a job is.

/// How late a job is. Jobs of the same priority are served in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JobLateness {
    /// The job can still meet its objective.
    InTime,
    /// The job can still be done while its result is of some use.
    Late,
    /// The job cannot be done before its result is of little use.
    Overdue,
}
