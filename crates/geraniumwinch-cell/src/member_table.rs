//! The processes of the cell that have sent heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;

use crate::peer_message::MemberInfo;

/// The time without a heartbeat after which a process is considered down.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The processes of the cell and the times of their last heartbeats.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, (MemberInfo, BootTime)>,
}

impl MemberTable {
    /// Records the heartbeat of a process; a stopping process is removed.
    pub(crate) fn record_heartbeat(&mut self, member: MemberInfo, now: BootTime) {
        if member.stopping {
            self.members.remove(&member.address);
            return;
        }
        self.members.insert(member.address, (member, now));
    }

    /// Replaces all members with those that the owner has reported.
    pub(crate) fn replace(&mut self, members: Vec<MemberInfo>, now: BootTime) {
        self.members =
            members.into_iter().map(|member| (member.address, (member, now))).collect();
    }

    /// Returns the processes whose last heartbeat is recent.
    pub(crate) fn live(&self, now: BootTime) -> Vec<MemberInfo> {
        self.members
            .values()
            .filter(|(_, last_heartbeat)| now < *last_heartbeat + MEMBER_TIMEOUT)
            .map(|(member, _)| member.clone())
            .collect()
    }

    /// Returns the least memory for jobs that a known process has, in bytes.
    pub(crate) fn smallest_job_bytes(&self) -> Option<u64> {
        self.members.values().map(|(member, _)| member.job_bytes).min()
    }

    /// Returns all known processes.
    pub(crate) fn all(&self) -> Vec<MemberInfo> {
        self.members.values().map(|(member, _)| member.clone()).collect()
    }

    /// Removes processes that have sent no heartbeat for `after`.
    pub(crate) fn remove_silent(&mut self, now: BootTime, after: Duration) {
        self.members.retain(|_, (_, last_heartbeat)| now < *last_heartbeat + after);
    }
}
