//! What processes of the other failure domains have heard from the owner.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use geraniumwinch_core::Name;
use rand::seq::SliceRandom;

use crate::owner_record::OwnerRecord;
use crate::peer_message::MemberNote;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

use super::CellOwner;

/// The time in which peers have to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// The most processes of a failure domain that are probed.
const PROBES_PER_DOMAIN: usize = 2;

/// What processes of the failure domains have answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct DomainSurvey {
    /// Whether processes of more than half of the failure domains have answered.
    pub(super) most_domains: bool,
    /// Whether any of them has heard from the owner lately.
    pub(super) owner_seen: bool,
}

impl CellOwner {
    /// Returns whether neither this process nor others have heard from the owner for a while.
    pub(super) async fn silent_owner(&self, owner: &OwnerRecord) -> bool {
        let (epoch, _) = self.seen.get();
        epoch == owner.epoch && !self.owner_seen(epoch) && self.confirm_gone(owner).await
    }

    /// Returns whether the processes of most failure domains answer and have not heard from the
    /// owner either.
    pub(super) async fn confirm_gone(&self, owner: &OwnerRecord) -> bool {
        let survey = self.survey(owner.epoch).await;
        survey.most_domains && !survey.owner_seen
    }

    /// Returns a few other processes of each failure domain.
    fn others(&self) -> Vec<MemberNote> {
        let owner = self.watch.current().map(|owner| owner.address);
        let mut others = self.members.borrow().all();
        others.retain(|other| {
            other.address != self.settings.peer_address && Some(other.address) != owner
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
    pub(super) async fn survey(&self, epoch: u64) -> DomainSurvey {
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
}
