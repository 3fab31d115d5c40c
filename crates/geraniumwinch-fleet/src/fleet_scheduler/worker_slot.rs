//! What the scheduler knows of a worker.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PossibleRuns;
use crate::WorkerInfo;

use super::job_slot::JobKey;
use super::job_slot::TaskRef;

/// An end that was processed and that the store may not hold yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnstoredEnd {
    /// The worker's number of the end.
    pub(super) number: u64,
    /// The job whose record holds the end, with the version that does.
    pub(super) job: Option<(JobKey, u64)>,
}

/// Whose tasks the store says may run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedRuns {
    /// Nobody's, or the store is about to say less than it does.
    NoJobs,
    /// Those of some jobs.
    SomeJobs,
    /// Those of any job.
    AnyJob,
}

impl RecordedRuns {
    /// Returns what a record with these holders says.
    pub(super) fn of(possible_runs: &PossibleRuns) -> Self {
        match possible_runs {
            PossibleRuns::Any => RecordedRuns::AnyJob,
            PossibleRuns::Only { .. } => RecordedRuns::SomeJobs,
        }
    }
}

/// A worker with what runs there.
#[derive(Debug)]
pub(super) struct WorkerSlot {
    /// What it says of itself.
    pub(super) info: WorkerInfo,
    /// Whether the platform's list still has it.
    pub(super) listed: bool,
    /// Whose tasks the store says may run there, so that the next owner asks it.
    pub(super) recorded_runs: RecordedRuns,
    /// Whose tasks a former owner may have left there, if it had any.
    pub(super) inherited_runs: Option<PossibleRuns>,
    /// The lifetime of the last report; none before the first one of this epoch.
    pub(super) incarnation: Option<u64>,
    /// Whether the last calls were left without an answer.
    pub(super) silent: bool,
    /// When everything that was started there has ended, if it stays silent.
    pub(super) expiry: BootTime,
    /// What its tasks reserve.
    pub(super) used: ResourceVector,
    /// The tasks that may run there.
    pub(super) places: BTreeSet<TaskRef>,
    /// The room that runs of unknown or ended jobs take.
    pub(super) stray_room: ResourceVector,
    /// Whether a run of unknown size is there.
    pub(super) stray_unknown: bool,
    /// The runs that ended in failure since the last one that was done.
    pub(super) failures: u32,
    /// Until when it takes no tasks because runs failed there.
    pub(super) quarantine: BootTime,
    /// The number of the last end that was processed.
    pub(super) processed: u64,
    /// The number up to which the store holds all ends.
    pub(super) stored: u64,
    /// The ends between the two.
    pub(super) unstored: VecDeque<UnstoredEnd>,
}

impl WorkerSlot {
    /// Creates the state of a worker that has not reported yet.
    pub(super) fn new(info: WorkerInfo, expiry: BootTime) -> Self {
        WorkerSlot {
            info,
            listed: true,
            recorded_runs: RecordedRuns::NoJobs,
            inherited_runs: None,
            incarnation: None,
            silent: false,
            expiry,
            used: ResourceVector::default(),
            places: BTreeSet::new(),
            stray_room: ResourceVector::default(),
            stray_unknown: false,
            failures: 0,
            quarantine: BootTime::ZERO,
            processed: 0,
            stored: 0,
            unstored: VecDeque::new(),
        }
    }

    /// Returns whether tasks may be placed there.
    pub(super) fn usable(&self, now: BootTime) -> bool {
        self.listed
            && self.recorded_runs == RecordedRuns::AnyJob
            && self.info.accepting
            && !self.silent
            && self.incarnation.is_some()
            && !self.stray_unknown
            && self.quarantine <= now
    }

    /// Returns whose tasks the store should say may run there: of a worker that gets no new tasks,
    /// what it has is known, and which ends the store lacks.
    pub(super) fn wanted_runs(&self) -> RecordedRuns {
        let takes = self.listed && self.info.accepting && !self.silent;
        match &self.inherited_runs {
            Some(possible_runs) if self.incarnation.is_none() => {
                RecordedRuns::of(possible_runs)
            }
            _ if self.incarnation.is_none() && !takes => RecordedRuns::NoJobs,
            _ if takes || self.has_strays() => RecordedRuns::AnyJob,
            _ if self.places.is_empty() && self.unstored.is_empty() => {
                RecordedRuns::NoJobs
            }
            _ => RecordedRuns::SomeJobs,
        }
    }

    /// Returns whether it is known that nothing runs there: it has said so, and nothing was
    /// started since.
    pub(super) fn idle(&self) -> bool {
        self.incarnation.is_some() && self.places.is_empty() && !self.has_strays()
    }

    /// Returns whether runs are there that no job wants.
    pub(super) fn has_strays(&self) -> bool {
        self.stray_unknown || self.stray_room != ResourceVector::default()
    }

    /// Returns the room that is left.
    pub(super) fn free(&self) -> ResourceVector {
        self.info.capacity.minus(&self.used).minus(&self.stray_room)
    }

    /// Returns whether all that is reserved fits, also room that is kept for gangs while other tasks
    /// are stopped.
    pub(super) fn fits_used(&self) -> bool {
        let mut used = self.used;
        used.add(&self.stray_room);
        used.least(&self.info.capacity) == used
    }

    /// Returns the room that is left once some of what is reserved is given back.
    pub(super) fn free_without(&self, given_back: &ResourceVector) -> ResourceVector {
        let used = self.used.minus(given_back);
        self.info.capacity.minus(&used).minus(&self.stray_room)
    }

    /// Forgets what a former lifetime said.
    pub(super) fn begin_lifetime(&mut self, incarnation: u64) {
        self.incarnation = Some(incarnation);
        self.processed = 0;
        self.stored = 0;
        self.unstored.clear();
        self.stray_room = ResourceVector::default();
        self.stray_unknown = false;
    }

    /// Moves the acknowledged number over the ends that `is_stored` says the store holds.
    pub(super) fn advance_stored(&mut self, is_stored: impl Fn(&UnstoredEnd) -> bool) {
        while let Some(end) = self.unstored.front() {
            if !is_stored(end) {
                return;
            }
            self.stored = end.number;
            self.unstored.pop_front();
        }
    }
}
