//! Steps that no listed worker could run even if it were empty.
//!
//! Such a step waits until the list of workers or the configuration changes, so operators have to know.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::SchedulerEvent;
use crate::StepPlan;

use super::FleetScheduler;
use super::task_ref::JobKey;

/// The greatest amounts of each resource that workers of a kind list.
type KindCapacity<'a> = HashMap<(&'a Name, Option<&'a Name>), ResourceVector>;

impl FleetScheduler {
    /// Returns the number of due steps with waiting tasks that no listed worker could run, and queues
    /// an event for each that has become one since the last call.
    pub fn update_stranded_steps(&mut self, unix_time: Duration) -> usize {
        let mut found = Vec::new();
        let capacities = self.kind_capacities();
        for &(_, _, key) in &self.open_jobs {
            for unit in self.jobs[key].open_units(unix_time) {
                let due = self.due(key, unit, unix_time);
                let reason = due.then(|| self.stranded_reason(key, unit, &capacities));
                let reason = reason.flatten();
                let former = self.jobs[key].units[unit as usize].is_stranded;
                if former || reason.is_some() {
                    found.push((key, unit, reason));
                }
            }
        }
        let mut stranded = 0;
        for (key, unit, reason) in found {
            let job = &mut self.jobs[key];
            let former = std::mem::replace(
                &mut job.units[unit as usize].is_stranded,
                reason.is_some(),
            );
            let Some(reason) = reason else { continue };
            stranded += 1;
            if !former {
                self.events.push(SchedulerEvent::Stranded {
                    step: job.step_name(unit),
                    queue: job.record.rules.queue.clone(),
                    service: job.record.rules.service.clone(),
                    reason,
                });
            }
        }
        stranded
    }

    /// Returns the capacities of the workers that are listed and take tasks, by service and label, and
    /// by service alone.
    fn kind_capacities(&self) -> KindCapacity<'_> {
        let mut capacities = KindCapacity::new();
        let workers = self.workers.values();
        for state in workers.filter(|state| state.listed && state.info.accepting) {
            let labels = state.info.labels.iter().map(Some);
            for label in labels.chain([None]) {
                let capacity = capacities.entry((&state.info.service, label));
                let capacity = capacity.or_default();
                *capacity = capacity.max(&state.info.capacity);
            }
        }
        capacities
    }

    /// Returns why no worker could run the tasks of a unit, if none could.
    fn stranded_reason(
        &self,
        key: JobKey,
        unit: u32,
        capacities: &KindCapacity<'_>,
    ) -> Option<&'static str> {
        let job = &self.jobs[key];
        let StepPlan { required_label, .. } = job.plan(unit);
        let service = &job.record.rules.service;
        if !capacities.contains_key(&(service, None)) {
            return Some("no-worker-of-service");
        }
        match capacities.get(&(service, required_label.as_ref())) {
            None => Some("no-worker-with-label"),
            Some(capacity) if !job.plan(unit).reserved().fits(capacity) => {
                Some("too-large")
            }
            Some(_) => None,
        }
    }
}
