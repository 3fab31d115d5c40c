//! The processes of the cell that have been heard from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;

use crate::peer_message::MemberNote;

/// The time without a word after which a process is taken for gone.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The processes of the cell with the time of their last word.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, (MemberNote, BootTime)>,
}

impl MemberTable {
    /// Notes that a process was heard from.
    pub(crate) fn heard(&mut self, note: MemberNote, now: BootTime) {
        if note.stopping {
            self.members.remove(&note.address);
            return;
        }
        self.members.insert(note.address, (note, now));
    }

    /// Takes over what the owner has told.
    pub(crate) fn replace(&mut self, notes: Vec<MemberNote>, now: BootTime) {
        self.members =
            notes.into_iter().map(|note| (note.address, (note, now))).collect();
    }

    /// Returns the processes that were heard from lately.
    pub(crate) fn live(&self, now: BootTime) -> Vec<MemberNote> {
        self.members
            .values()
            .filter(|(_, heard)| now < *heard + MEMBER_TIMEOUT)
            .map(|(note, _)| note.clone())
            .collect()
    }

    /// Returns all processes.
    pub(crate) fn all(&self) -> Vec<MemberNote> {
        self.members.values().map(|(note, _)| note.clone()).collect()
    }

    /// Forgets processes that have been silent for a long time.
    pub(crate) fn forget(&mut self, now: BootTime, after: Duration) {
        self.members.retain(|_, (_, heard)| now < *heard + after);
    }
}
