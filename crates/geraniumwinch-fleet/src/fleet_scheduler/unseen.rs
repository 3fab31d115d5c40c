//! What may run on workers that have not reported to a new owner.

use std::collections::HashMap;
use std::collections::HashSet;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PossibleRuns;

use super::FleetScheduler;
use super::job_slot::JobKey;

/// What may run on workers that have not reported.
#[derive(Debug, Default)]
pub(super) struct UnseenRuns {
    /// The room of workers where tasks of any former owner's job may run.
    open_room: Option<ResourceVector>,
    /// The jobs whose tasks may run on the other ones.
    jobs: HashSet<Name>,
    /// What tasks on these take at most, by client account.
    used: HashMap<Name, ResourceVector>,
}

impl FleetScheduler {
    /// Returns what may run on workers that have not reported.
    pub(super) fn unseen_runs(&self, now: BootTime) -> UnseenRuns {
        let mut runs = UnseenRuns::default();
        let unseen = self.workers.values();
        for slot in unseen.filter(|slot| slot.incarnation.is_none() && now < slot.expiry)
        {
            match &slot.inherited_runs {
                Some(PossibleRuns::Any) => {
                    let room = runs.open_room.get_or_insert_default();
                    room.add(&slot.info.capacity);
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

    /// Returns whether waiting tasks of a job may run on workers that have not reported.
    pub(super) fn may_run_unseen(
        &self,
        key: JobKey,
        unseen: &UnseenRuns,
        now: BootTime,
    ) -> bool {
        let job = &self.jobs[key];
        let there = unseen.open_room.is_some() || unseen.jobs.contains(&job.id);
        job.uncertain_until > now && there
    }

    /// Returns what accounts may have running on workers that have not reported.
    ///
    /// Where tasks of any job may run, that is at most what waits of former owners' jobs, and what
    /// these workers have room for.
    pub(super) fn unseen_use(
        &self,
        unseen: &UnseenRuns,
        now: BootTime,
    ) -> HashMap<Name, ResourceVector> {
        let mut all = unseen.used.clone();
        let Some(room) = &unseen.open_room else { return all };
        let mut waiting: HashMap<Name, ResourceVector> = HashMap::new();
        for &(_, _, key) in &self.open {
            let job = &self.jobs[key];
            if job.uncertain_until <= now {
                continue;
            }
            let used = waiting.entry(job.record.account.clone()).or_default();
            for unit in 0..job.units.len() as u32 {
                if job.ready(unit) {
                    let size = job.plan(unit).reserved();
                    let tasks = job.units[unit as usize].waiting;
                    (0..tasks).for_each(|_| used.add(&size));
                }
            }
        }
        for (account, used) in waiting {
            all.entry(account).or_default().add(&used.least(room));
        }
        all
    }
}
