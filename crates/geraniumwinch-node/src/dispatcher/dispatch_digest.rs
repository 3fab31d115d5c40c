//! The dispatcher's digests for other domains and its status reports for operators.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_wire::DomainDigest;
use geraniumwinch_wire::OwnerView;
use geraniumwinch_wire::QueueLoad;
use geraniumwinch_wire::StatusReport;
use geraniumwinch_wire::TeamRow;

use crate::node_metrics;
use crate::shared_lock::lock;

use super::Dispatcher;

/// Interval between two digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Publishes a new digest and the team gauges, if the digest period has passed.
    pub(super) fn refresh_digest(&mut self, now: Instant) {
        let recent =
            |created: Instant| now.saturating_duration_since(created) < DIGEST_PERIOD;
        if self.last_digest.is_some_and(recent) {
            return;
        }
        self.last_digest = Some(now);
        let digest = self.digest(now);
        for (team, policy, usage) in self.ledger.iter() {
            node_metrics::set_team_usage(team, usage.running, policy.allowance);
        }
        self.refresh_evacuation_metrics();
        let own = &self.shared.own_digest;
        *lock(own) = Some(digest);
    }

    /// Builds the digest that is sent to other domains.
    fn digest(&self, now: Instant) -> DomainDigest {
        let recovering = self.allocator.recovering_until(now).is_some();
        let load =
            self.allocator.queue_load().map(|(queue, free, slots, waiting)| QueueLoad {
                queue: queue.clone(),
                free: if recovering { 0 } else { free },
                slots,
                waiting: waiting as u32,
            });
        let identity = self.shared.link.identity();
        DomainDigest {
            domain: identity.domain.clone(),
            owner: OwnerView {
                name: identity.name.clone(),
                address: identity.address,
                epoch: self.epoch,
            },
            revision: self.shared.catalog.view().revision,
            store_down: self.shared.store_down.load(Ordering::Relaxed),
            fresh_age_ms: None,
            denied_teams: self.denied_teams.keys().cloned().collect(),
            queues: load.collect(),
        }
    }

    /// Builds the status report for operators.
    pub(super) fn status(&self, now: Instant) -> StatusReport {
        let total = self.scheduler.workers().total();
        let teams = self.ledger.iter().map(|(team, policy, usage)| TeamRow {
            team: team.clone(),
            weight: policy.weight,
            running: usage.running,
            allowance: policy.allowance,
            share: usage.booked.dominant_share(&total),
        });
        let workers = || self.scheduler.workers().iter().map(|(_, state)| state);
        let listed = workers().filter(|state| state.listed).count();
        let usable = workers().filter(|state| state.takes_work(now)).count();
        let quarantined = workers()
            .filter(|state| state.quarantined_until.is_some_and(|until| until > now))
            .map(|state| state.spec.name.clone());
        let (jobs, waiting, placed) = self.scheduler.counts();
        let mut digest = self.digest(now);
        let fresh = self.shared.catalog.fresh_age(now);
        digest.fresh_age_ms = fresh.map(|age| age.as_millis() as u64);
        StatusReport {
            digest,
            teams: teams.collect(),
            members: self.shared.members.rows(now),
            workers: usable as u32,
            workers_out: (listed - usable) as u32,
            quarantined: quarantined.collect(),
            jobs: jobs as u32,
            tasks_waiting: waiting as u32,
            tasks_placed: placed as u32,
            grants: self.allocator.active_grants() as u32,
            records: self.records.len() as u32,
        }
    }
}
