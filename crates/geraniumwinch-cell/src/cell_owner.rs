//! Takes the ownership of the cell when it is free, and keeps in touch with the owner otherwise.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::CallError;
use crate::CellPorts;
use crate::CellSettings;
use crate::CommitOutcome;
use crate::authority::OwnerAuthority;
use crate::catalog_watch::CatalogWatch;
use crate::cell_dispatcher::CellDispatcher;
use crate::cell_metrics;
use crate::member_table::MemberTable;
use crate::owner_record::EPOCH_KEY;
use crate::owner_record::EpochRecord;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::OwnerRecord;
use crate::owner_record::claim_batch;
use crate::owner_watch::OwnerWatch;
use crate::peer_message::MemberNote;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;

/// The time after which an ownership that is not renewed ends.
pub(crate) const OWNER_TTL: Duration = Duration::from_millis(3000);
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_millis(700);
/// The wait before a failed renewal is repeated.
const RENEWAL_RETRY: Duration = Duration::from_millis(120);
/// The age of the last renewal from which another owner is looked for.
const HAND_OVER_AGE: Duration = Duration::from_millis(1000);
/// The most processes that are probed for another owner.
const HAND_OVER_MOST: usize = 4;
/// The time in which they have to answer.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(350);
/// The time between two words to the owner.
const HELLO: Duration = Duration::from_millis(400);
/// The time in which the owner has to answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// The wait after the owner was not reached.
const HELLO_RETRY: Duration = Duration::from_millis(80);
/// How old the owner's last answer may be for it to count as seen.
const SEEN_AGE: Duration = Duration::from_millis(1000);
/// How old the store's word that nobody owns the cell may be.
const VACANCY_AGE: Duration = Duration::from_millis(3500);
/// The longest wait for the answer to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest random wait before a claim.
const CLAIM_JITTER: Duration = Duration::from_millis(40);
/// The wait before a claim, times what the inverse of the VM's share of a core exceeds that of
/// [`FULL_SHARE`] by, so that larger VMs claim first.
const SMALL_VM_WAIT: Duration = Duration::from_millis(25);
/// The longest such wait.
const SMALL_VM_WAIT_MAX: Duration = Duration::from_millis(250);
/// How many times larger than this one a VM is that is let claim, or own, instead.
const OUTSIZED_FACTOR: u32 = 2;
/// The least wait before a claim if the last owner's VM was that much larger: others like it may
/// be about to start.
const LARGER_VM_WAIT: Duration = Duration::from_millis(1500);
/// The share of a core with which a VM waits for none.
const FULL_SHARE: f64 = 0.5;
/// The wait of a process that reaches few others, so that a better placed one claims first.
const CUT_OFF_WAIT: Duration = Duration::from_millis(900);
/// The time in which peers have to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// The most processes of a failure domain that are probed.
const PROBES_PER_DOMAIN: usize = 2;
/// The time at the begin of an ownership in which silent processes are not held against it.
const SETTLING: Duration = Duration::from_millis(3000);
/// The fewest known processes among which a majority means anything.
const QUORUM_MIN: usize = 3;
/// The time after a resignation in which a process does not claim.
const RESIGNED_WAIT: Duration = Duration::from_millis(3000);

/// What processes of the failure domains have answered.
#[derive(Debug, Clone, Copy)]
struct DomainSurvey {
    /// Whether processes of more than half of the failure domains have answered.
    most_domains: bool,
    /// Whether any of them has heard from the owner lately.
    owner_seen: bool,
}

/// Owns the cell or follows the owner.
pub(crate) struct CellOwner {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    catalog: Rc<CatalogWatch>,
    pub(crate) watch: Rc<OwnerWatch>,
    peers: PeerClient,
    /// The number that tells this process from a former one of the same name.
    pub(crate) process: u64,
    active: RefCell<Option<Rc<CellDispatcher>>>,
    members: RefCell<MemberTable>,
    /// The epoch of the owner that answered last, and when.
    seen: Cell<(u64, BootTime)>,
    no_claim_before: Cell<BootTime>,
    stopping: Cell<bool>,
}

impl CellOwner {
    /// Creates the part that owns the cell or follows the owner.
    pub(crate) fn new(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        catalog: Rc<CatalogWatch>,
        watch: Rc<OwnerWatch>,
        peers: PeerClient,
    ) -> Rc<Self> {
        Rc::new(CellOwner {
            ports,
            settings,
            catalog,
            watch,
            peers,
            process: rand::rng().random(),
            active: RefCell::new(None),
            members: RefCell::default(),
            seen: Cell::new((0, BootTime::ZERO)),
            no_claim_before: Cell::new(BootTime::ZERO),
            stopping: Cell::new(false),
        })
    }

    /// Returns the dispatcher if this process owns the cell.
    pub(crate) fn active(&self) -> Option<Rc<CellDispatcher>> {
        self.active.borrow().clone()
    }

    /// Returns whether the owner has answered within a time, or is this process.
    pub(crate) fn in_touch(&self, age: Duration) -> bool {
        let now = self.ports.clock.now();
        self.active.borrow().is_some() || now < self.seen.get().1 + age
    }

    /// Returns whether the owner of an epoch has answered lately.
    pub(crate) fn owner_seen(&self, epoch: u64) -> bool {
        let (seen_epoch, at) = self.seen.get();
        seen_epoch >= epoch && self.ports.clock.now() < at + SEEN_AGE
    }

    /// Hands the ownership over and claims no other.
    pub(crate) async fn stop(&self) {
        self.stopping.set(true);
        if let Some(active) = self.active() {
            active.resign().await;
        } else if let Some(owner) = self.watch.current() {
            let hello = PeerRequest::Hello(self.note());
            // The owner forgets a silent process anyway.
            let _ = self.peers.call(owner.address, &hello, HELLO_TIMEOUT).await;
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            match self.watch.current() {
                Some(owner) if owner.process == self.process => {
                    self.watch.await_change(HELLO).await;
                }
                Some(owner) => self.follow(&owner).await,
                None if self.may_claim() => self.claim().await,
                None => self.watch.await_change(HELLO_RETRY).await,
            }
        }
    }

    /// Returns whether this process may claim the ownership now.
    fn may_claim(&self) -> bool {
        let now = self.ports.clock.now();
        !self.stopping.get()
            && now >= self.no_claim_before.get()
            && self.watch.vacant(VACANCY_AGE)
    }

    /// Returns the share of a core that this VM has, in thousandths.
    fn cpu_millis(&self) -> u32 {
        (self.settings.cpu_share * 1000.0) as u32
    }

    /// Returns what this process says of itself.
    fn note(&self) -> MemberNote {
        MemberNote {
            name: self.settings.name.clone(),
            address: self.settings.peers,
            domain: self.settings.domain.clone(),
            version: self.catalog.version(),
            cpu_millis: self.cpu_millis(),
            stopping: self.stopping.get(),
        }
    }

    /// Tells the owner that this process is alive and draws conclusions from the answer.
    async fn follow(&self, owner: &OwnerRecord) {
        if owner.name == self.settings.name && !self.stopping.get() {
            // The record is of a former process at this place, which is gone.
            self.depose(owner, "restart").await;
            return;
        }
        let hello = PeerRequest::Hello(self.note());
        let sent = self.ports.clock.now();
        match self.peers.call(owner.address, &hello, HELLO_TIMEOUT).await {
            Ok(PeerReply::Hello(epoch, version, members)) => {
                self.seen.set((epoch, sent));
                self.members.borrow_mut().replace(members, sent);
                if version > self.catalog.version() {
                    self.fetch_catalog(owner.address).await;
                }
                self.watch.await_change(HELLO).await;
            }
            Err(CallError::NotSent { .. }) => {
                if !self.stopping.get() && self.confirm_gone(owner).await {
                    self.depose(owner, "refused").await;
                } else {
                    self.watch.await_change(HELLO_RETRY).await;
                }
            }
            Err(_) if !self.stopping.get() && self.silent_owner(owner).await => {
                self.depose(owner, "silent").await;
            }
            _ => self.watch.await_change(HELLO_RETRY).await,
        }
    }

    /// Returns whether neither this process nor others have heard from the owner for a while.
    async fn silent_owner(&self, owner: &OwnerRecord) -> bool {
        let (epoch, _) = self.seen.get();
        epoch == owner.epoch && !self.owner_seen(epoch) && self.confirm_gone(owner).await
    }

    /// Takes a newer configuration over from a peer.
    async fn fetch_catalog(&self, from: SocketAddr) {
        let call = self.peers.call(from, &PeerRequest::Catalog, HELLO_TIMEOUT);
        if let Ok(PeerReply::Catalog(Some(bytes))) = call.await {
            self.catalog.offer(&bytes, "peer");
        }
    }

    /// Returns whether the processes of most failure domains answer and have not heard from the
    /// owner either.
    async fn confirm_gone(&self, owner: &OwnerRecord) -> bool {
        let survey = self.survey(owner.epoch).await;
        survey.most_domains && !survey.owner_seen
    }

    /// Returns a few other processes of each failure domain.
    fn others(&self) -> Vec<MemberNote> {
        let owner = self.watch.current().map(|owner| owner.address);
        let mut others = self.members.borrow().all();
        others.retain(|other| {
            other.address != self.settings.peers && Some(other.address) != owner
        });
        others.shuffle(&mut rand::rng());
        let mut chosen: Vec<MemberNote> = Vec::new();
        for other in others {
            let same = chosen.iter().filter(|note| note.domain == other.domain).count();
            if same < PROBES_PER_DOMAIN {
                chosen.push(other);
            }
        }
        chosen
    }

    /// Asks a few processes of each failure domain whether they have heard from the owner.
    async fn survey(&self, epoch: u64) -> DomainSurvey {
        let others = self.others();
        let mut known: BTreeSet<Name> = BTreeSet::from([self.settings.domain.clone()]);
        known.extend(others.iter().map(|note| note.domain.clone()));
        let request = PeerRequest::OwnerSeen(epoch);
        let calls = others.into_iter().map(|other| {
            let (peers, request) = (&self.peers, &request);
            async move {
                match peers.call(other.address, request, PROBE_TIMEOUT).await {
                    Ok(PeerReply::OwnerSeen(seen)) => Some((other.domain, seen)),
                    _ => None,
                }
            }
        });
        let answers: Vec<(Name, bool)> =
            join_all(calls).await.into_iter().flatten().collect();
        let mut reached = BTreeSet::from([self.settings.domain.clone()]);
        reached.extend(answers.iter().map(|(domain, _)| domain.clone()));
        DomainSurvey {
            most_domains: reached.len() * 2 > known.len(),
            owner_seen: answers.iter().any(|&(_, seen)| seen),
        }
    }

    /// Ends the lease of an owner whose process is gone.
    async fn depose(&self, owner: &OwnerRecord, reason: &str) {
        self.end_lease(owner.epoch, owner.lease, reason).await;
        self.watch.await_change(HELLO_RETRY).await;
    }

    /// Ends the lease of the owner of an epoch and returns whether the store has done so.
    pub(crate) async fn end_lease(&self, epoch: u64, lease: u64, reason: &str) -> bool {
        log_event!(Warn, "owner-deposed", epoch = epoch, reason = reason);
        let result = self.ports.store.end_lease(lease).await;
        if let Err(error) = &result {
            log_event!(Warn, "lease-end-failed", error = error);
        }
        result.is_ok()
    }

    /// Returns whether the store answers this process now.
    pub(crate) async fn store_answers(&self) -> bool {
        self.ports.store.get(EPOCH_KEY).await.is_ok()
    }

    /// Hands the ownership over to a process that the store answers, if there is one.
    async fn hand_over(&self, authority: &OwnerAuthority) -> bool {
        let Some(active) = self.active() else { return false };
        let now = self.ports.clock.now();
        let live = active.members.borrow().live(now);
        let others: Vec<SocketAddr> = live.iter().map(|note| note.address).collect();
        let probed = others.choose_multiple(&mut rand::rng(), HAND_OVER_MOST).copied();
        let calls = probed.map(|other| async move {
            let probe = PeerRequest::ProbeStore;
            let answer = self.peers.call(other, &probe, HAND_OVER_TIMEOUT).await;
            matches!(answer, Ok(PeerReply::StoreUp(true))).then_some(other)
        });
        let Some(heir) = join_all(calls).await.into_iter().flatten().next() else {
            return false;
        };
        if self.renews(authority).await {
            return false;
        }
        self.hand_to(authority, heir, "store").await;
        true
    }

    /// Hands the ownership over to a process on a much larger VM, if there is one that the store
    /// answers.
    async fn yield_to_larger(&self, authority: &OwnerAuthority) -> bool {
        let Some(active) = self.active() else { return false };
        let live = active.members.borrow().live(self.ports.clock.now());
        let larger = live.iter().filter(|note| self.is_outsized(note.cpu_millis));
        let Some(heir) = larger.max_by_key(|note| note.cpu_millis) else { return false };
        let probe = PeerRequest::ProbeStore;
        let answer = self.peers.call(heir.address, &probe, HAND_OVER_TIMEOUT).await;
        if !matches!(answer, Ok(PeerReply::StoreUp(true))) {
            return false;
        }
        self.no_claim_before.set(self.ports.clock.now() + RESIGNED_WAIT);
        self.hand_to(authority, heir.address, "larger").await;
        true
    }

    /// Ends the ownership here and has another process end its lease.
    async fn hand_to(&self, authority: &OwnerAuthority, heir: SocketAddr, reason: &str) {
        log_event!(
            Warn,
            "ownership-handed-over",
            epoch = authority.epoch,
            to = heir,
            reason = reason
        );
        authority.lose();
        let depose = PeerRequest::Depose(authority.epoch, authority.lease);
        if let Err(error) = self.peers.call(heir, &depose, HELLO_TIMEOUT).await {
            log_event!(Warn, "hand-over-failed", error = error);
        }
    }

    /// Returns whether the store, which answers another process, renews the ownership as well: it
    /// may have come back for all.
    async fn renews(&self, authority: &OwnerAuthority) -> bool {
        let sent = self.ports.clock.now();
        let renewal = self.ports.store.renew_lease(authority.lease);
        let renewed = tokio::time::timeout(HAND_OVER_TIMEOUT, renewal).await;
        let renewed = matches!(renewed, Ok(Ok(true)));
        if renewed {
            authority.renew(sent);
        }
        renewed
    }

    /// Claims the ownership and, if it is won, dispatches until it ends.
    async fn claim(self: &Rc<Self>) {
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random());
        let wait = self.size_wait().await;
        self.watch.await_change(wait + jitter).await;
        if !self.survey(0).await.most_domains {
            self.watch.await_change(CUT_OFF_WAIT).await;
        }
        if !self.may_claim() {
            return;
        }
        match self.try_claim().await {
            Ok(Some((authority, revision))) => self.dispatch(authority, revision).await,
            Ok(None) => self.watch.await_change(HELLO).await,
            Err(error) => {
                log_event!(Warn, "claim-failed", error = error);
                self.watch.await_change(HELLO_RETRY).await;
            }
        }
    }

    /// Returns how long this process lets those on larger VMs claim first.
    async fn size_wait(&self) -> Duration {
        let share = self.settings.cpu_share.max(0.01);
        let lacking = (1.0 / share - 1.0 / FULL_SHARE).max(0.0);
        let wait = SMALL_VM_WAIT.mul_f64(lacking).min(SMALL_VM_WAIT_MAX);
        // Without an answer the claim fails anyway.
        let last = self.ports.store.get(EPOCH_KEY).await.ok().flatten();
        let last = last.and_then(|item| EpochRecord::decode(&item.value));
        let larger = last.is_some_and(|last| self.is_outsized(last.cpu_millis));
        if larger { wait.max(LARGER_VM_WAIT) } else { wait }
    }

    /// Returns whether a VM with a share of a core is much larger than this one.
    fn is_outsized(&self, cpu_millis: u32) -> bool {
        cpu_millis > self.cpu_millis() * OUTSIZED_FACTOR
    }

    /// Writes the record of a new ownership; nothing if another process was faster.
    async fn try_claim(&self) -> crate::Result<Option<(OwnerAuthority, u64)>> {
        let store = &self.ports.store;
        let sent = self.ports.clock.now();
        let lease = store.grant_lease(OWNER_TTL).await?;
        let last = store.get(EPOCH_KEY).await?;
        let (last_epoch, epoch_revision) = match &last {
            Some(item) => (read_epoch(item)?, item.revision),
            None => (0, 0),
        };
        let record = OwnerRecord {
            epoch: last_epoch + 1,
            name: self.settings.name.clone(),
            process: self.process,
            address: self.settings.peers,
            cpu_millis: self.cpu_millis(),
            lease,
        };
        let outcome =
            store.commit(&claim_batch(&record, epoch_revision), CLAIM_TIMEOUT).await;
        let revision = match outcome {
            Ok(CommitOutcome::Committed(revision)) => Some(revision),
            Ok(_) => None,
            Err(error) if error.without_effect() => return Err(error),
            Err(_) => self.find_claim(&record).await?,
        };
        if revision.is_none() {
            // Without a record the lease only takes room until it ends by itself.
            let _ = store.end_lease(lease).await;
        }
        let authority = || OwnerAuthority::new(record.epoch, lease, OWNER_TTL, sent);
        Ok(revision.map(|revision| (authority(), revision)))
    }

    /// Finds out whether a claim without an answer was carried out.
    async fn find_claim(&self, record: &OwnerRecord) -> crate::Result<Option<u64>> {
        let item = self.ports.store.get(OWNER_KEY).await?;
        let ours = |item: &crate::StoreItem| {
            OwnerRecord::decode(&item.value).as_ref() == Some(record)
        };
        Ok(item.filter(ours).map(|item| item.revision))
    }

    /// Dispatches until the ownership ends.
    async fn dispatch(self: &Rc<Self>, authority: OwnerAuthority, revision: u64) {
        let authority = Rc::new(authority);
        cell_metrics::count_ownership("taken", authority.epoch);
        log_event!(Info, "ownership-taken", epoch = authority.epoch, revision = revision);
        let keeping = actix_rt::spawn(Rc::clone(self).keep(Rc::clone(&authority)));
        let dispatcher = CellDispatcher::take_over(
            self.ports.clone(),
            Rc::clone(&self.settings),
            Rc::clone(&self.catalog),
            self.peers.clone(),
            Rc::clone(&authority),
            revision,
        )
        .await;
        if let Some(dispatcher) = dispatcher {
            *self.active.borrow_mut() = Some(Rc::clone(&dispatcher));
            dispatcher.run().await;
            *self.active.borrow_mut() = None;
        }
        authority.lose();
        keeping.abort();
        cell_metrics::count_ownership("ended", 0);
        log_event!(Info, "ownership-ended", epoch = authority.epoch);
        // A record that is left ends with its lease.
        let _ = self.ports.store.end_lease(authority.lease).await;
        let now = self.ports.clock.now();
        self.no_claim_before.set(self.no_claim_before.get().max(now + HELLO_RETRY));
    }

    /// Renews the ownership until it ends.
    async fn keep(self: Rc<Self>, authority: Rc<OwnerAuthority>) {
        let began = self.ports.clock.now();
        while !authority.is_lost() {
            let sent = self.ports.clock.now();
            let pause = match self.ports.store.renew_lease(authority.lease).await {
                Ok(true) => {
                    authority.renew(sent);
                    RENEWAL
                }
                Ok(false) => {
                    log_event!(
                        Warn,
                        "ownership-lost",
                        epoch = authority.epoch,
                        by = "lease"
                    );
                    authority.lose();
                    return;
                }
                Err(error) => {
                    log_event!(
                        Warn,
                        "renewal-failed",
                        epoch = authority.epoch,
                        error = error
                    );
                    if authority.age(self.ports.clock.now()) > HAND_OVER_AGE
                        && self.hand_over(&authority).await
                    {
                        return;
                    }
                    RENEWAL_RETRY
                }
            };
            if sent > began + SETTLING && self.yield_to_larger(&authority).await {
                return;
            }
            if sent > began + SETTLING && self.is_cut_off(sent) {
                log_event!(Warn, "owner-cut-off", epoch = authority.epoch);
                self.no_claim_before.set(sent + RESIGNED_WAIT);
                if let Some(active) = self.active() {
                    active.resign().await;
                }
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns whether the owner hears from fewer than half of the processes that it knows.
    fn is_cut_off(&self, now: BootTime) -> bool {
        let Some(active) = self.active() else { return false };
        let members = active.members.borrow();
        let known = members.all().len();
        known >= QUORUM_MIN && (members.live(now).len() + 1) * 2 < known + 1
    }
}

/// Reads the number of the last epoch: without it, a new owner's orders could bear an older one's.
fn read_epoch(item: &crate::StoreItem) -> crate::Result<u64> {
    let record = EpochRecord::decode(&item.value);
    let message = || format!("{} has {} bytes", item.key, item.value.len());
    let epoch = record.map(|record| record.epoch);
    epoch.ok_or_else(|| CallError::Unreadable { message: message() })
}
