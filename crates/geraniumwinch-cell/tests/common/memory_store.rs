//! A store in memory whose responses can be lost or delayed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_cell::CallError;
use geraniumwinch_cell::CommitOutcome;
use geraniumwinch_cell::RecordStore;
use geraniumwinch_cell::Result;
use geraniumwinch_cell::StoreChange;
use geraniumwinch_cell::StoreItem;
use geraniumwinch_cell::StorePage;
use geraniumwinch_cell::StoreTransaction;
use geraniumwinch_cell::WatchOutcome;

/// The interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(5);

/// A value and the lease that it is attached to.
#[derive(Debug, Clone)]
struct MemoryItem {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// Is called with each committed transaction and returns whether its response is lost.
type CommitHook = Box<dyn FnMut(&MemoryStore, &StoreTransaction) -> bool>;

/// A store in memory whose responses can be lost or delayed. Its leases do not expire.
#[derive(Default)]
pub struct MemoryStore {
    items: RefCell<BTreeMap<String, MemoryItem>>,
    history: RefCell<Vec<StoreChange>>,
    revision: Cell<u64>,
    leases: RefCell<Vec<u64>>,
    commit_hook: RefCell<Option<CommitHook>>,
    /// The delay before a transaction is executed.
    commit_delay: Cell<Duration>,
    /// Whether transactions are refused.
    commits_refused: Cell<bool>,
    /// Whether reads of single items get no response.
    reads_lost: Cell<bool>,
    /// Whether renewals get no response.
    renewals_lost: Cell<bool>,
    /// Whether the next renewal panics.
    renewal_panics: Cell<bool>,
    /// The delay before the response to a renewal.
    renewal_delay: Cell<Duration>,
}

impl MemoryStore {
    /// Calls `hook` with each committed transaction; if it returns `true`, the response is lost.
    pub fn on_commit(
        &self,
        hook: impl FnMut(&MemoryStore, &StoreTransaction) -> bool + 'static,
    ) {
        *self.commit_hook.borrow_mut() = Some(Box::new(hook));
    }

    /// Delays the execution of transactions.
    pub fn delay_commits(&self, delay: Duration) {
        self.commit_delay.set(delay);
    }

    /// Refuses transactions.
    pub fn refuse_commits(&self, refused: bool) {
        self.commits_refused.set(refused);
    }

    /// Leaves reads of single items without a response.
    pub fn lose_reads(&self, lost: bool) {
        self.reads_lost.set(lost);
    }

    /// Leaves renewals without a response.
    pub fn lose_renewals(&self, lost: bool) {
        self.renewals_lost.set(lost);
    }

    /// Has the next renewal panic.
    pub fn panic_at_renewal(&self) {
        self.renewal_panics.set(true);
    }

    /// Returns whether a renewal is to panic that has not been made yet.
    pub fn awaits_panic(&self) -> bool {
        self.renewal_panics.get()
    }

    /// Delays the responses to renewals.
    pub fn delay_renewals(&self, delay: Duration) {
        self.renewal_delay.set(delay);
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.write(key, value, 0, self.next_revision());
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        self.remove(key, self.next_revision());
    }

    /// Returns the value of an item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.borrow().get(key).map(|item| item.value.clone())
    }

    /// Returns whether an item exists.
    pub fn contains(&self, key: &str) -> bool {
        self.items.borrow().contains_key(key)
    }

    /// Removes all leases and their items.
    pub fn remove_leases(&self) {
        let leases = self.leases.take();
        leases.into_iter().for_each(|lease| self.remove_lease(lease));
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn write(&self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let item = StoreItem { key: key.to_owned(), value: value.clone(), revision };
        self.history.borrow_mut().push(StoreChange::Written(item));
        let item = MemoryItem { value, revision, lease };
        self.items.borrow_mut().insert(key.to_owned(), item);
    }

    fn remove(&self, key: &str, revision: u64) {
        if self.items.borrow_mut().remove(key).is_some() {
            let key = key.to_owned();
            self.history.borrow_mut().push(StoreChange::Removed { key, revision });
        }
    }

    fn remove_lease(&self, lease: u64) {
        self.leases.borrow_mut().retain(|&found| found != lease);
        let items = self.items.borrow();
        let keys = items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        drop(items);
        let revision = self.next_revision();
        keys.iter().for_each(|key| self.remove(key, revision));
    }

    fn item(&self, key: &str) -> Option<StoreItem> {
        let items = self.items.borrow();
        let item = items.get(key)?;
        let (key, value) = (key.to_owned(), item.value.clone());
        Some(StoreItem { key, value, revision: item.revision })
    }

    fn execute(&self, transaction: &StoreTransaction) -> CommitOutcome {
        let revision_of = |key: &str| self.item(key).map_or(0, |item| item.revision);
        let expected = || transaction.expected.iter();
        if expected().any(|(key, revision)| revision_of(key) != *revision) {
            let items = expected().filter_map(|(key, _)| self.item(key));
            return CommitOutcome::Conflict(items.collect());
        }
        let exists = |lease: u64| self.leases.borrow().contains(&lease);
        if !transaction.writes.iter().all(|write| write.lease.is_none_or(exists)) {
            return CommitOutcome::LeaseEnded;
        }
        let revision = self.next_revision();
        for write in &transaction.writes {
            let lease = write.lease.unwrap_or(0);
            self.write(&write.key, write.value.clone(), lease, revision);
        }
        transaction.removals.iter().for_each(|key| self.remove(key, revision));
        CommitOutcome::Committed(revision)
    }

    /// Executes a transaction unless transactions are refused, and loses its response if the hook
    /// says so.
    fn commit_now(&self, transaction: &StoreTransaction) -> Result<CommitOutcome> {
        if self.commits_refused.get() {
            return Err(CallError::Refused { status: 503 });
        }
        let outcome = self.execute(transaction);
        if matches!(outcome, CommitOutcome::Committed(_)) {
            let mut hook = self.commit_hook.borrow_mut();
            let lost = hook.as_mut().is_some_and(|hook| hook(self, transaction));
            if lost {
                return Err(no_response());
            }
        }
        Ok(outcome)
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<StoreChange> {
        let matches = |change: &&StoreChange| match change {
            StoreChange::Written(item) => {
                item.key.starts_with(prefix) && item.revision > after
            }
            StoreChange::Removed { key, revision } => {
                key.starts_with(prefix) && *revision > after
            }
        };
        self.history.borrow().iter().filter(matches).cloned().collect()
    }
}

fn no_response() -> CallError {
    CallError::NoResponse { message: "lost".to_owned() }
}

/// A shared handle to a store.
#[derive(Clone)]
pub struct SharedStore(pub Rc<MemoryStore>);

impl RecordStore for SharedStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreItem>>> {
        let lost = self.0.reads_lost.get();
        let item = if lost { Err(no_response()) } else { Ok(self.0.item(key)) };
        async move { item }.boxed_local()
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> LocalBoxFuture<'static, Result<StorePage>> {
        let items = self.0.items.borrow();
        let keys = items
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .cloned();
        let keys: Vec<String> = keys.collect();
        drop(items);
        let items = keys.iter().filter_map(|key| self.0.item(key)).collect();
        let revision = self.0.revision.get();
        let page = StorePage { items, has_more: false, revision };
        async move { Ok(page) }.boxed_local()
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<WatchOutcome>> {
        let (store, prefix) = (Rc::clone(&self.0), prefix.to_owned());
        async move {
            let end = tokio::time::Instant::now() + wait;
            loop {
                let changes = store.changes(&prefix, after);
                if !changes.is_empty() || tokio::time::Instant::now() >= end {
                    return Ok(WatchOutcome::Changes(changes, store.revision.get()));
                }
                tokio::time::sleep(WATCH_POLL).await;
            }
        }
        .boxed_local()
    }

    fn commit(
        &self,
        transaction: &StoreTransaction,
        _: Duration,
    ) -> LocalBoxFuture<'static, Result<CommitOutcome>> {
        let (store, transaction) = (Rc::clone(&self.0), transaction.clone());
        async move {
            tokio::time::sleep(store.commit_delay.get()).await;
            store.commit_now(&transaction)
        }
        .boxed_local()
    }

    fn grant_lease(&self, _: Duration) -> LocalBoxFuture<'static, Result<u64>> {
        let lease = self.0.next_revision();
        self.0.leases.borrow_mut().push(lease);
        async move { Ok(lease) }.boxed_local()
    }

    fn renew_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<bool>> {
        assert!(!self.0.renewal_panics.take(), "a renewal of the test's store panics");
        let exists = self.0.leases.borrow().contains(&lease);
        let lost = self.0.renewals_lost.get();
        let delay = self.0.renewal_delay.get();
        async move {
            tokio::time::sleep(delay).await;
            if lost { Err(no_response()) } else { Ok(exists) }
        }
        .boxed_local()
    }

    fn revoke_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<()>> {
        self.0.remove_lease(lease);
        async move { Ok(()) }.boxed_local()
    }
}
