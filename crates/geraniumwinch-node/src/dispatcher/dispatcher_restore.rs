//! The state that a dispatcher begins and ends with.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::GrantDesk;
use geraniumwinch_core::Name;
use geraniumwinch_core::PlacementBoard;
use geraniumwinch_core::RecordTable;
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

/// How the ownership of the domain came about.
#[derive(Debug, Clone)]
pub(crate) enum TakeoverKind {
    /// The domain has never had an owner.
    First,
    /// The former owner is gone; the processes named may hold slots that it granted.
    Lapse(BTreeSet<Name>),
    /// The former owner has handed its state over.
    Handover(Box<HandoverState>),
}

/// What a dispatcher begins with.
pub(crate) struct DispatcherInit {
    /// What the parts of the process share.
    pub(crate) shared: Arc<NodeShared>,
    /// The epoch of the ownership.
    pub(crate) epoch: u64,
    /// How the ownership came about.
    pub(crate) kind: TakeoverKind,
    /// The journal of former epochs.
    pub(crate) entries: Vec<JournalEntry>,
    /// The division of the teams' limits.
    pub(crate) allowances: AllowanceTable,
    /// The VM list.
    pub(crate) vms: DomainVms,
    /// The way to the journal.
    pub(crate) journal: JournalSender,
    /// The way to the workers.
    pub(crate) worker_client: WorkerSender,
}

impl Dispatcher {
    /// Creates a dispatcher from the journal and what is known of the former owner's decisions.
    pub(crate) fn restore(init: DispatcherInit) -> Dispatcher {
        let shared = init.shared;
        let now = shared.now();
        let (recovering_until, awaited) = match &init.kind {
            TakeoverKind::First | TakeoverKind::Handover(_) => (None, BTreeSet::new()),
            TakeoverKind::Lapse(members) => {
                (Some(now + longest_deadline(&shared)), members.clone())
            }
        };
        let settings = &shared.settings;
        let mut dispatcher = Dispatcher {
            epoch: init.epoch,
            desk: GrantDesk::new(init.epoch, recovering_until),
            board: PlacementBoard::new(init.epoch, settings.task_lease),
            ledger: TeamLedger::default(),
            records: RecordTable::new(settings.record_capacity, settings.record_window),
            grant_notes: HashMap::new(),
            claimed: HashSet::new(),
            job_keys: HashMap::new(),
            ended_jobs: VecDeque::new(),
            job_serial: 0,
            journal: init.journal,
            pending_entries: BTreeMap::new(),
            journal_serial: 0,
            worker_client: init.worker_client,
            frozen: false,
            digest_made: None,
            awaited,
            allowances: init.allowances,
            pending_releases: BTreeMap::new(),
            wishes: BTreeMap::new(),
            shared,
        };
        dispatcher.desk.set_endpoints(&init.vms.endpoints);
        dispatcher.board.set_workers(&init.vms.workers);
        dispatcher.apply_catalog();
        for entry in init.entries {
            dispatcher.apply_entry(entry, now);
        }
        match init.kind {
            TakeoverKind::First => {}
            TakeoverKind::Lapse(_) => dispatcher.records.abandon_intents(),
            TakeoverKind::Handover(state) => dispatcher.take_handover(*state, now),
        }
        dispatcher
    }

    /// Applies an entry of the journal.
    fn apply_entry(&mut self, entry: JournalEntry, now: Instant) {
        match entry {
            JournalEntry::JobAccepted { job, spec, team, queue, key } => {
                if let Some(key) = key {
                    self.job_keys.insert(key, job.clone());
                }
                let team = self.ledger.key_of(&team);
                self.board.restore(job, spec, team, queue, now);
            }
            JournalEntry::JobCancelled { job } => self.board.restore_cancel(&job),
            JournalEntry::TaskEnded { job, index, end } => {
                self.board.restore_end(&job, index, end);
            }
            JournalEntry::JobEnded { job } => self.ended_jobs.push_back((now, job)),
            JournalEntry::Record { digest, fingerprint, state } => match state {
                Some(state) => self.records.restore(digest, fingerprint, state, now),
                None => self.records.remove(&digest),
            },
        }
    }

    /// Takes over the decisions of a planned handover.
    fn take_handover(&mut self, state: HandoverState, now: Instant) {
        self.board.restore_placements(&state.placements, &mut self.ledger, now);
        for grant in state.grants {
            self.adopt_grant(grant, now);
        }
    }

    /// Stops deciding and describes the decisions for the next owner.
    pub(super) fn freeze(&mut self, record_revision: i64) -> HandoverState {
        self.frozen = true;
        let now = self.shared.now();
        let remaining =
            |closes: Instant| closes.saturating_duration_since(now).as_millis();
        let grants = self.grant_notes.values().map(|note| {
            let remaining_ms = remaining(note.closes) as u64;
            let held = HeldGrant { remaining_ms, ..note.held.clone() };
            HandoverGrant { entry: note.entry.clone(), held, record: note.record }
        });
        HandoverState {
            domain: self.shared.domain().clone(),
            epoch: self.epoch,
            record_revision,
            placements: self.board.placements(),
            grants: grants.collect(),
        }
    }

    /// Describes the state as journal entries.
    pub(super) fn snapshot(&self) -> Vec<JournalEntry> {
        let mut entries = Vec::new();
        let keys: HashMap<_, _> =
            self.job_keys.iter().map(|(key, job)| (job.clone(), *key)).collect();
        for open in self.board.kept_jobs() {
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

/// Returns the longest time for which a request may hold a slot.
pub(crate) fn longest_deadline(shared: &NodeShared) -> Duration {
    let view = shared.catalog.view();
    let deadlines = view.catalog.queues.values().map(|queue| queue.policy.max_deadline);
    deadlines.max().unwrap_or(Duration::ZERO) + Duration::from_secs(1)
}
