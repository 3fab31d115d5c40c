//! Follows the configuration in the store.

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

/// The longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The wait before a failed read is repeated.
const RETRY: Duration = Duration::from_millis(250);

/// The newest configuration that this process knows; it never goes back.
pub(crate) struct CatalogWatch {
    ports: CellPorts,
    current: RefCell<Option<Rc<FetchedCatalog>>>,
}

impl CatalogWatch {
    /// Creates a watch that knows no configuration.
    pub(crate) fn new(ports: CellPorts) -> Rc<Self> {
        Rc::new(CatalogWatch { ports, current: RefCell::new(None) })
    }

    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Option<Rc<FetchedCatalog>> {
        self.current.borrow().clone()
    }

    /// Returns the number of the configuration in force, or 0.
    pub(crate) fn version(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |current| current.catalog.version)
    }

    /// Puts a configuration in force if it is newer; `source` goes into the log.
    pub(crate) fn offer(&self, bytes: &[u8], source: &str) {
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

    /// Follows the configuration until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut lost = false;
        loop {
            if let Err(error) = self.follow(&mut lost).await {
                if !lost {
                    log_event!(Warn, "store-lost", part = "catalog", error = error);
                }
                lost = true;
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    /// Reads the configuration and follows its changes until a call fails.
    async fn follow(&self, lost: &mut bool) -> crate::Result<()> {
        let key = self.ports.catalogs.key();
        let item = self.ports.store.get(key).await?;
        self.answer(lost);
        let mut after = 0;
        if let Some(item) = item {
            after = item.revision;
            self.offer(&item.value, "store");
        }
        loop {
            let outcome = self.ports.store.watch(key, after, WATCH_WAIT).await?;
            self.answer(lost);
            let WatchOutcome::Changes(changes, revision) = outcome else {
                return Ok(());
            };
            for change in changes {
                if let StoreChange::Written(item) = change {
                    self.offer(&item.value, "watch");
                }
            }
            after = after.max(revision);
        }
    }

    /// Notes that the store has answered.
    fn answer(&self, lost: &mut bool) {
        cell_metrics::set_catalog_checked(self.ports.clock.unix_time());
        if std::mem::take(lost) {
            log_event!(Info, "store-regained", part = "catalog");
        }
    }
}
