//! The processes of the cell that have been heard from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;

use crate::peer_message::MemberInfo;

/// The time without a word after which a process is taken for gone.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The processes of the cell with the time of their last word.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, (MemberInfo, BootTime)>,
}

impl MemberTable {
    /// Notes that a process was heard from.
    pub(crate) fn record_heartbeat(&mut self, member: MemberInfo, now: BootTime) {
        if member.stopping {
            self.members.remove(&member.address);
            return;
        }
        self.members.insert(member.address, (member, now));
    }

    /// Takes over what the owner has told.
    pub(crate) fn replace(&mut self, members: Vec<MemberInfo>, now: BootTime) {
        self.members =
            members.into_iter().map(|member| (member.address, (member, now))).collect();
    }

    /// Returns the processes that were heard from lately.
    pub(crate) fn live(&self, now: BootTime) -> Vec<MemberInfo> {
        self.members
            .values()
            .filter(|(_, last_heartbeat)| now < *last_heartbeat + MEMBER_TIMEOUT)
            .map(|(member, _)| member.clone())
            .collect()
    }

    /// Returns all processes.
    pub(crate) fn all(&self) -> Vec<MemberInfo> {
        self.members.values().map(|(member, _)| member.clone()).collect()
    }

    /// Forgets processes that have been silent for a long time.
    pub(crate) fn remove_silent(&mut self, now: BootTime, after: Duration) {
        self.members.retain(|_, (_, last_heartbeat)| now < *last_heartbeat + after);
    }
}
