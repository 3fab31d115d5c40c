//! A failure domain that this process owns.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix::Actor;
use actix::Addr;
use actix_rt::Arbiter;
use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::OwnerReport;
use geraniumwinch_wire::PeerMessage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::allowance_balancer::AllowanceBalancer;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DispatcherInit;
use crate::dispatcher::TakeoverKind;
use crate::dispatcher::VmsChanged;
use crate::journal::JournalRequest;
use crate::journal::JournalSender;
use crate::journal::JournalWriter;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreWrite;
use crate::shared_lock::lock;
use crate::store_keys;
use crate::vm_list::DomainVms;
use crate::worker_client::WorkerClient;

use super::OwnerRecord;
use super::PlatformPorts;
use super::owner_record::MembersValue;

/// Number of lease periods after which a process that sends no heartbeat is no longer a member.
const MEMBER_TIMEOUT_LEASES: u32 = 3;

/// The state of a domain that a new owner has read.
pub(super) struct RecoveredState {
    /// The journal entries, from the store and from the mirrors of other processes.
    pub(super) entries: Vec<JournalEntry>,
    /// The entries that only other processes mirror so far.
    pub(super) mirrored: Vec<JournalEntry>,
    /// The division of the teams' limits.
    pub(super) allowances: AllowanceTable,
    /// The VM list.
    pub(super) vms: DomainVms,
}

/// A failure domain that this process owns, with the tasks that serve it.
pub(crate) struct OwnedDomain {
    shared: Arc<NodeShared>,
    ports: Rc<PlatformPorts>,
    record: OwnerRecord,
    lease: i64,
    last_renewal: Option<Instant>,
    dispatcher: Addr<Dispatcher>,
    arbiter: Arbiter,
    journal: JournalSender,
    lost: Rc<Cell<bool>>,
    client_loop: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
    members: Vec<Name>,
}

impl OwnedDomain {
    /// Starts the dispatcher, its journal writer and its clients of the platform.
    pub(super) fn start(
        shared: Arc<NodeShared>,
        ports: Rc<PlatformPorts>,
        record: OwnerRecord,
        lease: i64,
        kind: TakeoverKind,
        state: RecoveredState,
    ) -> OwnedDomain {
        let RecoveredState { entries, mirrored, allowances, vms } = state;
        let epoch = record.view.epoch;
        let (journal, journal_requests) = mpsc::unbounded_channel();
        let writer = JournalWriter::new(
            shared.clone(),
            ports.store.clone(),
            epoch,
            record.revision,
            mirrored.len(),
        );
        if !mirrored.is_empty() {
            // Before the dispatcher sends anything: see `JournalWriter::inherited_batches`.
            let done = Box::new(|_| {});
            let first = JournalRequest { entries: mirrored, snapshot: false, done };
            let _ = journal.send(first);
        }
        let (worker_client, client_requests) = mpsc::unbounded_channel();
        let arbiter = Arbiter::new();
        let init = DispatcherInit {
            shared: shared.clone(),
            epoch,
            kind,
            entries,
            allowances,
            vms: vms.clone(),
            journal: journal.clone(),
            worker_client,
        };
        let dispatcher = Dispatcher::start_in_arbiter(&arbiter.handle(), |_| {
            Dispatcher::restore(init)
        });
        let lost = Rc::new(Cell::new(false));
        let lost_flag = lost.clone();
        let journal_loop = actix_rt::spawn(async move {
            if writer.run(journal_requests).await {
                lost_flag.set(true);
            }
        });
        let client_loop = actix_rt::spawn(WorkerClient::run(
            shared.clone(),
            ports.workers.clone(),
            dispatcher.clone(),
            epoch,
            client_requests,
        ));
        let balancer = AllowanceBalancer::new(
            shared.clone(),
            ports.store.clone(),
            dispatcher.clone(),
            record.revision,
        );
        let allowance_loop = actix_rt::spawn(balancer.run());
        let vm_loop = actix_rt::spawn(poll_vm_list(
            shared.clone(),
            ports.clone(),
            dispatcher.clone(),
            vms,
        ));
        OwnedDomain {
            shared,
            ports,
            record,
            lease,
            last_renewal: None,
            dispatcher,
            arbiter,
            journal,
            lost,
            client_loop,
            loops: vec![journal_loop, allowance_loop, vm_loop],
            members: Vec::new(),
        }
    }

    pub(super) fn dispatcher(&self) -> Addr<Dispatcher> {
        self.dispatcher.clone()
    }

    pub(super) fn epoch(&self) -> u64 {
        self.record.view.epoch
    }

    /// Returns the store's revision of the ownership record.
    pub(super) fn record_revision(&self) -> i64 {
        self.record.revision
    }

    /// Renews the lease and updates the list of members; returns whether the domain is still owned.
    pub(super) async fn maintain(&mut self) -> bool {
        if self.lost.get() || !self.dispatcher.connected() {
            return false;
        }
        if self.shared.fence.suspended() && !self.confirm().await {
            return false;
        }
        let now = self.shared.now();
        let period = self.shared.settings.owner_lease / 4;
        let due = self
            .last_renewal
            .is_none_or(|at| now.saturating_duration_since(at) >= period);
        if due {
            self.last_renewal = Some(now);
            if !self.renew().await {
                return false;
            }
        }
        let timeout = self.shared.settings.owner_lease * MEMBER_TIMEOUT_LEASES;
        self.shared.members.remove_silent(timeout, now);
        self.write_members().await;
        true
    }

    /// Renews the lease, or replaces it if it has expired during an outage of the store.
    async fn renew(&mut self) -> bool {
        let renewed = self.ports.store.renew_lease(self.lease).await;
        self.shared.record_store_call(renewed.is_ok());
        match renewed {
            Ok(true) | Err(_) => true,
            Ok(false) => self.replace_lease().await,
        }
    }

    /// Replaces the expired lease if the ownership record is unchanged.
    ///
    /// Returns whether the domain is still owned; calls that fail do not change that.
    async fn replace_lease(&mut self) -> bool {
        let ttl = self.shared.settings.owner_lease;
        let Ok(lease) = self.ports.store.grant_lease(ttl).await else { return true };
        let domain = self.shared.domain();
        let owner = store_keys::owner(domain);
        let condition = StoreCondition::Unchanged(owner, self.record.revision);
        let value = OwnerRecord::encode(
            &self.record.view,
            self.record.change,
            self.record.since_ms,
        );
        let key = store_keys::owner_alive(domain);
        let put = StoreWrite::Put { key, value, lease: Some(lease) };
        match self.ports.store.commit(&[condition], &[put]).await {
            Ok(commit) if commit.succeeded => {
                log_event!(Info, "ownership-lease-replaced", domain = domain);
                self.lease = lease;
                true
            }
            Ok(_) => false,
            Err(_) => true,
        }
    }

    /// Confirms the ownership after this process was paused, through the store or the members.
    ///
    /// Returns whether the domain may still be owned.
    async fn confirm(&self) -> bool {
        let domain = self.shared.domain();
        let record = self.ports.store.get(&store_keys::owner(domain)).await;
        self.shared.record_store_call(record.is_ok());
        match record {
            Ok(record) => {
                let known = record.as_ref().and_then(OwnerRecord::decode);
                if known.is_none_or(|known| known.change != self.record.change) {
                    return false;
                }
                self.resume("store");
                true
            }
            Err(_) => self.confirm_with_members().await,
        }
    }

    /// Confirms the ownership if every other process of the domain names this process as its owner.
    ///
    /// Returns whether the domain may still be owned: `false` if a process follows a higher epoch.
    async fn confirm_with_members(&self) -> bool {
        let members = self.shared.members.list();
        let mut confirmed = !members.is_empty();
        for (_, member) in members {
            let timeout = self.shared.settings.peer_heartbeat;
            let call =
                self.shared.link.call(member.address, PeerMessage::OwnerRequest, timeout);
            match call.await {
                Ok(PeerMessage::OwnerResponse(OwnerReport { owner: Some(owner) })) => {
                    if owner.epoch > self.epoch() {
                        return false;
                    }
                    confirmed &= owner == self.record.view;
                }
                _ => confirmed = false,
            }
        }
        if confirmed {
            self.resume("members");
        }
        true
    }

    /// Ends the suspension of decisions.
    fn resume(&self, by: &str) {
        self.shared.fence.resume(self.epoch(), self.shared.now());
        log_event!(Info, "ownership-confirmed", domain = self.shared.domain(), by = by);
    }

    /// Writes the list of members to the store if it has changed.
    async fn write_members(&mut self) {
        let members = self.shared.members.list();
        let names: Vec<Name> = members.iter().map(|(name, _)| name.clone()).collect();
        if names == self.members {
            return;
        }
        let addresses = members.iter().map(|(_, member)| member.address).collect();
        let value = MembersValue { names: names.clone(), addresses };
        let value = serde_json::to_vec(&value).expect("a list can be written as JSON");
        let domain = self.shared.domain();
        let owner = store_keys::owner(domain);
        let condition = StoreCondition::Unchanged(owner, self.record.revision);
        let put =
            StoreWrite::Put { key: store_keys::members(domain), value, lease: None };
        let commit = self.ports.store.commit(&[condition], &[put]).await;
        self.shared.record_store_call(commit.is_ok());
        if commit.is_ok_and(|commit| commit.succeeded) {
            self.shared.members.mark_recorded(&names);
            self.members = names;
        }
    }

    /// Waits until the journal writer has processed all earlier requests.
    pub(super) async fn flush(&self) {
        let (sender, receiver) = oneshot::channel();
        let done = Box::new(move |_| {
            let _ = sender.send(());
        });
        let request = JournalRequest { entries: Vec::new(), snapshot: false, done };
        if self.journal.send(request).is_ok() {
            let _ = receiver.await;
        }
    }

    /// Sends the workers nothing more, so that no lease is renewed and no task is started after a
    /// successor has taken over the state of the frozen dispatcher.
    pub(super) fn stop_worker_client(&self) {
        self.client_loop.abort();
    }

    /// Closes the fence and stops all tasks that serve the domain.
    pub(super) fn close(self) {
        self.shared.fence.close();
        self.shared.dispatcher.store(None);
        let own = &self.shared.own_digest;
        *lock(own) = None;
        self.shared.members.clear();
        self.stop_worker_client();
        self.loops.iter().for_each(JoinHandle::abort);
        self.arbiter.stop();
        node_metrics::set_owner_epoch(0);
        node_metrics::set_evacuation(None, 0);
    }
}

/// Polls the VM list and sends its changes to the dispatcher.
async fn poll_vm_list(
    shared: Arc<NodeShared>,
    ports: Rc<PlatformPorts>,
    dispatcher: Addr<Dispatcher>,
    first: DomainVms,
) {
    let mut known = first;
    dispatcher.do_send(VmsChanged(known.clone()));
    loop {
        tokio::time::sleep(shared.settings.vm_list_poll).await;
        match ports.vm_list.read(shared.domain()).await {
            Ok(vms) if vms != known => {
                known = vms.clone();
                dispatcher.do_send(VmsChanged(vms));
            }
            Ok(_) => {}
            Err(error) => log_event!(Warn, "vm-list-unread", error = error),
        }
    }
}
