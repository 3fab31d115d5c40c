//! Taking over a domain by a claim or a handover, and handing it over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::HandoverState;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;
use geraniumwinch_wire::OwnerView;
use geraniumwinch_wire::PeerMessage;
use rand::Rng;

use crate::NodeError;
use crate::Result;
use crate::allowance_balancer::read_allowances;
use crate::dispatcher::FreezeDispatcher;
use crate::dispatcher::ReportedGrants;
use crate::dispatcher::TakeoverKind;
use crate::dispatcher::longest_deadline;
use crate::journal::read_journal;
use crate::node_metrics;
use crate::node_shared::unix_millis;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreWrite;
use crate::publisher::decode_head;
use crate::store_keys;

use super::OwnedDomain;
use super::OwnerRecord;
use super::OwnershipManager;
use super::RecoveredState;
use super::owner_record::MembersValue;

/// Maximum random delay before a claim, which keeps processes from claiming at the same moment.
const CLAIM_JITTER: Duration = Duration::from_millis(100);
/// How long the successor may take to confirm a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Delay before a failed read from the store is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of renewals of the lease per lease period while the state is read.
const RENEWALS_PER_LEASE: u32 = 4;
/// Number of reads that try to find out whether a claim without a response took effect.
const CLAIM_READ_ATTEMPTS: u32 = 20;

impl OwnershipManager {
    /// Claims the domain after its owner's lease expired, or a domain that never had an owner.
    pub(super) async fn claim(&self, former: Option<OwnerRecord>) {
        if self.shared.stopping() {
            return;
        }
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random::<f64>());
        tokio::time::sleep(jitter).await;
        let domain = self.shared.domain();
        let mut conditions =
            vec![StoreCondition::Absent(store_keys::owner_alive(domain))];
        let mut members = BTreeSet::new();
        match &former {
            Some(record) => {
                let key = store_keys::owner(domain);
                conditions.push(StoreCondition::Unchanged(key, record.revision));
                members = match self.read_members().await {
                    Ok(members) => members,
                    // They may hold slots, so the domain is claimed once they are known.
                    Err(error) => {
                        return log_event!(Warn, "members-unread", error = error);
                    }
                };
                members.insert(record.view.name.clone());
            }
            None => conditions.push(StoreCondition::Absent(store_keys::owner(domain))),
        }
        members.remove(&self.shared.link.identity().name);
        let granted_all_slots =
            former.as_ref().is_some_and(|record| self.granted_all_slots(record));
        if granted_all_slots && let Some(record) = &former {
            // The recovery sets aside the slots that the former owner itself may hold, so its
            // report need not be awaited.
            members.remove(&record.view.name);
        }
        let epoch = former.as_ref().map_or(1, |record| record.view.epoch + 1);
        let kind = match former {
            Some(_) => TakeoverKind::LeaseExpired(members),
            None => TakeoverKind::First,
        };
        if let Some((record, lease)) = self.write_claim(conditions, epoch).await {
            let _ = self.start_ownership(record, lease, kind).await;
        }
    }

    /// Returns whether every slot that may still be held was granted by the former owner.
    ///
    /// This is so if it owned the domain for longer than the longest deadline of a request.
    fn granted_all_slots(&self, former: &OwnerRecord) -> bool {
        let owned_ms =
            unix_millis(self.shared.clock.wall()).saturating_sub(former.since_ms);
        Duration::from_millis(owned_ms) > longest_deadline(&self.shared)
    }

    /// Writes the ownership record, and returns it with the lease if the claim took effect.
    async fn write_claim(
        &self,
        conditions: Vec<StoreCondition>,
        epoch: u64,
    ) -> Option<(OwnerRecord, i64)> {
        let domain = self.shared.domain();
        let store = &self.ports.store;
        let lease = store.grant_lease(self.shared.settings.owner_lease).await.ok()?;
        let identity = self.shared.link.identity();
        let view =
            OwnerView { name: identity.name.clone(), address: identity.address, epoch };
        let change = rand::random();
        let since_ms = unix_millis(self.shared.clock.wall());
        let value = OwnerRecord::encode(&view, change, since_ms);
        let owner = store_keys::owner(domain);
        let alive = store_keys::owner_alive(domain);
        let writes = [
            StoreWrite::Put { key: owner.clone(), value: value.clone(), lease: None },
            StoreWrite::Put { key: alive, value, lease: Some(lease) },
        ];
        let commit = store.commit(&conditions, &writes).await;
        self.shared.record_store_call(commit.is_ok());
        match commit {
            Ok(commit) if commit.succeeded => {
                let revision = commit.revision;
                return Some((OwnerRecord { view, change, since_ms, revision }, lease));
            }
            Ok(_) => {}
            Err(_) => {
                // The response was lost: the change identifier shows whether the claim took effect.
                for _ in 0..CLAIM_READ_ATTEMPTS {
                    let Ok(record) = store.get(&owner).await else {
                        tokio::time::sleep(READ_RETRY_DELAY).await;
                        continue;
                    };
                    let record = record.as_ref().and_then(OwnerRecord::decode);
                    if let Some(record) = record.filter(|record| record.change == change)
                    {
                        return Some((record, lease));
                    }
                    break;
                }
            }
        }
        log_event!(Info, "ownership-claim-failed", domain = domain, epoch = epoch);
        let _ = store.revoke_lease(lease).await;
        None
    }

    /// Reads the names of the domain's processes from the store.
    async fn read_members(&self) -> Result<BTreeSet<Name>> {
        Ok(self.read_members_record().await?.names.into_iter().collect())
    }

    /// Reads the processes of the domain from the store; there are none before the first record.
    async fn read_members_record(&self) -> Result<MembersValue> {
        let key = store_keys::members(self.shared.domain());
        let Some(record) = self.ports.store.get(&key).await? else {
            return Ok(MembersValue::default());
        };
        Ok(serde_json::from_slice(&record.value).unwrap_or_else(|error| {
            // No later read helps, and a domain without an owner would serve nothing.
            log_event!(Error, "members-unreadable", key = key, error = error);
            MembersValue::default()
        }))
    }

    /// Opens the fence, recovers the domain's state and starts its dispatcher.
    ///
    /// Returns whether the domain is still owned once its state is recovered.
    async fn start_ownership(
        &self,
        record: OwnerRecord,
        lease: i64,
        kind: TakeoverKind,
    ) -> bool {
        let shared = &self.shared;
        let epoch = record.view.epoch;
        let started = shared.now();
        shared.members.clear();
        shared.committed_sequence.store(0, Ordering::Relaxed);
        shared.fence.open(epoch, started);
        let state = tokio::select! {
            recovered = self.recover(&kind) => recovered,
            () = self.renew_until_lost(lease) => {
                log_event!(Warn, "takeover-abandoned", domain = shared.domain(), epoch = epoch);
                shared.fence.close();
                return false;
            }
        };
        let owned = OwnedDomain::start(
            shared.clone(),
            self.ports.clone(),
            record.clone(),
            lease,
            kind,
            state,
        );
        let dispatcher = owned.dispatcher();
        let held = shared.held_slots.granted_by(shared.domain(), shared.now());
        dispatcher.do_send(ReportedGrants { from: shared.link.identity().clone(), held });
        shared.dispatcher.store(Some(std::sync::Arc::new(dispatcher)));
        shared.set_owner(record.view.clone(), shared.now());
        *self.owned.borrow_mut() = Some(owned);
        node_metrics::count_takeover(epoch);
        self.announce_ownership(&record.view).await;
        log_event!(
            Info,
            "ownership-taken",
            domain = shared.domain(),
            epoch = epoch,
            took_ms = (shared.now() - started).as_millis(),
        );
        true
    }

    /// Reads the state of the domain.
    async fn recover(&self, kind: &TakeoverKind) -> RecoveredState {
        let mut entries = self.read_journal().await;
        let mirrored = self.read_mirrored(kind).await;
        log_event!(
            Info,
            "journal-read",
            domain = self.shared.domain(),
            entries = entries.len(),
            mirrored = mirrored.len(),
        );
        entries.extend(mirrored.iter().cloned());
        let allowances = self.read_allowances().await;
        self.read_evacuations().await;
        let vms = self.ports.vm_list.read(self.shared.domain()).await;
        let vms = vms.unwrap_or_default();
        RecoveredState { entries, mirrored, allowances, vms }
    }

    /// Renews the lease of a takeover until the store no longer has it.
    async fn renew_until_lost(&self, lease: i64) {
        loop {
            tokio::time::sleep(self.shared.settings.owner_lease / RENEWALS_PER_LEASE)
                .await;
            let renewed = self.ports.store.renew_lease(lease).await;
            self.shared.record_store_call(renewed.is_ok());
            if matches!(renewed, Ok(false)) {
                return;
            }
        }
    }

    /// Reads the division of the teams' limits, retrying failed reads.
    async fn read_allowances(&self) -> AllowanceTable {
        loop {
            match read_allowances(self.ports.store.as_ref()).await {
                Ok((table, _)) => return table,
                Err(error) => {
                    log_event!(Warn, "allowances-unread", error = error);
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the evacuated domains, retrying failed reads, so that nothing starts without them.
    async fn read_evacuations(&self) {
        loop {
            let record = self.ports.store.get(store_keys::CONFIG_HEAD).await;
            let head =
                record.and_then(|record| record.as_ref().map(decode_head).transpose());
            match head {
                Ok(Some(head)) => {
                    return self.shared.evacuations.apply(head.revision, head.evacuated);
                }
                Ok(None) => return,
                // No later read helps, and a domain without an owner would serve nothing.
                Err(error @ NodeError::StoredValue { .. }) => {
                    return log_event!(Error, "evacuations-unreadable", error = error);
                }
                Err(error) => {
                    log_event!(Warn, "evacuations-unread", error = error);
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Announces the new owner to the other processes of the domain.
    async fn announce_ownership(&self, view: &OwnerView) {
        // A process that misses the announcement finds the owner in the store.
        for address in self.member_addresses().await.unwrap_or_default() {
            self.shared.link.send(address, PeerMessage::Announce(view.clone()));
        }
    }

    /// Reads the journal from the store, retrying failed reads.
    async fn read_journal(&self) -> Vec<JournalEntry> {
        loop {
            match read_journal(self.ports.store.as_ref(), self.shared.domain()).await {
                Ok(entries) => return entries,
                Err(error) => {
                    log_event!(Warn, "journal-unread", error = error);
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the entries that this and the other processes of the domain mirror, in order.
    async fn read_mirrored(&self, kind: &TakeoverKind) -> Vec<JournalEntry> {
        let patience = match kind {
            TakeoverKind::LeaseExpired(_) => self.shared.settings.owner_lease,
            // The former owner lives, and the store answers: only what it has not written yet is mirrored.
            TakeoverKind::First | TakeoverKind::Handover(_) => Duration::ZERO,
        };
        let addresses = self.read_member_addresses().await.into_iter();
        let calls = addresses.map(|address| self.request_mirrored(address, patience));
        let responses = join_all(calls).await;
        // Several processes mirror the same batches.
        let batches: BTreeMap<(u64, u64), Vec<JournalEntry>> = responses
            .into_iter()
            .chain([self.shared.mirror.batches()])
            .flatten()
            .map(|batch| ((batch.epoch, batch.sequence), batch.entries))
            .collect();
        batches.into_values().flatten().collect()
    }

    /// Asks a process for the entries that it mirrors, page by page and again and again until it has been
    /// silent for `patience`.
    async fn request_mirrored(
        &self,
        address: SocketAddr,
        patience: Duration,
    ) -> Vec<MirrorBatch> {
        let timeout = self.shared.settings.peer_heartbeat * 2;
        let mut batches: Vec<MirrorBatch> = Vec::new();
        let mut heard = self.shared.now();
        loop {
            let after = batches.last().map(|batch| (batch.epoch, batch.sequence));
            let request = PeerMessage::MirrorRequest { after };
            match self.shared.link.call(address, request, timeout).await {
                Ok(PeerMessage::MirrorResponse(page)) if page.is_empty() => {
                    return batches;
                }
                Ok(PeerMessage::MirrorResponse(page)) => {
                    batches.extend(page);
                    heard = self.shared.now();
                }
                _ if self.shared.now().saturating_duration_since(heard) >= patience => {
                    log_event!(Error, "mirror-unread", peer = address);
                    return batches;
                }
                _ => {}
            }
        }
    }

    /// Returns the peer addresses of the domain's other processes, retrying failed reads.
    async fn read_member_addresses(&self) -> Vec<SocketAddr> {
        loop {
            match self.member_addresses().await {
                Ok(addresses) => return addresses,
                Err(error) => {
                    log_event!(Warn, "members-unread", error = error);
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the peer addresses of the domain's other processes.
    async fn member_addresses(&self) -> Result<Vec<SocketAddr>> {
        let own = self.shared.link.identity().address;
        let addresses = self.read_members_record().await?.addresses;
        Ok(addresses.into_iter().filter(|address| *address != own).collect())
    }

    /// Takes over the domain from its owner, which has frozen its dispatcher.
    ///
    /// Returns whether it took effect.
    pub(super) async fn accept_handover(&self, state: HandoverState) -> bool {
        if self.owns() || self.shared.stopping() {
            return false;
        }
        let owner = store_keys::owner(self.shared.domain());
        let condition = StoreCondition::Unchanged(owner, state.record_revision);
        let epoch = state.epoch + 1;
        match self.write_claim(vec![condition], epoch).await {
            Some((record, lease)) => {
                let kind = TakeoverKind::Handover(Box::new(state));
                self.start_ownership(record, lease, kind).await
            }
            None => false,
        }
    }

    /// Hands the domain over to another of its processes, if there is one.
    pub(super) async fn hand_over(&self) {
        let owned = self.owned.borrow_mut().take();
        let Some(owned) = owned else { return };
        let Some((successor_name, successor)) = self.shared.members.successor() else {
            *self.owned.borrow_mut() = Some(owned);
            return;
        };
        let freeze = FreezeDispatcher { record_revision: owned.record_revision() };
        let Ok(state) = owned.dispatcher().send(freeze).await else {
            self.step_down(owned);
            return;
        };
        owned.stop_worker_client();
        owned.flush().await;
        let message = PeerMessage::Handover(Box::new(state));
        let response =
            self.shared.link.call(successor.address, message, HANDOVER_TIMEOUT).await;
        let taken = matches!(response, Ok(PeerMessage::Done));
        log_event!(
            Info,
            "ownership-handed-over",
            domain = self.shared.domain(),
            epoch = owned.epoch(),
            taken = taken,
        );
        // If the response was lost, the successor may own the domain, so this process steps down.
        let epoch = owned.epoch() + 1;
        self.step_down(owned);
        if taken {
            let view =
                OwnerView { name: successor_name, address: successor.address, epoch };
            self.shared.set_owner(view, self.shared.now());
        }
    }
}
