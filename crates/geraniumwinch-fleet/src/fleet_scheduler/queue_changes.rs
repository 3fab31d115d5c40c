//! Changes of the rules of queues while their jobs are live.
//!
//! An accepted job follows its queue: its waiting tasks run on the workers, with the priority, attempts
//! and permissions of the newest configuration. What the job was promised at its acceptance, its
//! objective, stays. What runs or was told to start stays as well, until it ends. Jobs of a queue that
//! was removed keep its last rules.

use std::collections::HashMap;
use std::collections::HashSet;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::JobPhase;
use crate::QueueRules;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::job_state::objective;
use super::task_ref::JobKey;

impl FleetScheduler {
    /// Replaces the rules of all queues. Live jobs follow the rules of their queue.
    pub fn set_queues(&mut self, queues: Vec<QueueRules>, now: BootTime) {
        let queues: HashMap<Name, QueueRules> =
            queues.into_iter().map(|rules| (rules.queue.clone(), rules)).collect();
        let former = std::mem::replace(&mut self.queues, queues);
        let queues = self.queues.iter();
        let changed: HashSet<Name> = queues
            .filter(|&(queue, rules)| former.get(queue) != Some(rules))
            .map(|(queue, _)| queue.clone())
            .collect();
        if changed.is_empty() {
            return;
        }
        let jobs = self.open_jobs.iter().map(|&(_, _, key)| key);
        let affected: Vec<JobKey> = jobs
            .filter(|&key| changed.contains(&self.jobs[key].record.rules.queue))
            .collect();
        let mut followed: HashMap<Name, usize> = HashMap::new();
        for key in affected {
            if self.follow_queue(key, now) {
                let queue = self.jobs[key].record.rules.queue.clone();
                *followed.entry(queue).or_default() += 1;
            }
        }
        if !followed.is_empty() {
            self.recount_placed_load();
        }
        for (queue, jobs) in followed {
            let service = self.queues[&queue].service.clone();
            self.events.push(SchedulerEvent::QueueChanged { queue, service, jobs });
        }
    }

    /// Returns the rules that hold for a job that was submitted under the given ones.
    pub fn rules_in_force(&self, submitted: QueueRules) -> QueueRules {
        match self.queues.get(&submitted.queue) {
            Some(current) => submitted.followed_by(current),
            None => submitted,
        }
    }

    /// Applies the current rules of a live job's queue to the job, and returns whether any differ.
    fn follow_queue(&mut self, key: JobKey, now: BootTime) -> bool {
        let job = &mut self.jobs[key];
        let former = job.record.rules.clone();
        let Some(current) = self.queues.get(&former.queue) else { return false };
        let rules = former.followed_by(current);
        if rules == former {
            return false;
        }
        job.record.rules = rules.clone();
        if rules.priority != former.priority {
            self.open_jobs.remove(&(former.priority, job.serial, key));
            self.open_jobs.insert((rules.priority, job.serial, key));
        }
        if rules.permission != former.permission {
            self.change_permission(key, &former);
        }
        self.restart_searches(key);
        if rules.max_attempts < former.max_attempts {
            self.fail_if_exhausted(key, now);
        }
        true
    }

    /// Adapts a job to another cost of permissions, or to a queue that begins or ceases to require
    /// them.
    fn change_permission(&mut self, key: JobKey, former: &QueueRules) {
        let forecast = self.forecast(&self.jobs[key].record);
        let job = &mut self.jobs[key];
        job.forecast = forecast;
        job.objective = objective(&job.record);
        let validity = job.record.rules.permission.map(|cost| cost.validity);
        let former_validity = former.permission.map(|cost| cost.validity);
        let tasks = job.units.touched_mut().flat_map(|unit| unit.tasks.touched_mut());
        for placement in tasks.filter_map(|task| task.placement.as_mut()) {
            placement.copies.update_ticket(validity);
        }
        if let Some((former, current)) = former_validity.zip(validity) {
            let shorter = former.saturating_sub(current);
            let units = job.units.touched_mut();
            units.for_each(|unit| unit.permissions.shorten(shorter));
        }
    }

    /// Has all units of a job look for workers again at once, without the reservations that gangs hold
    /// under former rules.
    fn restart_searches(&mut self, key: JobKey) {
        for unit in self.jobs[key].units.touched_numbers() {
            self.release_reservation(key, unit);
            self.call_claims.release(key, unit);
            self.jobs[key].units[unit as usize].restart_search();
        }
    }

    /// Fails a live job with a waiting task or gang that has failed as often as its queue allows by
    /// now. One that still runs may be done.
    fn fail_if_exhausted(&mut self, key: JobKey, now: BootTime) {
        let job = &self.jobs[key];
        let attempts = job.record.rules.attempts();
        let exhausted = job
            .units
            .touched()
            .flat_map(|(_, unit)| unit.tasks.touched())
            .any(|(_, task)| task.is_waiting() && task.failed_runs.len() >= attempts);
        if job.live() && exhausted {
            self.end_job(key, JobPhase::Failed, now);
        }
    }
}
