//! Runs that may exist on workers that have not reported to a new owner yet, and runs that may have
//! ended there without a report that lists their ends.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PossibleRuns;

use super::FleetScheduler;
use super::task_ref::JobKey;

/// The runs that may exist on workers that have not reported.
#[derive(Debug, Default)]
pub(super) struct UnreportedRuns {
    /// The total capacity of workers where tasks of any former owner's job may run; none if there
    /// are no such workers.
    open_capacity: Option<ResourceVector>,
    /// The jobs whose tasks may run on the other workers.
    jobs: HashSet<Name>,
    /// The maximum resources that tasks use on these other workers, by client account.
    used: HashMap<Name, ResourceVector>,
    /// The jobs with tasks that may have ended on workers that have reported, but not all ends.
    ended: EndedJobs,
}

/// Jobs with tasks that may have ended, as far as reports tell.
#[derive(Debug, Default)]
struct EndedJobs {
    /// Whether they may be any jobs of former owners.
    any: bool,
    /// The jobs otherwise.
    jobs: HashSet<Name>,
}

impl FleetScheduler {
    /// Returns the runs that may exist, or may have ended unread, on workers that have not reported
    /// all and whose leases have not expired.
    pub(super) fn unreported_runs(&self, now: BootTime) -> UnreportedRuns {
        let mut runs = UnreportedRuns::default();
        let states = self.workers.values().filter(|state| now < state.expiry);
        for state in states.filter(|state| state.may_hide_ends()) {
            // What runs on a worker that has reported is known.
            let reported = state.incarnation.is_some();
            match &state.inherited_runs {
                Some(PossibleRuns::Any) if reported => runs.ended.any = true,
                Some(PossibleRuns::Only { jobs, .. }) if reported => {
                    runs.ended.jobs.extend(jobs.iter().cloned());
                }
                Some(PossibleRuns::Any) => {
                    let capacity = runs.open_capacity.get_or_insert_default();
                    capacity.add(&state.info.capacity);
                }
                Some(PossibleRuns::Only { jobs, used }) => {
                    runs.jobs.extend(jobs.iter().cloned());
                    for (account, used) in used {
                        runs.used.entry(account.clone()).or_default().add(used);
                    }
                }
                None => {}
            }
        }
        runs
    }

    /// Returns whether waiting tasks of a job may run on workers that have not reported, or may have
    /// ended unread.
    pub(super) fn may_run_unreported(
        &self,
        key: JobKey,
        unreported: &UnreportedRuns,
        now: BootTime,
    ) -> bool {
        let job = &self.jobs[key];
        let ended = &unreported.ended;
        let inherited = job.accepted_at.is_none();
        if inherited && (ended.any || ended.jobs.contains(&job.id)) {
            return true;
        }
        let possible =
            unreported.open_capacity.is_some() || unreported.jobs.contains(&job.id);
        job.uncertain_until > now && possible
    }

    /// Returns the resources that accounts may use on workers that have not reported.
    ///
    /// On workers where tasks of any job may run, an account's usage is bounded by its waiting
    /// tasks of former owners' jobs and by the capacity of these workers.
    pub(super) fn unreported_usage(
        &self,
        unreported: &UnreportedRuns,
        unix_time: Duration,
        now: BootTime,
    ) -> HashMap<Name, ResourceVector> {
        let mut all = unreported.used.clone();
        let Some(capacity) = &unreported.open_capacity else { return all };
        let mut waiting: HashMap<Name, ResourceVector> = HashMap::new();
        for &(_, _, key) in &self.open_jobs {
            let job = &self.jobs[key];
            if job.uncertain_until <= now {
                continue;
            }
            let used = waiting.entry(job.record.account.clone()).or_default();
            for unit in job.due_units(unix_time) {
                if job.ready(unit) {
                    let size = job.plan(unit).reserved();
                    let tasks = job.units[unit as usize].waiting;
                    used.add(&size.times(tasks));
                }
            }
        }
        for (account, used) in waiting {
            all.entry(account).or_default().add(&used.min(capacity));
        }
        all
    }
}
