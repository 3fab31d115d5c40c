//! Loads the state of the cell during a takeover.

use std::cell::RefCell;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::WorkerKey;

use crate::CellPorts;
use crate::StoreItem;
use crate::WithdrawnJobs;
use crate::catalog_watch::CatalogWatch;
use crate::owner_authority::OwnerAuthority;
use crate::owner_record::FENCE_PREFIX;
use crate::owner_record::JOB_PREFIX;
use crate::owner_record::WITHDRAWN_PREFIX;
use crate::owner_record::WORKERS_KEY;
use crate::owner_record::decode_workers;
use crate::owner_record::fence_key;
use crate::record_journal::LANE_COUNT;

/// The delay before a failed read of the store is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum time for which a takeover waits for the configuration. The leases of all workers run
/// meanwhile.
const CATALOG_WAIT: Duration = Duration::from_secs(1);

/// Retries a read of the store until it succeeds or the ownership ends.
macro_rules! read_until_lost {
    ($ports:expr, $authority:expr, $call:expr) => {
        loop {
            if !$authority.may_start($ports.clock.now()) {
                return None;
            }
            match $call.await {
                Ok(response) => break response,
                Err(error) => {
                    log_event!(Warn, "takeover-read-failed", error = error);
                    tokio::time::sleep(LOAD_RETRY_DELAY).await;
                }
            }
        }
    };
}

/// Reads all items whose keys start with a prefix, page by page; `None` if the ownership ends before.
async fn load_pages(
    ports: &CellPorts,
    authority: &OwnerAuthority,
    prefix: &str,
    mut read: impl FnMut(&StoreItem),
) -> Option<()> {
    let mut after = String::new();
    loop {
        let page = read_until_lost!(ports, authority, ports.store.list(prefix, &after));
        page.items.iter().for_each(&mut read);
        match page.items.last() {
            Some(last) if page.has_more => after = last.key.clone(),
            _ => return Some(()),
        }
    }
}

/// Loads the cancellations that former owners have answered although the jobs were not known.
pub(super) async fn load_withdrawn_jobs(
    ports: &CellPorts,
    authority: &OwnerAuthority,
) -> Option<WithdrawnJobs> {
    let mut withdrawn = WithdrawnJobs::new(authority.epoch);
    let read = |item: &StoreItem| {
        let account = String::from_utf8_lossy(&item.value);
        withdrawn.load(&item.key, account.as_ref().into(), ports.clock.now());
    };
    load_pages(ports, authority, WITHDRAWN_PREFIX, read).await?;
    Some(withdrawn)
}

/// Loads all jobs into the scheduler and returns their number.
pub(super) async fn load_jobs(
    ports: &CellPorts,
    authority: &OwnerAuthority,
    scheduler: &RefCell<FleetScheduler>,
    uncertain_until: BootTime,
) -> Option<usize> {
    let mut records = Vec::new();
    let read = |item: &StoreItem| match JobRecord::decode(&item.value) {
        Ok(record) => {
            let id: Name = item.key[JOB_PREFIX.len()..].into();
            records.push((id, record));
        }
        Err(error) => {
            log_event!(Error, "record-unreadable", key = item.key, error = error);
        }
    };
    load_pages(ports, authority, JOB_PREFIX, read).await?;
    records.sort_by_key(|(_, record)| record.accepted);
    let count = records.len();
    let mut scheduler = scheduler.borrow_mut();
    for (id, record) in records {
        scheduler.load_job(id, record, uncertain_until);
    }
    Some(count)
}

/// Reads the revisions of the fence records of all journal lanes.
pub(super) async fn load_fences(
    ports: &CellPorts,
    authority: &OwnerAuthority,
) -> Option<[u64; LANE_COUNT]> {
    let page = read_until_lost!(ports, authority, ports.store.list(FENCE_PREFIX, ""));
    let revision = |lane| {
        let key = fence_key(lane);
        let item = page.items.iter().find(|item| item.key == key);
        item.map_or(0, |item| item.revision)
    };
    Some(std::array::from_fn(revision))
}

/// Loads the workers on which tasks of former owners may run until `uncertain_until`.
pub(super) async fn load_workers(
    ports: &CellPorts,
    authority: &OwnerAuthority,
    scheduler: &RefCell<FleetScheduler>,
    uncertain_until: BootTime,
) -> Option<Vec<WorkerKey>> {
    let item = read_until_lost!(ports, authority, ports.store.get(WORKERS_KEY));
    let Some(item) = item else { return Some(Vec::new()) };
    let Some(records) = decode_workers(&item.value) else {
        log_event!(Error, "workers-unreadable", bytes = item.value.len());
        return Some(Vec::new());
    };
    Some(scheduler.borrow_mut().load_workers(records, uncertain_until))
}

/// Reads the configuration, so that it is no older than that of the former owner, for at most
/// [`CATALOG_WAIT`]. After that, the process goes on with the one that it has.
pub(super) async fn refresh_catalog(
    ports: &CellPorts,
    authority: &OwnerAuthority,
    catalog: &CatalogWatch,
) {
    let read =
        tokio::time::timeout(CATALOG_WAIT, load_catalog(ports, authority, catalog));
    if read.await.is_err() {
        log_event!(Warn, "takeover-catalog-unread", version = catalog.version());
    }
}

/// Reads the configuration; `None` if the ownership ends before.
async fn load_catalog(
    ports: &CellPorts,
    authority: &OwnerAuthority,
    catalog: &CatalogWatch,
) -> Option<()> {
    let key = ports.catalogs.key();
    let item = read_until_lost!(ports, authority, ports.store.get(key))?;
    catalog.apply_if_newer(&item.value, "takeover");
    Some(())
}
