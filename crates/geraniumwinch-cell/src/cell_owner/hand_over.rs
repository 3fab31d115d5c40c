//! Hand-overs of the ownership to a process that is better placed.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::log_event;
use rand::seq::IndexedRandom;

use crate::authority::OwnerAuthority;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

use super::CellOwner;
use super::HELLO_TIMEOUT;
use super::RESIGNED_WAIT;

/// The most processes that are probed for another owner.
const HAND_OVER_MOST: usize = 4;
/// The time in which they have to answer.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(350);

impl CellOwner {
    /// Hands the ownership over to a process that the store answers, if there is one.
    pub(super) async fn hand_over(&self, authority: &OwnerAuthority) -> bool {
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

    /// Hands the ownership over to a process on a much larger VM, if there is one that the store
    /// answers.
    pub(super) async fn yield_to_larger(&self, authority: &OwnerAuthority) -> bool {
        let Some(active) = self.active() else { return false };
        let live = active.members.borrow().live(self.ports.clock.now());
        let larger = live.iter().filter(|note| self.size.is_much_smaller_than(note.size));
        let Some(heir) = larger.max_by_key(|note| note.size) else { return false };
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
}
