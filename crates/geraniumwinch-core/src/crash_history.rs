//! The crashes of workers under a task.

use std::time::Duration;

use crate::RunCrash;
use crate::run_crash::AGE_MARGIN;
use crate::run_crash::MAX_CAUSE_AGE;

/// The number of crashes as the only suspect, or together with suspects of its own job, after which a
/// task is given up.
const MAX_SOLE_SUSPICIONS: usize = 2;
/// The number of crashes after which a task is given up if workers confirmed at least
/// [`MIN_CONFIRMED`] of the runs. New owners may not know of further ones, and five are too many.
const MAX_CRASHES: usize = 3;
/// The number of confirmed runs without which one more crash has to be counted.
const MIN_CONFIRMED: usize = 2;
/// How much longer than at the crashes a run must last to clear its task of them.
const SURVIVAL_MARGIN: Duration = Duration::from_secs(1);
/// The maximum time for which no other job starts tasks beside a suspected one.
const MAX_TRIAL: Duration = Duration::from_secs(2);

/// The crashes of workers under a task since one of its runs last lasted much longer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashHistory {
    crashes: Vec<RunCrash>,
}

impl CrashHistory {
    /// Adds a crash, and returns whether it counts: each run counts once, and only before the age at
    /// which it can have been the cause.
    pub fn add(&mut self, crash: RunCrash) -> bool {
        let counts = !self.has_run(crash.run) && crash.age < MAX_CAUSE_AGE;
        if counts {
            self.crashes.push(crash);
        }
        counts
    }

    /// Returns whether there are no crashes.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the crashes.
    pub fn iter(&self) -> impl Iterator<Item = &RunCrash> {
        self.crashes.iter()
    }

    /// Returns whether another crash shows that the task has caused it, provided that no task of
    /// another job is suspected alike. A worker that restarts again under the same run shows nothing.
    pub fn is_repeated_by(&self, crash: &RunCrash) -> bool {
        let repeated = self.suspicions() + 1 >= MAX_SOLE_SUSPICIONS;
        crash.is_evidence() && !self.has_run(crash.run) && repeated
    }

    /// Returns whether the task is given up, whoever else is suspected.
    pub fn is_exhausted(&self) -> bool {
        is_too_many(self.crashes.len(), self.confirmed())
    }

    /// Returns whether the task would be given up after another crash, whoever else is suspected.
    pub fn is_nearly_exhausted(&self) -> bool {
        is_too_many(self.crashes.len() + 1, self.confirmed() + 1)
    }

    /// Returns whether the task may have crashed a worker.
    pub fn is_suspected(&self) -> bool {
        self.crashes.iter().any(|crash| crash.suspected)
    }

    /// Returns how long other jobs should start nothing beside a suspected task; `None` if the task is
    /// not suspected.
    pub fn trial_time(&self) -> Option<Duration> {
        let suspicions = self.crashes.iter().filter(|crash| crash.suspected);
        let age = suspicions.map(|crash| crash.age).max()?;
        Some(MAX_TRIAL.min(age * 2 + AGE_MARGIN))
    }

    /// Forgets the crashes if a run of the given age has lasted much longer than those that were lost.
    pub fn clear_if_survived(&mut self, age: Duration) {
        let longest = self.crashes.iter().map(|crash| crash.age).max();
        let survival = longest.map(|age| MAX_CAUSE_AGE.min(age * 2 + SURVIVAL_MARGIN));
        if survival.is_some_and(|survival| age >= survival) {
            self.crashes.clear();
        }
    }

    /// Returns the number of crashes under runs that a worker had confirmed.
    fn confirmed(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.confirmed).count()
    }

    /// Returns whether a crash under a run is known.
    fn has_run(&self, run: u64) -> bool {
        self.crashes.iter().any(|known| known.run == run)
    }

    /// Returns the number of crashes that are evidence against the task.
    fn suspicions(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.is_evidence()).count()
    }
}

/// Returns whether a task is given up after some crashes, of which a number was under confirmed runs.
fn is_too_many(crashes: usize, confirmed: usize) -> bool {
    crashes >= MAX_CRASHES + usize::from(confirmed < MIN_CONFIRMED)
}
