//! Watches the configuration in the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;

use crate::CellPorts;
use crate::FetchedCatalog;
use crate::JobCatalog;
use crate::StoreChange;
use crate::WatchOutcome;
use crate::cell_metrics;

/// The maximum duration of a watch call.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The delay before the configuration is read again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The newest configuration known to this process. The version never decreases.
pub(crate) struct CatalogWatch {
    ports: CellPorts,
    current: RefCell<Option<Rc<FetchedCatalog>>>,
}

impl CatalogWatch {
    pub(crate) fn new(ports: CellPorts) -> Rc<Self> {
        Rc::new(CatalogWatch { ports, current: RefCell::new(None) })
    }

    /// Returns the current configuration.
    pub(crate) fn current(&self) -> Option<Rc<FetchedCatalog>> {
        self.current.borrow().clone()
    }

    /// Returns the version of the current configuration, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |current| current.catalog.version)
    }

    /// Applies a configuration if it is newer than the current one. `source` is logged.
    pub(crate) fn apply_if_newer(&self, bytes: &[u8], source: &str) {
        let catalog: JobCatalog = match self.ports.catalogs.decode(bytes) {
            Ok(catalog) => catalog,
            Err(error) => {
                log_event!(Error, "catalog-unreadable", source = source, error = error);
                return;
            }
        };
        if catalog.version <= self.version() {
            return;
        }
        let (version, queues) = (catalog.version, catalog.queues.len());
        log_event!(Info, "catalog", version = version, queues = queues, source = source);
        cell_metrics::set_catalog_version(version);
        let fetched = FetchedCatalog { catalog, bytes: bytes.to_vec() };
        *self.current.borrow_mut() = Some(Rc::new(fetched));
    }

    /// Watches the configuration until the process exits.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut disconnected = false;
        loop {
            if let Err(error) = self.follow(&mut disconnected).await {
                if !disconnected {
                    log_event!(Warn, "store-lost", part = "catalog", error = error);
                }
                disconnected = true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the configuration and watches its changes until a call fails.
    async fn follow(&self, disconnected: &mut bool) -> crate::Result<()> {
        let key = self.ports.catalogs.key();
        let item = self.ports.store.get(key).await?;
        self.record_response(disconnected);
        let mut after = 0;
        if let Some(item) = item {
            after = item.revision;
            self.apply_if_newer(&item.value, "store");
        }
        loop {
            let outcome = self.ports.store.watch(key, after, WATCH_WAIT).await?;
            self.record_response(disconnected);
            let WatchOutcome::Changes(changes, revision) = outcome else {
                return Ok(());
            };
            for change in changes {
                if let StoreChange::Written(item) = change {
                    self.apply_if_newer(&item.value, "watch");
                }
            }
            after = after.max(revision);
        }
    }

    /// Records that the store has responded.
    fn record_response(&self, disconnected: &mut bool) {
        cell_metrics::set_catalog_checked(self.ports.clock.unix_time());
        if std::mem::take(disconnected) {
            log_event!(Info, "store-regained", part = "catalog");
        }
    }
}
