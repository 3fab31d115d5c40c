//! Follows the operators' requests to evacuate failure domains.
//!
//! Only the owner of the cell sends start commands, so only the owner follows the requests. It reads
//! them all after its claim and before its first start, and watches their changes from then on. When
//! the store has not confirmed them for too long, it withholds all starts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::EvacuationProgress;
use geraniumwinch_fleet::FleetScheduler;
use tokio::sync::Notify;

use crate::CallError;
use crate::CellPorts;
use crate::Result;
use crate::StoreChange;
use crate::WatchOutcome;
use crate::cell_metrics;
use crate::owner_authority::OwnerAuthority;

/// Times as parts of the bound.
mod part {
    /// The duration of a watch without changes, and the timeout of a read.
    pub(super) const CALL: f64 = 0.2;
    /// The timeout of a watch call: a connection that has fallen silent leaves time to read all
    /// requests over another one.
    pub(super) const WATCH_TIMEOUT: f64 = 0.4;
    /// The maximum age of the last confirmation for starts; the rest is left for the commands on
    /// their way.
    pub(super) const MAX_AGE: f64 = 0.8;
}

/// The delay before the requests are read again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A decoder of evacuation requests.
pub trait EvacuationReader {
    /// Returns the prefix of the store keys of all requests.
    fn prefix(&self) -> &'static str;

    /// Returns the failure domain that a key requests to evacuate.
    fn domain(&self, key: &str) -> Option<Name>;
}

/// The evacuated failure domains as the owner of an epoch knows them.
pub(crate) struct EvacuationWatch {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    pass_due: Rc<Notify>,
    /// The time within which a request must be in effect; `None` if there are no requests to follow.
    bound: Option<Duration>,
    /// The evacuated domains, with the revisions of their requests.
    domains: RefCell<BTreeMap<Name, u64>>,
    /// The evacuated domains in which nothing runs any more.
    empty_domains: RefCell<BTreeSet<Name>>,
    /// The store revision after which the next watch continues.
    revision: Cell<u64>,
    /// When the last call was sent whose response has confirmed the domains; `None` before the first.
    confirmed_at: Cell<Option<BootTime>>,
    withholding: Cell<bool>,
}

impl EvacuationWatch {
    /// Creates a watch that has not read the requests yet.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        scheduler: Rc<RefCell<FleetScheduler>>,
        pass_due: Rc<Notify>,
        bound: Option<Duration>,
    ) -> Self {
        EvacuationWatch {
            ports,
            authority,
            scheduler,
            pass_due,
            bound,
            domains: RefCell::default(),
            empty_domains: RefCell::default(),
            revision: Cell::new(0),
            confirmed_at: Cell::new(None),
            withholding: Cell::new(false),
        }
    }

    /// Returns whether the evacuated domains are known well enough for starts, and logs when that
    /// changes.
    pub(crate) fn permits_starts(&self, now: BootTime) -> bool {
        let Some(bound) = self.bound else { return true };
        let max_age = bound.mul_f64(part::MAX_AGE);
        let confirmed_at = self.confirmed_at.get();
        let known = confirmed_at.is_some_and(|at| now < at + max_age);
        if self.withholding.replace(!known) == known {
            let age = confirmed_at.map(|at| now.saturating_sub(at).as_millis());
            let age_ms = age.unwrap_or_default();
            if known {
                log_event!(Info, "starts-resumed", reason = "evacuations-known");
            } else {
                log_event!(
                    Warn,
                    "starts-withheld",
                    reason = "evacuations-unknown",
                    age_ms = age_ms
                );
            }
            let since = if known { Duration::ZERO } else { self.ports.clock.unix_time() };
            cell_metrics::set_starts_withheld(since);
        }
        known
    }

    /// Reads all requests, until that succeeds. Returns `None` if the ownership ends before.
    pub(crate) async fn load(&self) -> Option<()> {
        let bound = match self.bound {
            Some(bound) => bound,
            None => return Some(()),
        };
        while self.authority.may_start(self.ports.clock.now()) {
            match self.read_all(bound).await {
                Ok(()) => return Some(()),
                Err(error) => {
                    log_event!(Warn, "takeover-read-failed", error = error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        None
    }

    /// Follows the requests until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let Some(bound) = self.bound else { return };
        let mut disconnected = false;
        while !self.authority.is_lost() {
            let Err(error) = self.follow(bound).await else { continue };
            // The time of a watch that fell silent is lost, so the requests are read at once.
            match self.read_all(bound).await {
                Ok(()) => {
                    if std::mem::take(&mut disconnected) {
                        log_event!(Info, "store-regained", part = "evacuations");
                    }
                }
                Err(read_error) => {
                    if !std::mem::replace(&mut disconnected, true) {
                        log_event!(
                            Warn,
                            "store-lost",
                            part = "evacuations",
                            error = error,
                            read_error = read_error
                        );
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Resets the metrics when the ownership has ended.
    pub(crate) fn end(&self) {
        self.domains.borrow().keys().for_each(cell_metrics::clear_evacuation);
        cell_metrics::set_evacuated_domains(0);
        cell_metrics::set_starts_withheld(Duration::ZERO);
    }

    /// Watches the changes of the requests until a call fails. Returns without an error if the
    /// requests must be read again, because the store has compacted its history.
    async fn follow(&self, bound: Duration) -> Result<()> {
        let prefix = self.ports.evacuations.prefix();
        while !self.authority.is_lost() {
            let sent = self.ports.clock.now();
            let wait = bound.mul_f64(part::CALL);
            let watch = self.ports.store.watch(prefix, self.revision.get(), wait);
            let limit = bound.mul_f64(part::WATCH_TIMEOUT);
            let WatchOutcome::Changes(changes, revision) = within(limit, watch).await?
            else {
                return self.read_all(bound).await;
            };
            self.apply_changes(&changes);
            self.revision.set(self.revision.get().max(revision));
            self.confirm(sent);
        }
        Ok(())
    }

    /// Reads all requests.
    async fn read_all(&self, bound: Duration) -> Result<()> {
        let sent = self.ports.clock.now();
        let prefix = self.ports.evacuations.prefix();
        let mut domains = BTreeMap::new();
        let mut after = String::new();
        let mut first_revision = None;
        loop {
            let page = self.ports.store.list(prefix, &after);
            let page = within(bound.mul_f64(part::CALL), page).await?;
            // Pages are no snapshot, so the watch repeats what has changed since the first one.
            let revision = *first_revision.get_or_insert(page.revision);
            if revision == 0 || revision < self.revision.get() {
                let message = format!("the list is of revision {revision}");
                return Err(CallError::Malformed { message });
            }
            for item in &page.items {
                if let Some(domain) = self.ports.evacuations.domain(&item.key) {
                    domains.insert(domain, item.revision);
                }
            }
            match page.items.last() {
                Some(last) if page.has_more => after = last.key.clone(),
                _ => {
                    self.replace_domains(domains, "list");
                    self.revision.set(revision);
                    self.confirm(sent);
                    return Ok(());
                }
            }
        }
    }

    /// Applies the changes of a watch, all of them before the next start.
    fn apply_changes(&self, changes: &[StoreChange]) {
        let mut domains = self.domains.borrow().clone();
        for change in changes {
            match change {
                StoreChange::Written(item) => {
                    if let Some(domain) = self.ports.evacuations.domain(&item.key) {
                        domains.insert(domain, item.revision);
                    }
                }
                StoreChange::Removed { key, .. } => {
                    if let Some(domain) = self.ports.evacuations.domain(key) {
                        domains.remove(&domain);
                    }
                }
            }
        }
        self.replace_domains(domains, "watch");
    }

    /// Replaces the evacuated domains and logs the differences. `source` is logged.
    fn replace_domains(&self, domains: BTreeMap<Name, u64>, source: &str) {
        let former = self.domains.replace(domains.clone());
        if former.keys().eq(domains.keys()) {
            return;
        }
        let names = domains.keys().cloned().collect();
        self.scheduler.borrow_mut().set_evacuated(names);
        for (domain, revision) in &domains {
            if !former.contains_key(domain) {
                self.log_evacuated(domain, *revision, source);
            }
        }
        for domain in former.keys().filter(|domain| !domains.contains_key(*domain)) {
            log_event!(Info, "domain-returned", domain = domain, source = source);
            self.empty_domains.borrow_mut().remove(domain);
            cell_metrics::clear_evacuation(domain);
        }
        cell_metrics::set_evacuated_domains(domains.len());
        self.pass_due.notify_one();
    }

    /// Logs and counts a domain that is evacuated from now on.
    fn log_evacuated(&self, domain: &Name, revision: u64, source: &str) {
        log_event!(
            Info,
            "domain-evacuated",
            domain = domain,
            revision = revision,
            source = source
        );
        cell_metrics::set_evacuated_since(domain, self.ports.clock.unix_time());
    }

    /// Records that the store has confirmed the domains in response to a call sent at `sent`.
    fn confirm(&self, sent: BootTime) {
        self.confirmed_at.set(Some(sent));
        cell_metrics::set_evacuations_checked(self.ports.clock.unix_time());
    }

    /// Updates the metrics of what is left in the evacuated domains, and logs those that have become
    /// empty.
    pub(crate) fn report_progress(&self, now: BootTime) {
        for progress in self.scheduler.borrow().evacuation_progress(now) {
            cell_metrics::set_evacuation(&progress);
            let EvacuationProgress { domain, workers, .. } = &progress;
            let mut empty_domains = self.empty_domains.borrow_mut();
            if !progress.is_empty() {
                empty_domains.remove(domain);
            } else if empty_domains.insert(domain.clone()) {
                log_event!(Info, "domain-empty", domain = domain, workers = workers);
            }
        }
    }
}

/// Returns the result of a call, or an error if it takes longer than `limit`.
async fn within<T>(limit: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    let message = || format!("timeout after {} ms", limit.as_millis());
    let result = tokio::time::timeout(limit, call).await;
    result.unwrap_or_else(|_| Err(CallError::NoResponse { message: message() }))
}
