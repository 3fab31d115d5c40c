//! The interfaces that a cell's processes use.

use std::rc::Rc;

use crate::CellClock;
use crate::PermissionService;
use crate::RecordStore;
use crate::WorkerDirectory;
use crate::WorkerGateway;
use crate::catalog::CatalogReader;

/// What a cell's processes use of the platform.
#[derive(Clone)]
pub struct CellPorts {
    /// The clock.
    pub clock: Rc<dyn CellClock>,
    /// The store.
    pub store: Rc<dyn RecordStore>,
    /// The workers.
    pub workers: Rc<dyn WorkerGateway>,
    /// The list of workers.
    pub directory: Rc<dyn WorkerDirectory>,
    /// The permission service.
    pub permissions: Rc<dyn PermissionService>,
    /// The reader of configurations.
    pub catalogs: Rc<dyn CatalogReader>,
}
