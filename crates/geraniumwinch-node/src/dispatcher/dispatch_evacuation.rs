//! The evacuation of the dispatcher's domain.

use std::time::Instant;

use geraniumwinch_core::log_event;
use geraniumwinch_wire::DomainDrain;
use geraniumwinch_wire::EvacuationReport;

use crate::node_metrics;

use super::Dispatcher;

impl Dispatcher {
    /// Puts the newest known request about the domain in force.
    ///
    /// What waits for a slot is refused, so that its entry process can turn to other domains.
    pub(super) fn apply_evacuation(&mut self, now: Instant) {
        let (revision, evacuations) = self.shared.evacuations.view();
        let evacuation = evacuations.get(self.shared.domain());
        if evacuation == self.evacuation {
            return;
        }
        self.evacuation = evacuation;
        let evacuated = evacuation.is_some();
        self.scheduler.set_evacuated(evacuated, &mut self.ledger);
        let refused = self.allocator.set_evacuated(evacuated);
        let drain = self.drain(now);
        log_event!(
            Info,
            "domain-evacuation",
            domain = self.shared.domain(),
            evacuated = evacuated,
            epoch = self.epoch,
            revision = revision,
            since_ms = evacuation.map_or(0, |evacuation| evacuation.since_ms),
            running_tasks = drain.tasks + drain.unlocated_tasks,
            running_requests = drain.requests,
            refused_requests = refused.len(),
        );
        refused.into_iter().for_each(|outcome| self.complete_request(outcome, now));
        self.refresh_evacuation_metrics();
    }

    /// Sets the gauges about the evacuation of the domain.
    pub(super) fn refresh_evacuation_metrics(&self) {
        let since_ms = self.evacuation.map(|evacuation| evacuation.since_ms);
        let waiting = if since_ms.is_some() { self.scheduler.counts().1 } else { 0 };
        node_metrics::set_evacuation(since_ms, waiting);
    }

    /// Reports the evacuations in force and the work that is left in the domain.
    pub(super) fn evacuation_report(&self, now: Instant) -> EvacuationReport {
        let (revision, evacuations) = self.shared.evacuations.view();
        EvacuationReport {
            revision,
            evacuated: (*evacuations).clone(),
            drain: self.drain(now),
        }
    }

    /// Counts the work that is left in the domain.
    fn drain(&self, now: Instant) -> DomainDrain {
        let (_, waiting, placed) = self.scheduler.counts();
        DomainDrain {
            tasks: placed as u32,
            unlocated_tasks: self.scheduler.unlocated_tasks() as u32,
            requests: self.allocator.active_grants() as u32,
            unreported_requests: self.allocator.may_miss_grants(now),
            waiting_tasks: waiting as u32,
        }
    }
}
