//! Checks with processes of other failure domains whether the owner is up.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::Name;
use rand::seq::SliceRandom;

use crate::owner_record::OwnerRecord;
use crate::peer_message::MemberInfo;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

use super::OwnerElection;

/// How much longer than a heartbeat a probe may take, since the peer may have to send one.
const PROBE_MARGIN: Duration = Duration::from_millis(100);
/// The maximum number of processes that are probed in a failure domain.
const MAX_PROBES_PER_DOMAIN: usize = 2;

/// The combined responses of the probed processes.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuorumCheck {
    /// Whether processes of more than half of the failure domains have responded.
    pub(super) domain_majority: bool,
    /// Whether the owner responds to any of them.
    pub(super) owner_seen: bool,
}

impl OwnerElection {
    /// Returns whether the owner, which this process has just missed, responds to none of its peers
    /// either.
    pub(super) async fn is_owner_silent(&self, owner: &OwnerRecord) -> bool {
        let epoch = self.contact.borrow().epoch();
        epoch == owner.epoch && self.confirm_owner_down(owner).await
    }

    /// Returns whether a majority of the failure domains is reachable and the owner responds to none of
    /// the probed processes.
    pub(super) async fn confirm_owner_down(&self, owner: &OwnerRecord) -> bool {
        let check = self.probe_peers(owner.epoch).await;
        check.domain_majority && !check.owner_seen
    }

    /// Returns a random selection of peers in each failure domain, without the owner.
    fn peers_to_probe(&self) -> Vec<MemberInfo> {
        let owner = self.watch.current().map(|owner| owner.address);
        let mut others = self.members.borrow().all();
        others.retain(|other| {
            other.address != self.settings.peer_address && Some(other.address) != owner
        });
        others.shuffle(&mut rand::rng());
        let mut chosen: Vec<MemberInfo> = Vec::new();
        for other in others {
            let same =
                chosen.iter().filter(|member| member.domain == other.domain).count();
            if same < MAX_PROBES_PER_DOMAIN {
                chosen.push(other);
            }
        }
        chosen
    }

    /// Queries peers in each failure domain whether the owner of an epoch responds to them.
    pub(super) async fn probe_peers(&self, epoch: u64) -> QuorumCheck {
        let others = self.peers_to_probe();
        let mut known: BTreeSet<Name> = BTreeSet::from([self.settings.domain.clone()]);
        known.extend(others.iter().map(|member| member.domain.clone()));
        let request = PeerRequest::OwnerSeen(epoch);
        let contact = self.contact.borrow().clone();
        let timeout = contact.timeout(contact.epoch()) + PROBE_MARGIN;
        let calls = others.into_iter().map(|other| {
            let (peers, request) = (&self.peers, &request);
            async move {
                match peers.call(other.address, request, timeout).await {
                    Ok(PeerReply::OwnerSeen(seen)) => Some((other.domain, seen)),
                    _ => None,
                }
            }
        });
        let replies: Vec<(Name, bool)> =
            join_all(calls).await.into_iter().flatten().collect();
        let mut reached = BTreeSet::from([self.settings.domain.clone()]);
        reached.extend(replies.iter().map(|(domain, _)| domain.clone()));
        QuorumCheck {
            domain_majority: reached.len() * 2 > known.len(),
            owner_seen: replies.iter().any(|&(_, seen)| seen),
        }
    }
}
