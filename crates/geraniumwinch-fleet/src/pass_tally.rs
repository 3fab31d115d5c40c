//! Counts of what placement passes do.

/// What placement passes have done since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PassTally {
    /// Steps with waiting tasks that were visited.
    pub visited: u64,
    /// Steps of which tasks were tried to be placed.
    pub attempted: u64,
    /// Workers that were looked at for these steps.
    pub searched: u64,
    /// Tasks started of jobs that can still meet their objective.
    pub in_time: u64,
    /// Tasks started of jobs that are late, but whose results are of some use.
    pub late: u64,
    /// Tasks started of jobs whose results are of little use.
    pub overdue: u64,
}
