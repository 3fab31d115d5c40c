//! Workers that have left after they announced it.
//!
//! An entry of the list is removed when its worker has left, or after some of the worker's status report
//! intervals without a report. If it is gone sooner after a report, the worker has left, and all that ran
//! there has ended: nothing has to wait for its lease. When the last report was written is known from two
//! reads of the list: the first one in which it is seen, and the one before.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::EntryRevision;
use crate::LossCause;
use crate::SchedulerEvent;
use crate::WorkerList;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::TaskRef;

/// The number of status report intervals without a report after which an entry is removed.
const SILENT_INTERVALS: u32 = 3;
/// The share of that time within which an entry has to be gone, as clocks and intervals are not exact.
const SILENCE_SHARE: f64 = 0.9;

/// What is known of an entry's last report.
#[derive(Debug, Clone, Copy)]
struct LastReport {
    /// The revision of the entry.
    revision: u64,
    /// The earliest time at which the report was written; `None` if only one revision was seen.
    since: Option<BootTime>,
}

/// The last reports of all listed workers.
#[derive(Debug, Default)]
pub(super) struct DepartureWatch {
    /// The time without reports after which an entry is removed, less a margin; zero if it is not known.
    silence: Duration,
    reports: HashMap<Name, LastReport>,
    /// When the read was sent that `reports` are from.
    sent: BootTime,
}

impl DepartureWatch {
    /// Updates the reports with a whole list that was requested at `sent`, and returns the workers
    /// whose entries are gone sooner than for a lack of reports.
    fn update(
        &mut self,
        entries: &[EntryRevision],
        sent: BootTime,
        now: BootTime,
    ) -> Vec<Name> {
        let mut former = std::mem::take(&mut self.reports);
        for EntryRevision { id, revision } in entries {
            let report = match former.remove(id) {
                Some(known) if known.revision == *revision => known,
                known => {
                    let since = known.map(|_| self.sent);
                    LastReport { revision: *revision, since }
                }
            };
            self.reports.insert(id.clone(), report);
        }
        self.sent = sent;
        let left = |report: &LastReport| {
            report.since.is_some_and(|since| now < since.saturating_add(self.silence))
        };
        former.into_iter().filter(|(_, report)| left(report)).map(|(id, _)| id).collect()
    }
}

impl FleetScheduler {
    /// Sets the interval at which workers report to the list. Until then, no worker is known to have
    /// left.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.departures.silence =
            interval.saturating_mul(SILENT_INTERVALS).mul_f64(SILENCE_SHARE);
    }

    /// Replaces the platform's list of workers by one that was requested at `sent`, and returns the new
    /// ones.
    pub fn list_workers(
        &mut self,
        list: WorkerList,
        sent: BootTime,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        let WorkerList { workers, entries, is_whole } = list;
        let gone = if is_whole {
            self.departures.update(&entries, sent, now)
        } else {
            Vec::new()
        };
        let added = self.set_workers(workers, now);
        for id in gone {
            if let Some(&worker) = self.worker_ids.get(&id) {
                self.worker_departed(worker, now);
            }
        }
        added
    }

    /// Has the tasks of a worker that has left as announced placed again. Those with a start that a
    /// later incarnation may execute wait until none may.
    fn worker_departed(&mut self, worker: WorkerKey, now: BootTime) {
        let state = &mut self.workers[worker];
        if !state.leaving || state.departed {
            return;
        }
        state.departed = true;
        state.silent_since.get_or_insert(now);
        state.inherited_runs = None;
        state.clear_orphans();
        let event = SchedulerEvent::Departed {
            worker: state.info.id.clone(),
            runs: state.tasks.len(),
        };
        self.events.push(event);
        let tasks: Vec<TaskRef> = self.workers[worker].tasks.iter().copied().collect();
        for task in tasks {
            let Some(&placement) = self.placement_of(task) else { continue };
            if !self.may_run_after_expiry(&placement, now) {
                self.abandon_run(task, LossCause::WorkerLost, now);
            }
        }
    }
}
