//! Synchronizes the configuration with the store and with peers, and exchanges domain digests.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_config::ConfigHead;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::DomainDigest;
use geraniumwinch_wire::OwnerReport;
use geraniumwinch_wire::PeerMessage;

use crate::NodeError;
use crate::Result;
use crate::dispatcher::CatalogChanged;
use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::publisher::decode_head;
use crate::shared_lock::lock;
use crate::store_keys;

/// Maximum number of deltas that are read one by one; beyond it, the whole set is read.
const MAX_DELTAS: u64 = 16;

/// Reads new revisions of the configuration from the store.
pub(crate) struct ConfigSync {
    shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
}

impl ConfigSync {
    /// Creates a synchronizer for a process.
    pub(crate) fn new(shared: Arc<NodeShared>, store: Rc<dyn PlatformStore>) -> Self {
        ConfigSync { shared, store }
    }

    /// Polls the store for new revisions until the process ends.
    ///
    /// Only the owner of a domain polls; other processes learn of revisions from their owner, and
    /// poll only while they have no live one.
    pub(crate) async fn poll_store(self) {
        loop {
            let owns_domain = self.shared.fence.epoch().is_some();
            if owns_domain || self.shared.live_owner().is_none() {
                if let Err(error) = self.read_head().await {
                    log_event!(Debug, "configuration-unread", error = error);
                }
                if owns_domain {
                    self.infer_freshness();
                }
            }
            tokio::time::sleep(self.shared.settings.config_poll).await;
        }
    }

    /// Reads the head and, if it is newer, applies its revision.
    async fn read_head(&self) -> Result<()> {
        let sent = self.shared.now();
        let head = self.store.get(store_keys::CONFIG_HEAD).await;
        self.shared.record_store_call(head.is_ok());
        let Some(head) = head?.as_ref().map(decode_head).transpose()? else {
            self.shared.catalog.confirm(sent);
            return Ok(());
        };
        self.shared.evacuations.apply(head.revision, head.evacuated.clone());
        let current = self.shared.catalog.view().revision;
        if head.revision > current {
            if !self.read_deltas(current, &head).await? {
                self.read_full_set().await?;
            }
            self.notify_dispatcher();
        }
        if self.shared.catalog.view().revision >= head.revision {
            self.shared.catalog.confirm(sent);
        }
        Ok(())
    }

    /// Applies the deltas up to the head; returns whether they led to the head's digest.
    async fn read_deltas(&self, current: u64, head: &ConfigHead) -> Result<bool> {
        if current == 0 || head.revision - current > MAX_DELTAS {
            return Ok(false);
        }
        let mut set = self.shared.catalog.view().set.clone();
        for revision in current + 1..=head.revision {
            let key = store_keys::config_delta(revision);
            let Some(record) = self.store.get(&key).await? else { return Ok(false) };
            let Ok(delta) = serde_json::from_slice::<SetDelta>(&record.value) else {
                return Ok(false);
            };
            delta.apply(&mut set);
        }
        if set.digest() != head.digest {
            return Ok(false);
        }
        Ok(self.shared.catalog.apply(head.revision, set))
    }

    /// Reads the whole set and applies it.
    async fn read_full_set(&self) -> Result<()> {
        let Some(head) = self.store.get(store_keys::CONFIG_HEAD).await? else {
            return Ok(());
        };
        let head = decode_head(&head)?;
        let Some(record) = self.store.get(store_keys::CONFIG_CURRENT).await? else {
            return Ok(());
        };
        let text = String::from_utf8_lossy(&record.value);
        let set = ConfigurationSet::parse(store_keys::CONFIG_CURRENT, &text);
        match set {
            Ok(set) if set.digest() == head.digest => {
                self.shared.catalog.apply(head.revision, set);
                Ok(())
            }
            // The head changed between the two reads; the next poll will read a matching pair.
            _ => Err(NodeError::StoredValue {
                key: store_keys::CONFIG_CURRENT.to_owned(),
                message: "the set does not match the digest in the head".to_owned(),
            }),
        }
    }

    /// Notifies the dispatcher of a new revision.
    fn notify_dispatcher(&self) {
        notify_dispatcher(&self.shared);
    }

    /// Confirms the revision in force during a store outage.
    ///
    /// While the store is down for the owners of all domains and none of them has a newer revision,
    /// no new one can have been published.
    fn infer_freshness(&self) {
        let shared = &self.shared;
        if !shared.store_down.load(Ordering::Relaxed) {
            return;
        }
        let revision = shared.catalog.view().revision;
        let mut known_at = shared.now();
        for domain in shared.settings.domain_names() {
            if domain == *shared.domain() {
                continue;
            }
            let Some(row) = shared.domains.get(&domain) else { return };
            if !row.digest.store_down || row.digest.revision > revision {
                return;
            }
            known_at = known_at.min(row.created_at);
        }
        shared.catalog.confirm(known_at);
    }
}

/// Logs a new revision and notifies the dispatcher of this process, if there is one.
pub(crate) fn notify_dispatcher(shared: &NodeShared) {
    let revision = shared.catalog.view().revision;
    log_event!(Info, "configuration-applied", revision = revision);
    if let Some(dispatcher) = shared.dispatcher.load_full() {
        dispatcher.do_send(CatalogChanged);
    }
}

/// Exchanges digests with other domains as an owner, or fetches new revisions from the owner.
///
/// Runs until the process ends.
pub(crate) async fn sync_with_peers(shared: Arc<NodeShared>) {
    let mut exchanged: Option<Instant> = None;
    loop {
        tokio::time::sleep(shared.settings.peer_heartbeat).await;
        let now = shared.now();
        if shared.fence.epoch().is_some() {
            let period = shared.settings.digest_period;
            if exchanged.is_none_or(|at| now.saturating_duration_since(at) >= period) {
                exchanged = Some(now);
                exchange_digests(&shared).await;
            }
        } else if let Some(owner) = shared.live_owner()
            && shared.announced_revision.load(Ordering::Relaxed)
                > shared.catalog.view().revision
        {
            fetch_configuration(&shared, owner.address).await;
        }
        shared.link.close_idle(shared.now());
    }
}

/// Fetches a newer configuration from a peer, if it has one.
async fn fetch_configuration(shared: &NodeShared, peer: std::net::SocketAddr) {
    let revision = shared.catalog.view().revision;
    let message = PeerMessage::ConfigRequest { revision };
    let timeout = shared.settings.peer_heartbeat * 2;
    let response = shared.link.call(peer, message, timeout).await;
    let Ok(PeerMessage::ConfigResponse { revision, digest, update }) = response else {
        return;
    };
    if shared.catalog.apply_update(revision, &digest, update) {
        notify_dispatcher(shared);
    }
}

/// Fetches the evacuations that a peer knows, which is the owner of another domain.
async fn fetch_evacuations(shared: &NodeShared, peer: std::net::SocketAddr) {
    let timeout = shared.settings.peer_heartbeat * 2;
    let response = shared.link.call(peer, PeerMessage::EvacuationRequest, timeout).await;
    if let Ok(PeerMessage::EvacuationResponse(report)) = response {
        shared.evacuations.apply(report.revision, report.evacuated);
    }
}

/// Exchanges digests with the owners of the other domains.
async fn exchange_digests(shared: &Arc<NodeShared>) {
    let own = &shared.own_digest;
    let digest = lock(own).clone();
    let Some(mut digest) = digest else { return };
    fill_freshness(shared, &mut digest);
    let others = shared.settings.domain_names();
    let calls = others
        .into_iter()
        .filter(|domain| domain != shared.domain())
        .map(|domain| exchange_with(shared, domain, digest.clone()));
    futures_util::future::join_all(calls).await;
}

/// Updates the fields of a digest that depend on the store and the configuration in force.
pub(crate) fn fill_freshness(shared: &NodeShared, digest: &mut DomainDigest) {
    digest.store_down = shared.store_down.load(Ordering::Relaxed);
    digest.revision = shared.catalog.view().revision;
    let age = shared.catalog.fresh_age(shared.now());
    digest.fresh_age_ms = age.map(|age| age.as_millis() as u64);
}

/// Exchanges digests with the owner of a domain, by its known address or through its seeds.
async fn exchange_with(shared: &Arc<NodeShared>, domain: Name, digest: DomainDigest) {
    let timeout = shared.settings.peer_heartbeat * 2;
    let known = shared.domains.get(&domain).map(|row| row.digest.owner.address);
    let seeds = shared.settings.seeds_of(&domain).to_vec();
    for address in known.into_iter().chain(seeds) {
        let sent = shared.now();
        let message = PeerMessage::Digest(Box::new(digest.clone()));
        match shared.link.call(address, message, timeout).await {
            Ok(PeerMessage::Digest(theirs)) => {
                apply_digest(shared, *theirs, sent, address).await;
                return;
            }
            Ok(PeerMessage::NotOwner(OwnerReport { owner: Some(owner) })) => {
                let message = PeerMessage::Digest(Box::new(digest.clone()));
                let sent = shared.now();
                let response = shared.link.call(owner.address, message, timeout).await;
                if let Ok(PeerMessage::Digest(theirs)) = response {
                    apply_digest(shared, *theirs, sent, owner.address).await;
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Applies a digest whose call was sent at `sent`, and fetches a newer configuration if it has one.
async fn apply_digest(
    shared: &Arc<NodeShared>,
    digest: DomainDigest,
    sent: Instant,
    address: std::net::SocketAddr,
) {
    let revision = shared.catalog.view().revision;
    if digest.revision > revision {
        fetch_configuration(shared, address).await;
    }
    if digest.revision > shared.evacuations.view().0 {
        fetch_evacuations(shared, address).await;
    }
    if let Some(age_ms) = digest.fresh_age_ms
        && digest.revision == shared.catalog.view().revision
        && let Some(at) = sent.checked_sub(Duration::from_millis(age_ms))
    {
        shared.catalog.confirm(at);
    }
    shared.domains.update(digest, sent, shared.now());
}
