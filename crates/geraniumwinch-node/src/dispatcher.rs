//! The dispatcher, which makes all scheduling decisions of one failure domain.

mod dispatch_allowances;
mod dispatch_digest;
mod dispatch_evacuation;
mod dispatch_jobs;
mod dispatch_slots;
mod dispatch_workers;
mod dispatcher_messages;
mod dispatcher_restore;
mod journal_requests;

pub(crate) use self::dispatcher_messages::AllowancesRead;
pub(crate) use self::dispatcher_messages::CatalogChanged;
pub(crate) use self::dispatcher_messages::FreezeDispatcher;
pub(crate) use self::dispatcher_messages::PeerCall;
pub(crate) use self::dispatcher_messages::ReleaseAllowance;
pub(crate) use self::dispatcher_messages::ReportedGrants;
pub(crate) use self::dispatcher_messages::TakeSnapshot;
pub(crate) use self::dispatcher_messages::VmsChanged;
pub(crate) use self::dispatcher_messages::WorkerEvent;
pub(crate) use self::dispatcher_restore::DispatcherInit;
pub(crate) use self::dispatcher_restore::TakeoverKind;
pub(crate) use self::dispatcher_restore::longest_deadline;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use geraniumwinch_config::EvacuatedDomain;
use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantTicket;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobScheduler;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::RecordTable;
use geraniumwinch_core::SlotAllocator;
use geraniumwinch_core::TeamLedger;
use geraniumwinch_core::TeamPolicy;
use geraniumwinch_wire::HeldGrant;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::PeerName;
use geraniumwinch_wire::RecordKey;

use crate::journal::JournalSender;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::worker_client::WorkerSender;

use self::journal_requests::PendingEntries;

/// Interval between two runs of the periodic work, such as expiring grants and records.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// How long a job can be queried after its end.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(600);

/// What is needed to respond to a slot request once its wait ends.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    from: PeerIdentity,
    correlation: u128,
    queue: Name,
    team: Option<Name>,
    deadline: Instant,
    record: Option<RecordKey>,
    received: Instant,
}

/// A granted slot that has not been released yet.
#[derive(Debug, Clone)]
struct OutstandingGrant {
    entry: PeerName,
    held: HeldGrant,
    record: Option<RecordKey>,
    deadline: Instant,
}

/// Schedules one failure domain during one ownership epoch.
pub(crate) struct Dispatcher {
    shared: Arc<NodeShared>,
    epoch: u64,
    allocator: SlotAllocator<RequestContext>,
    scheduler: JobScheduler,
    ledger: TeamLedger,
    records: RecordTable,
    outstanding_grants: HashMap<GrantTicket, OutstandingGrant>,
    /// Idempotency keys of requests that wait for a slot and of jobs that are being journaled.
    in_flight_keys: HashSet<RecordDigest>,
    /// Accepted jobs by idempotency key.
    job_keys: HashMap<RecordDigest, JobId>,
    ended_jobs: VecDeque<(Instant, JobId)>,
    job_serial: u64,
    journal: JournalSender,
    pending_entries: BTreeMap<u64, PendingEntries>,
    journal_serial: u64,
    worker_client: WorkerSender,
    /// Whether a handover has stopped all decisions.
    frozen: bool,
    last_digest: Option<Instant>,
    /// Processes that must report their held slots before the recovery ends.
    awaited_members: BTreeSet<Name>,
    allowances: AllowanceTable,
    /// Allowances released for transfers that no read of the store has settled yet.
    pending_releases: BTreeMap<Name, u32>,
    /// Teams that were limited by their allowance recently, with the latest time.
    denied_teams: BTreeMap<Name, Instant>,
    /// The evacuation of the domain that is in force.
    evacuation: Option<EvacuatedDomain>,
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_PERIOD, |dispatcher, _| dispatcher.tick());
        self.apply_catalog();
        self.refresh_digest(self.shared.now());
    }
}

impl Dispatcher {
    /// Returns whether the dispatcher may decide: it is not frozen and still owns its epoch.
    fn may_decide(&self) -> bool {
        !self.frozen && self.shared.fence.allows(self.epoch, self.shared.now())
    }

    /// Runs the periodic work.
    fn tick(&mut self) {
        let now = self.shared.now();
        if !self.may_decide() {
            return;
        }
        let started = now;
        for ticket in self.allocator.expire(&mut self.ledger, now) {
            self.expire_grant(ticket, now);
        }
        self.records.expire(now);
        self.scheduler.tick(&mut self.ledger, now);
        self.evict_ended_jobs(now);
        self.decide();
        self.record_denied_teams(now);
        self.refresh_digest(now);
        node_metrics::record_decision(self.shared.now() - started);
    }

    /// Grants slots to waiting requests and places waiting tasks on workers.
    fn decide(&mut self) {
        if !self.may_decide() {
            return;
        }
        let now = self.shared.now();
        self.apply_evacuation(now);
        let outcomes = self.allocator.allocate(&mut self.ledger, now);
        outcomes.into_iter().for_each(|outcome| self.complete_request(outcome, now));
        self.scheduler.place(&mut self.ledger, now);
        self.run_commands();
    }

    /// Applies the configuration in force.
    fn apply_catalog(&mut self) {
        let view = self.shared.catalog.view();
        let domains = self.shared.settings.domain_names();
        let mut policies = BTreeMap::new();
        for (name, team) in &view.catalog.teams {
            let own = self.shared.domain();
            let part = self.allowances.part(name, team.limit, &domains, own);
            let allowance = part
                .saturating_sub(self.pending_releases.get(name).copied().unwrap_or(0));
            policies.insert(name.clone(), TeamPolicy { weight: team.weight, allowance });
        }
        self.ledger.set_policies(&policies);
        let queues = view.catalog.queues.iter();
        let queues =
            queues.map(|(name, queue)| (name.clone(), queue.policy.clone())).collect();
        let outcomes = self.allocator.set_queues(&queues);
        let now = self.shared.now();
        outcomes.into_iter().for_each(|outcome| self.complete_request(outcome, now));
    }

    /// Sends the response to a peer's call.
    fn respond(&self, to: &PeerIdentity, correlation: u128, body: PeerMessage) {
        self.shared.link.respond(to.address, correlation, body);
    }

    /// Refuses a call because this process may not make decisions at present.
    fn refuse_unowned(&self, call: &PeerCall) {
        let body = crate::peer_router::refusal_for(&call.body, ErrorKind::DomainUnowned);
        if let Some(body) = body {
            self.respond(&call.from, call.correlation, body);
        }
    }
}
