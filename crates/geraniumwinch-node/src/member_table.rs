//! The processes of a domain that its owner knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::Name;
use geraniumwinch_wire::MemberRow;
use geraniumwinch_wire::PeerIdentity;

use crate::shared_lock::lock;

/// A process of the domain.
#[derive(Debug, Clone)]
pub(crate) struct DomainMember {
    /// The address for calls from peers.
    pub(crate) address: SocketAddr,
    /// The revision of the configuration in force there.
    pub(crate) revision: u64,
    /// When its last heartbeat was received.
    pub(crate) last_heartbeat: Instant,
    /// Whether it is shutting down.
    pub(crate) stopping: bool,
    /// When the digests of the other domains were last sent to it.
    pub(crate) domains_sent: Option<Instant>,
    /// Whether the members record in the store contains it, so that a new owner will call it.
    pub(crate) in_store_record: bool,
    /// Whether it has reported its held slots to this owner.
    pub(crate) slots_reported: bool,
}

/// The processes of a domain that its owner knows, except the owner itself.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: Mutex<BTreeMap<Name, DomainMember>>,
}

impl MemberTable {
    /// Records a heartbeat and returns whether the process still has to report its held slots.
    pub(crate) fn record_heartbeat(
        &self,
        from: &PeerIdentity,
        revision: u64,
        stopping: bool,
        reports_slots: bool,
        now: Instant,
    ) -> bool {
        let mut members = self.lock();
        let member = members.entry(from.name.clone()).or_insert_with(|| DomainMember {
            address: from.address,
            revision,
            last_heartbeat: now,
            stopping,
            domains_sent: None,
            in_store_record: false,
            slots_reported: false,
        });
        member.address = from.address;
        member.revision = revision;
        member.last_heartbeat = now;
        member.stopping = stopping;
        member.slots_reported |= reports_slots;
        !member.slots_reported
    }

    /// Records that the digests of the other domains are sent to a process, and returns when they
    /// were sent before.
    pub(crate) fn mark_domains_sent(&self, name: &Name, now: Instant) -> Option<Instant> {
        self.lock().get_mut(name).and_then(|member| member.domains_sent.replace(now))
    }

    /// Records which processes the members record in the store contains.
    pub(crate) fn mark_recorded(&self, names: &[Name]) {
        for (name, member) in self.lock().iter_mut() {
            member.in_store_record = names.contains(name);
        }
    }

    /// Removes all processes, since the table only applies to one ownership.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Removes the processes that have sent no heartbeat within a timeout.
    pub(crate) fn remove_silent(&self, timeout: Duration, now: Instant) {
        let alive = |member: &DomainMember| {
            now.saturating_duration_since(member.last_heartbeat) < timeout
        };
        self.lock().retain(|_, member| alive(member));
    }

    pub(crate) fn list(&self) -> Vec<(Name, DomainMember)> {
        self.lock().iter().map(|(name, member)| (name.clone(), member.clone())).collect()
    }

    /// Returns the process with the latest heartbeat that is not shutting down.
    pub(crate) fn successor(&self) -> Option<(Name, DomainMember)> {
        let members = self.lock();
        let candidates = members.iter().filter(|(_, member)| !member.stopping);
        let last = candidates.max_by_key(|(_, member)| member.last_heartbeat);
        last.map(|(name, member)| (name.clone(), member.clone()))
    }

    /// Returns the processes as they are shown to operators.
    pub(crate) fn rows(&self, now: Instant) -> Vec<MemberRow> {
        let to_row = |(name, member): (Name, DomainMember)| MemberRow {
            name,
            address: member.address,
            revision: member.revision,
            silent_ms: now.saturating_duration_since(member.last_heartbeat).as_millis()
                as u64,
        };
        self.list().into_iter().map(to_row).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, DomainMember>> {
        lock(&self.members)
    }
}
