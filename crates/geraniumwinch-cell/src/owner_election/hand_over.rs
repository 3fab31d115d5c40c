//! Handover of the ownership to a process that reaches the store or runs on a much larger VM.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::log_event;
use rand::seq::IndexedRandom;

use crate::owner_authority::OwnerAuthority;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

use super::CLAIM_COOLDOWN;
use super::OwnerElection;
use super::PEER_TIMEOUT;

/// The maximum number of processes that are probed as successors.
const MAX_HANDOVER_PROBES: usize = 4;
/// The timeout for their responses.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(350);

impl OwnerElection {
    /// Hands the ownership over to a process that reaches the store, if there is one.
    pub(super) async fn hand_over(&self, authority: &OwnerAuthority) -> bool {
        let Some(dispatcher) = self.dispatcher() else { return false };
        let now = self.ports.clock.now();
        let live = dispatcher.members.borrow().live(now);
        let others: Vec<SocketAddr> = live.iter().map(|member| member.address).collect();
        let probed =
            others.choose_multiple(&mut rand::rng(), MAX_HANDOVER_PROBES).copied();
        let calls = probed.map(|other| async move {
            let probe = PeerRequest::ProbeStore;
            let reply = self.peers.call(other, &probe, HANDOVER_TIMEOUT).await;
            matches!(reply, Ok(PeerReply::StoreReachable(true))).then_some(other)
        });
        let Some(successor) = join_all(calls).await.into_iter().flatten().next() else {
            return false;
        };
        if self.try_renew(authority).await {
            return false;
        }
        self.transfer_to(authority, successor, "store").await;
        true
    }

    /// Tries to renew the ownership once more and returns whether it succeeded: the store may be
    /// reachable for all processes again.
    async fn try_renew(&self, authority: &OwnerAuthority) -> bool {
        let sent = self.ports.clock.now();
        let renewal = self.ports.store.renew_lease(authority.lease);
        let renewed = tokio::time::timeout(HANDOVER_TIMEOUT, renewal).await;
        let renewed = matches!(renewed, Ok(Ok(true)));
        if renewed {
            authority.renew(sent);
        }
        renewed
    }

    /// Hands the ownership over to a process on a much larger VM that reaches the store, if there
    /// is one.
    pub(super) async fn yield_to_larger_vm(&self, authority: &OwnerAuthority) -> bool {
        let Some(dispatcher) = self.dispatcher() else { return false };
        let live = dispatcher.members.borrow().live(self.ports.clock.now());
        let larger =
            live.iter().filter(|member| self.size.is_much_smaller_than(member.size));
        let Some(successor) = larger.max_by_key(|member| member.size) else {
            return false;
        };
        let probe = PeerRequest::ProbeStore;
        let reply = self.peers.call(successor.address, &probe, HANDOVER_TIMEOUT).await;
        if !matches!(reply, Ok(PeerReply::StoreReachable(true))) {
            return false;
        }
        self.claim_not_before.set(self.ports.clock.now() + CLAIM_COOLDOWN);
        self.transfer_to(authority, successor.address, "larger").await;
        true
    }

    /// Ends the ownership locally and has the successor revoke its lease.
    async fn transfer_to(
        &self,
        authority: &OwnerAuthority,
        successor: SocketAddr,
        reason: &str,
    ) {
        log_event!(
            Warn,
            "ownership-handed-over",
            epoch = authority.epoch,
            to = successor,
            reason = reason
        );
        authority.mark_lost();
        let revocation = PeerRequest::RevokeOwnership(authority.epoch, authority.lease);
        if let Err(error) = self.peers.call(successor, &revocation, PEER_TIMEOUT).await {
            log_event!(Warn, "hand-over-failed", error = error);
        }
    }
}
