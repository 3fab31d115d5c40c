//! The scheduler's state of workers.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PossibleRuns;
use crate::WorkerInfo;
use crate::WorkerReport;

use super::FENCES_PER_EPOCH;
use super::crashes::LostRun;
use super::held_ends::OpenStart;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;

/// How long calls to a worker that has never responded have to fail until its entry does not count as
/// capacity: three of the workers' status report intervals, the time after which an entry is removed whose
/// worker reports no more.
const UNPROVEN_SILENCE: Duration = Duration::from_millis(4500);

/// The end of a run that was processed but may not be in the store yet.
#[derive(Debug, Clone)]
pub(super) struct UnstoredEnd {
    /// The worker's sequence number of the end.
    pub(super) number: u64,
    /// The job whose record covers the end, with the version from which on it does; `None` if the
    /// task is unknown.
    pub(super) job: Option<(JobKey, u64)>,
    /// The start command of the run, while the end must not be acknowledged because of it.
    pub(super) open_start: Option<OpenStart>,
}

/// A time in which only one job may start tasks on a worker, since one of its tasks is suspected of
/// crashing its workers.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerTrial {
    pub(super) job: JobKey,
    pub(super) until: BootTime,
}

/// The jobs whose tasks may be running on a worker according to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedRuns {
    /// No jobs, or a write to the store is pending that may list fewer jobs.
    NoJobs,
    /// Some jobs.
    SomeJobs,
    /// Any job.
    AnyJob,
}

impl RecordedRuns {
    /// Returns the value for a record with the given possible runs.
    pub(super) fn of(possible_runs: &PossibleRuns) -> Self {
        match possible_runs {
            PossibleRuns::Any => RecordedRuns::AnyJob,
            PossibleRuns::Only { .. } => RecordedRuns::SomeJobs,
        }
    }
}

/// A worker that was removed.
#[derive(Debug)]
pub(super) struct FormerWorker {
    /// The number that its last commands carried in their fencing token above the epoch.
    pub(super) fence: u64,
    /// Its last address.
    pub(super) address: Name,
    /// Its last incarnation in the platform's list.
    pub(super) incarnation: u64,
    /// The runs that were abandoned since it became silent.
    pub(super) expired_runs: Vec<LostRun>,
}

/// The state of a worker and its tasks.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// The worker's entry in the platform's list.
    pub(super) info: WorkerInfo,
    /// Whether the worker is still in the platform's list.
    pub(super) listed: bool,
    /// Whether the worker's failure domain is evacuated.
    pub(super) evacuated: bool,
    /// The jobs whose tasks may be running there according to the store. The next owner polls the
    /// recorded workers for their runs.
    pub(super) recorded_runs: RecordedRuns,
    /// The runs that former owners may have left there, if any.
    pub(super) inherited_runs: Option<PossibleRuns>,
    /// The incarnation of the last report; `None` before the first report of this epoch.
    pub(super) incarnation: Option<u64>,
    /// The number that commands carry in their fencing token above the epoch.
    pub(super) fence: u64,
    /// When the first report of this incarnation was processed. Calls that were sent since carry
    /// its fence.
    pub(super) fenced_since: BootTime,
    /// Since when the worker has not responded to calls; `None` if it has responded to the last one.
    pub(super) silent_since: Option<BootTime>,
    /// When the worker last failed to respond to a call.
    pub(super) missed_at: BootTime,
    /// When the worker responded again after it was last silent.
    pub(super) silent_until: BootTime,
    /// Whether another worker has responded at the address: the worker is gone, with all its runs.
    pub(super) replaced: bool,
    /// Whether the worker has left as announced: nothing runs there any more.
    pub(super) departed: bool,
    /// Whether the worker has announced that it leaves, so that its end is not a crash.
    pub(super) leaving: bool,
    /// The runs that were abandoned since the worker became silent; it may have crashed under them.
    pub(super) expired_runs: Vec<LostRun>,
    /// The trial of a suspected task there, if any.
    pub(super) trial: Option<WorkerTrial>,
    /// When all runs started there will have ended if the worker stays silent.
    pub(super) expiry: BootTime,
    /// The resources reserved by its tasks and by gang reservations.
    pub(super) used: ResourceVector,
    /// The tasks that are placed there.
    pub(super) tasks: BTreeSet<TaskRef>,
    /// The resources used by orphaned runs of known size.
    pub(super) orphan_usage: ResourceVector,
    /// The tasks of these runs.
    pub(super) orphaned_tasks: BTreeSet<TaskRef>,
    /// When the last report was processed.
    pub(super) reported_at: BootTime,
    /// When the latest of the calls was sent that this incarnation has responded to with a report.
    pub(super) report_sent: BootTime,
    /// The time of the worker's clock in its last report, in milliseconds.
    pub(super) report_clock_ms: u64,
    /// Whether there are orphaned runs of unknown size.
    pub(super) orphan_size_unknown: bool,
    /// The number of failures since the last run that was done.
    pub(super) failures: u32,
    /// When the quarantine of the worker ends.
    pub(super) quarantine: BootTime,
    /// Whether a report of this incarnation has listed all ends, so that all runs of former owners
    /// there are known.
    pub(super) has_listed_all: bool,
    /// Whether the last report had no room for all ends.
    pub(super) has_more_ends: bool,
    /// The placed tasks whose runs have ended, as the last report doesn't list them as running, but
    /// whose ends it had no room for.
    pub(super) unread_runs: BTreeSet<TaskRef>,
    /// The sequence number of the last processed end.
    pub(super) processed_end: u64,
    /// The sequence number up to which the store holds all ends.
    pub(super) stored_end: u64,
    /// The ends between these two numbers.
    pub(super) unstored_ends: VecDeque<UnstoredEnd>,
}

impl WorkerState {
    /// Creates the state of a worker that has not reported yet.
    pub(super) fn new(info: WorkerInfo, fence: u64, expiry: BootTime) -> Self {
        let leaving = !info.accepting;
        WorkerState {
            info,
            listed: true,
            evacuated: false,
            recorded_runs: RecordedRuns::NoJobs,
            inherited_runs: None,
            incarnation: None,
            fence,
            fenced_since: BootTime::ZERO,
            silent_since: None,
            missed_at: BootTime::ZERO,
            silent_until: BootTime::ZERO,
            replaced: false,
            departed: false,
            leaving,
            expired_runs: Vec::new(),
            trial: None,
            expiry,
            used: ResourceVector::default(),
            tasks: BTreeSet::new(),
            orphan_usage: ResourceVector::default(),
            orphaned_tasks: BTreeSet::new(),
            reported_at: BootTime::ZERO,
            report_sent: BootTime::ZERO,
            report_clock_ms: 0,
            orphan_size_unknown: false,
            failures: 0,
            quarantine: BootTime::ZERO,
            has_listed_all: false,
            has_more_ends: false,
            unread_runs: BTreeSet::new(),
            processed_end: 0,
            stored_end: 0,
            unstored_ends: VecDeque::new(),
        }
    }

    /// Returns whether the worker has not responded to the last calls.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Returns whether no lease is left there: the worker has not responded until its lease ended, or
    /// it has left.
    pub(super) fn has_no_lease(&self, now: BootTime) -> bool {
        self.departed || (self.is_silent() && self.expiry <= now)
    }

    /// Returns whether no worker has responded yet where the entry says, and all calls have failed for
    /// [`UNPROVEN_SILENCE`], or another worker has responded there.
    pub(super) fn is_unproven(&self) -> bool {
        let silence = self.silent_since.map(|since| self.missed_at.saturating_sub(since));
        let long_silent = silence.is_some_and(|silence| silence >= UNPROVEN_SILENCE);
        self.incarnation.is_none() && (self.replaced || long_silent)
    }

    /// Returns whether start commands may be sent to the worker, also for tasks that were placed there
    /// before.
    pub(super) fn accepts_starts(&self) -> bool {
        self.listed
            && !self.evacuated
            && self.recorded_runs == RecordedRuns::AnyJob
            && self.info.accepting
            && !self.is_silent()
            && self.incarnation.is_some()
    }

    /// Returns whether tasks may be placed on the worker.
    pub(super) fn usable(&self, now: BootTime) -> bool {
        self.accepts_starts()
            && !self.orphan_size_unknown
            && self.quarantine <= now
            // No higher token is left to tell its next incarnation apart.
            && self.fence < FENCES_PER_EPOCH - 1
    }

    /// Returns whether a job may start tasks there beside a suspected task of another job, if any.
    pub(super) fn allows_start(&self, key: JobKey, now: BootTime) -> bool {
        self.trial.is_none_or(|trial| trial.job == key || trial.until <= now)
    }

    /// Returns what the store should record of the worker's runs.
    ///
    /// For a worker that gets no new tasks, only the jobs of its known runs and of ends that are
    /// not in the store yet have to be recorded.
    pub(super) fn wanted_runs(&self) -> RecordedRuns {
        let takes = self.listed && self.info.accepting && !self.is_silent();
        match &self.inherited_runs {
            Some(possible_runs) if self.incarnation.is_none() => {
                RecordedRuns::of(possible_runs)
            }
            _ if self.incarnation.is_none() && !takes => RecordedRuns::NoJobs,
            _ if takes || self.has_orphans() || self.may_hide_ends() => {
                RecordedRuns::AnyJob
            }
            _ if self.tasks.is_empty() && self.unstored_ends.is_empty() => {
                RecordedRuns::NoJobs
            }
            _ => RecordedRuns::SomeJobs,
        }
    }

    /// Returns whether the worker may have ends of former owners' runs that no report has listed.
    pub(super) fn may_hide_ends(&self) -> bool {
        self.inherited_runs.is_some() && !self.has_listed_all
    }

    /// Returns whether nothing runs on the worker: it has reported so, and nothing was started
    /// since.
    pub(super) fn idle(&self) -> bool {
        self.incarnation.is_some() && self.tasks.is_empty() && !self.has_orphans()
    }

    /// Returns whether the worker has orphaned runs.
    pub(super) fn has_orphans(&self) -> bool {
        self.orphan_size_unknown || self.orphan_usage != ResourceVector::default()
    }

    /// Returns the free capacity.
    pub(super) fn free(&self) -> ResourceVector {
        self.info.capacity.minus(&self.used).minus(&self.orphan_usage)
    }

    /// Returns whether all reserved resources fit into the capacity. They may exceed it while tasks
    /// are being stopped for a gang reservation.
    pub(super) fn is_within_capacity(&self) -> bool {
        let mut used = self.used;
        used.add(&self.orphan_usage);
        used.min(&self.info.capacity) == used
    }

    /// Returns the free capacity once some of the reserved resources are released.
    pub(super) fn free_without(&self, released: &ResourceVector) -> ResourceVector {
        let used = self.used.minus(released);
        self.info.capacity.minus(&used).minus(&self.orphan_usage)
    }

    /// Begins a new incarnation of the worker and discards what earlier incarnations reported.
    pub(super) fn begin_incarnation(&mut self, incarnation: u64, now: BootTime) {
        self.fenced_since = now;
        self.replaced = false;
        self.departed = false;
        self.leaving = !self.info.accepting;
        self.expired_runs.clear();
        self.incarnation = Some(incarnation);
        self.report_sent = BootTime::ZERO;
        self.report_clock_ms = 0;
        self.has_listed_all = false;
        self.has_more_ends = false;
        self.unread_runs.clear();
        self.processed_end = 0;
        self.stored_end = 0;
        self.unstored_ends.clear();
        self.clear_orphans();
    }

    /// Records that no orphaned runs are left.
    pub(super) fn clear_orphans(&mut self) {
        self.orphan_usage = ResourceVector::default();
        self.orphaned_tasks.clear();
        self.orphan_size_unknown = false;
    }

    /// Returns whether a report in response to a call that was sent at `sent` is older than what is known:
    /// a later one was processed before, or it is from another incarnation and the call was sent before the
    /// present one was known.
    pub(super) fn is_outdated(&self, report: &WorkerReport, sent: BootTime) -> bool {
        match self.incarnation {
            Some(known) if known == report.incarnation => {
                report.clock_ms < self.report_clock_ms
            }
            Some(_) => sent < self.fenced_since,
            None => false,
        }
    }

    /// Advances `stored_end` past the ends that the store holds according to `is_stored`.
    pub(super) fn advance_stored(&mut self, is_stored: impl Fn(&UnstoredEnd) -> bool) {
        while let Some(end) = self.unstored_ends.front() {
            if end.open_start.is_some() || !is_stored(end) {
                return;
            }
            self.stored_end = end.number;
            self.unstored_ends.pop_front();
        }
    }
}
