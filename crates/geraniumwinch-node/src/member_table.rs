//! The processes of a domain as its owner knows them.

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
    /// Its peer address.
    pub(crate) address: SocketAddr,
    /// The revision of the configuration in force.
    pub(crate) revision: u64,
    /// When its last heartbeat came.
    pub(crate) last_heartbeat: Instant,
    /// Whether it is about to stop.
    pub(crate) stopping: bool,
    /// When it was last told of the other domains.
    pub(crate) domains_sent: Option<Instant>,
    /// Whether the store's record of the domain names it, so that a new owner will ask it.
    pub(crate) in_store_record: bool,
    /// Whether it has reported the slots that it holds to this owner.
    pub(crate) slots_reported: bool,
}

/// The processes of a domain as its owner knows them, without the owner itself.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: Mutex<BTreeMap<Name, DomainMember>>,
}

impl MemberTable {
    /// Takes in a heartbeat; returns whether the process still has to report its slots.
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

    /// Notes that a process is told of the other domains now; returns when it was told last.
    pub(crate) fn mark_domains_sent(&self, name: &Name, now: Instant) -> Option<Instant> {
        self.lock().get_mut(name).and_then(|member| member.domains_sent.replace(now))
    }

    /// Notes which processes the store's record of the domain names.
    pub(crate) fn mark_recorded(&self, names: &[Name]) {
        for (name, member) in self.lock().iter_mut() {
            member.in_store_record = names.contains(name);
        }
    }

    /// Forgets every process, as when the ownership begins or ends.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Forgets the processes that have been silent for a time.
    pub(crate) fn remove_silent(&self, timeout: Duration, now: Instant) {
        let alive = |member: &DomainMember| {
            now.saturating_duration_since(member.last_heartbeat) < timeout
        };
        self.lock().retain(|_, member| alive(member));
    }

    /// Returns the processes.
    pub(crate) fn list(&self) -> Vec<(Name, DomainMember)> {
        self.lock().iter().map(|(name, member)| (name.clone(), member.clone())).collect()
    }

    /// Returns the process that was heard last among those that stay.
    pub(crate) fn successor(&self) -> Option<(Name, DomainMember)> {
        let members = self.lock();
        let staying = members.iter().filter(|(_, member)| !member.stopping);
        let last = staying.max_by_key(|(_, member)| member.last_heartbeat);
        last.map(|(name, member)| (name.clone(), member.clone()))
    }

    /// Describes the processes for operators.
    pub(crate) fn rows(&self, now: Instant) -> Vec<MemberRow> {
        let describe = |(name, member): (Name, DomainMember)| MemberRow {
            name,
            address: member.address,
            revision: member.revision,
            silent_ms: now.saturating_duration_since(member.last_heartbeat).as_millis()
                as u64,
        };
        self.list().into_iter().map(describe).collect()
    }

    /// Locks the table.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, DomainMember>> {
        lock(&self.members)
    }
}
