//! Follows who owns the cell.

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

/// The longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The wait before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Who owns the cell, as far as this process knows.
pub(crate) struct OwnerWatch {
    ports: CellPorts,
    current: RefCell<Option<OwnerRecord>>,
    /// The revision of the newest change that was seen.
    revision: Cell<u64>,
    /// When the store last last_response.
    last_response: Cell<Option<BootTime>>,
    changed: Notify,
}

impl OwnerWatch {
    /// Creates a watch that knows no owner.
    pub(crate) fn new(ports: CellPorts) -> Rc<Self> {
        Rc::new(OwnerWatch {
            ports,
            current: RefCell::new(None),
            revision: Cell::new(0),
            last_response: Cell::new(None),
            changed: Notify::new(),
        })
    }

    /// Returns the owner.
    pub(crate) fn current(&self) -> Option<OwnerRecord> {
        self.current.borrow().clone()
    }

    /// Returns whether the store has said within `age` that nobody owns the cell.
    pub(crate) fn is_vacant(&self, age: Duration) -> bool {
        let now = self.ports.clock.now();
        let fresh = self.last_response.get().is_some_and(|at| now < at + age);
        fresh && self.current.borrow().is_none()
    }

    /// Awaits a change of the owner, at most for a time.
    pub(crate) async fn await_change(&self, wait: Duration) {
        // An elapsed wait needs no handling: the caller looks again either way.
        let _ = tokio::time::timeout(wait, self.changed.notified()).await;
    }

    /// Notes what the store holds at a revision.
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
        self.changed.notify_waiters();
    }

    /// Follows the owner until the process ends.
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

    /// Reads the owner and follows its changes until a call fails.
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

    /// Notes that the store has last_response.
    fn record_response(&self, disconnected: &mut bool) {
        self.last_response.set(Some(self.ports.clock.now()));
        if std::mem::take(disconnected) {
            log_event!(Info, "store-regained", part = "owner");
        }
    }
}
