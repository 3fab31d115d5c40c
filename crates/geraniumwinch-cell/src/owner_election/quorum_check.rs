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

/// The timeout for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum number of processes that are probed in a failure domain.
const MAX_PROBES_PER_DOMAIN: usize = 2;

/// The combined responses of the probed processes.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuorumCheck {
    /// Whether processes of more than half of the failure domains have responded.
    pub(super) domain_majority: bool,
    /// Whether any of them has recently received a response from the owner.
    pub(super) owner_seen: bool,
}

impl OwnerElection {
    /// Returns whether neither this process nor its peers have recently received a response from
    /// the owner.
    pub(super) async fn is_owner_silent(&self, owner: &OwnerRecord) -> bool {
        let (epoch, _) = self.last_owner_contact.get();
        epoch == owner.epoch
            && !self.owner_seen(epoch)
            && self.confirm_owner_down(owner).await
    }

    /// Returns whether a majority of the failure domains is reachable and none of the probed
    /// processes has recently received a response from the owner.
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

    /// Queries peers in each failure domain whether they have recently received a response from
    /// the owner of an epoch.
    pub(super) async fn probe_peers(&self, epoch: u64) -> QuorumCheck {
        let others = self.peers_to_probe();
        let mut known: BTreeSet<Name> = BTreeSet::from([self.settings.domain.clone()]);
        known.extend(others.iter().map(|member| member.domain.clone()));
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
