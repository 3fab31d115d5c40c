//! Restoring a dispatcher after a takeover, and exporting its state as a handover or a snapshot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::JobScheduler;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordTable;
use geraniumwinch_core::SlotAllocator;
use geraniumwinch_core::TeamLedger;
use geraniumwinch_wire::HandoverGrant;
use geraniumwinch_wire::HandoverState;
use geraniumwinch_wire::HeldGrant;
use geraniumwinch_wire::JournalEntry;

use crate::journal::JournalSender;
use crate::node_shared::NodeShared;
use crate::vm_list::DomainVms;
use crate::worker_client::WorkerSender;

use super::Dispatcher;

/// How this process came to own the domain.
#[derive(Debug, Clone)]
pub(crate) enum TakeoverKind {
    /// The domain has never had an owner.
    First,
    /// The former owner's lease expired; the named processes may hold slots that it granted.
    LeaseExpired(BTreeSet<Name>),
    /// The former owner handed over its state.
    Handover(Box<HandoverState>),
}

/// The dependencies and the initial state of a dispatcher.
pub(crate) struct DispatcherInit {
    /// The state shared by the components of the process.
    pub(crate) shared: Arc<NodeShared>,
    /// The epoch of the ownership.
    pub(crate) epoch: u64,
    /// How this process came to own the domain.
    pub(crate) kind: TakeoverKind,
    /// The journal entries of former epochs.
    pub(crate) entries: Vec<JournalEntry>,
    /// The division of the teams' limits.
    pub(crate) allowances: AllowanceTable,
    /// The VM list.
    pub(crate) vms: DomainVms,
    /// The channel to the journal writer.
    pub(crate) journal: JournalSender,
    /// The channel to the worker client.
    pub(crate) worker_client: WorkerSender,
}

impl Dispatcher {
    /// Restores a dispatcher from the journal and, after a planned handover, the handed-over state.
    ///
    /// If the former owner's lease expired, the slot allocator starts in recovery, which ends once
    /// every awaited member has reported its slots, or after the longest request deadline.
    pub(crate) fn restore(init: DispatcherInit) -> Dispatcher {
        let shared = init.shared;
        let now = shared.now();
        let (recovering_until, awaited_members) = match &init.kind {
            TakeoverKind::First | TakeoverKind::Handover(_) => (None, BTreeSet::new()),
            TakeoverKind::LeaseExpired(members) => {
                (Some(now + longest_deadline(&shared)), members.clone())
            }
        };
        let settings = &shared.settings;
        let mut dispatcher = Dispatcher {
            epoch: init.epoch,
            allocator: SlotAllocator::new(init.epoch, recovering_until),
            scheduler: JobScheduler::new(init.epoch, settings.task_lease),
            ledger: TeamLedger::default(),
            records: RecordTable::new(settings.record_capacity, settings.record_window),
            outstanding_grants: HashMap::new(),
            in_flight_keys: HashSet::new(),
            job_keys: HashMap::new(),
            ended_jobs: VecDeque::new(),
            job_serial: 0,
            journal: init.journal,
            pending_entries: BTreeMap::new(),
            journal_serial: 0,
            worker_client: init.worker_client,
            frozen: false,
            last_digest: None,
            awaited_members,
            allowances: init.allowances,
            pending_releases: BTreeMap::new(),
            denied_teams: BTreeMap::new(),
            evacuation: None,
            shared,
        };
        dispatcher.allocator.set_endpoints(&init.vms.endpoints);
        dispatcher.scheduler.set_workers(&init.vms.workers);
        dispatcher.apply_catalog();
        for entry in init.entries {
            dispatcher.apply_entry(entry, now);
        }
        match init.kind {
            TakeoverKind::First => {}
            TakeoverKind::LeaseExpired(_) => {
                dispatcher.records.abandon_intents();
                dispatcher.await_former_starts(now);
            }
            TakeoverKind::Handover(state) => dispatcher.apply_handover(*state, now),
        }
        dispatcher
    }

    /// Lets the scheduler await the starts of an owner that had been silent for a lease at the takeover.
    fn await_former_starts(&mut self, now: Instant) {
        let lease = self.shared.settings.owner_lease;
        let silent_since = now.checked_sub(lease).unwrap_or(now);
        self.scheduler.set_former_owner_silent(silent_since);
    }

    /// Replays a journal entry.
    fn apply_entry(&mut self, entry: JournalEntry, now: Instant) {
        match entry {
            JournalEntry::JobAccepted { job, spec, team, queue, key } => {
                if let Some(key) = key {
                    self.job_keys.insert(key, job.clone());
                }
                let team = self.ledger.key_of(&team);
                self.scheduler.restore(job, spec, team, queue, now);
            }
            JournalEntry::JobCancelled { job } => self.scheduler.restore_cancel(&job),
            JournalEntry::TaskEnded { job, index, end } => {
                self.scheduler.restore_end(&job, index, end);
            }
            JournalEntry::JobEnded { job } => self.ended_jobs.push_back((now, job)),
            JournalEntry::Record { digest, fingerprint, state } => match state {
                Some(state) => self.records.restore(digest, fingerprint, state, now),
                None => self.records.remove(&digest),
            },
        }
    }

    /// Adopts the placements and grants of a planned handover.
    fn apply_handover(&mut self, state: HandoverState, now: Instant) {
        self.scheduler.restore_placements(&state.placements, &mut self.ledger, now);
        for grant in state.grants {
            self.adopt_grant(grant, now);
        }
    }

    /// Stops all decisions and returns the placements and grants for the next owner.
    pub(super) fn freeze(&mut self, record_revision: i64) -> HandoverState {
        self.frozen = true;
        let now = self.shared.now();
        let remaining =
            |deadline: Instant| deadline.saturating_duration_since(now).as_millis();
        let grants = self.outstanding_grants.values().map(|grant| {
            let remaining_ms = remaining(grant.deadline) as u64;
            let held = HeldGrant { remaining_ms, ..grant.held.clone() };
            HandoverGrant { entry: grant.entry.clone(), held, record: grant.record }
        });
        HandoverState {
            domain: self.shared.domain().clone(),
            epoch: self.epoch,
            record_revision,
            placements: self.scheduler.placements(),
            grants: grants.collect(),
        }
    }

    /// Returns the whole persistent state as journal entries.
    pub(super) fn snapshot(&self) -> Vec<JournalEntry> {
        let mut entries = Vec::new();
        let keys: HashMap<_, _> =
            self.job_keys.iter().map(|(key, job)| (job.clone(), *key)).collect();
        for open in self.scheduler.snapshot_jobs() {
            let job = open.id().clone();
            let (team, queue) = open.team_and_queue();
            entries.push(JournalEntry::JobAccepted {
                job: job.clone(),
                spec: open.spec().clone(),
                team: self.ledger.name(team).clone(),
                queue: queue.clone(),
                key: keys.get(&job).copied(),
            });
            if open.cancelled() {
                entries.push(JournalEntry::JobCancelled { job: job.clone() });
            }
            for (index, end) in open.ends() {
                entries.push(JournalEntry::TaskEnded { job: job.clone(), index, end });
            }
            if open.ended() {
                entries.push(JournalEntry::JobEnded { job });
            }
        }
        for (digest, fingerprint, state) in self.records.iter() {
            entries.push(JournalEntry::Record {
                digest: *digest,
                fingerprint: *fingerprint,
                state: Some(state.clone()),
            });
        }
        entries
    }
}

/// Returns the longest time for which a request may hold a slot, with a margin of one second.
pub(crate) fn longest_deadline(shared: &NodeShared) -> Duration {
    let view = shared.catalog.view();
    let deadlines = view.catalog.queues.values().map(|queue| queue.policy.max_deadline);
    deadlines.max().unwrap_or(Duration::ZERO) + Duration::from_secs(1)
}
