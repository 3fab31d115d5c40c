//! Watches the owner record in the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use tokio::sync::Notify;

use crate::CellPorts;
use crate::StoreChange;
use crate::StoreItem;
use crate::WatchOutcome;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::OwnerRecord;

/// The maximum duration of a watch call.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The delay before the owner is read again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The owner of the cell as far as this process knows.
pub(crate) struct OwnerWatch {
    ports: CellPorts,
    current: RefCell<Option<OwnerRecord>>,
    /// The revision of the newest change seen.
    revision: Cell<u64>,
    /// The number of changes of the owner that this process has seen.
    changes: Cell<u64>,
    /// The time of the store's last response.
    last_response: Cell<Option<BootTime>>,
    changed: Notify,
}

impl OwnerWatch {
    pub(crate) fn new(ports: CellPorts) -> Rc<Self> {
        Rc::new(OwnerWatch {
            ports,
            current: RefCell::new(None),
            revision: Cell::new(0),
            changes: Cell::new(0),
            last_response: Cell::new(None),
            changed: Notify::new(),
        })
    }

    /// Returns the owner, if there is one.
    pub(crate) fn current(&self) -> Option<OwnerRecord> {
        self.current.borrow().clone()
    }

    /// Returns the number of changes of the owner that this process has seen.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Returns whether the store has responded within `age` and there is no owner.
    pub(crate) fn is_vacant(&self, age: Duration) -> bool {
        let now = self.ports.clock.now();
        let fresh = self.last_response.get().is_some_and(|at| now < at + age);
        fresh && self.current.borrow().is_none()
    }

    /// Waits for a change of the owner, for at most `wait`.
    pub(crate) async fn await_change(&self, wait: Duration) {
        // A timeout needs no handling: the caller checks the owner either way.
        let _ = tokio::time::timeout(wait, self.changed.notified()).await;
    }

    /// Waits for an owner of a later epoch.
    pub(crate) async fn await_successor(&self, epoch: u64) {
        loop {
            let changed = self.changed.notified();
            if self.current.borrow().as_ref().is_some_and(|owner| owner.epoch > epoch) {
                return;
            }
            changed.await;
        }
    }

    /// Updates the owner to the item that the store holds at a revision. Older revisions are
    /// ignored.
    pub(crate) fn update(&self, item: Option<&StoreItem>, revision: u64) {
        if revision < self.revision.get() {
            return;
        }
        self.revision.set(revision);
        let owner = item.and_then(|item| OwnerRecord::decode(&item.value));
        let changed = *self.current.borrow() != owner;
        if !changed {
            return;
        }
        match &owner {
            Some(owner) => {
                log_event!(
                    Info,
                    "owner",
                    epoch = owner.epoch,
                    name = owner.name,
                    revision = revision
                );
            }
            None => log_event!(Info, "owner-none", revision = revision),
        }
        *self.current.borrow_mut() = owner;
        self.changes.set(self.changes.get() + 1);
        self.changed.notify_waiters();
    }

    /// Watches the owner until the process exits.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut disconnected = false;
        loop {
            if let Err(error) = self.follow(&mut disconnected).await {
                if !disconnected {
                    log_event!(Warn, "store-lost", part = "owner", error = error);
                }
                disconnected = true;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the owner and watches its changes until a call fails.
    async fn follow(&self, disconnected: &mut bool) -> crate::Result<()> {
        let page = self.ports.store.list(OWNER_KEY, "").await?;
        self.record_response(disconnected);
        self.update(page.items.first(), page.revision);
        let mut after = page.revision;
        loop {
            let outcome = self.ports.store.watch(OWNER_KEY, after, WATCH_WAIT).await?;
            self.record_response(disconnected);
            let WatchOutcome::Changes(changes, revision) = outcome else {
                return Ok(());
            };
            for change in &changes {
                match change {
                    StoreChange::Written(item) => self.update(Some(item), item.revision),
                    StoreChange::Removed { revision, .. } => self.update(None, *revision),
                }
            }
            after = after.max(revision);
        }
    }

    /// Records that the store has responded.
    fn record_response(&self, disconnected: &mut bool) {
        self.last_response.set(Some(self.ports.clock.now()));
        if std::mem::take(disconnected) {
            log_event!(Info, "store-regained", part = "owner");
        }
    }
}
