//! The interfaces between a cell process and the platform.

use std::rc::Rc;

use crate::CellClock;
use crate::EvacuationReader;
use crate::PermissionService;
use crate::RecordStore;
use crate::WorkMeter;
use crate::WorkerDirectory;
use crate::WorkerGateway;
use crate::catalog::CatalogReader;

/// The interfaces through which a cell process uses the platform.
#[derive(Clone)]
pub struct CellPorts {
    /// The clock.
    pub clock: Rc<dyn CellClock>,
    /// The meter of the time that the process works.
    pub meter: Rc<WorkMeter>,
    /// The store.
    pub store: Rc<dyn RecordStore>,
    /// The gateway to the workers.
    pub workers: Rc<dyn WorkerGateway>,
    /// The directory of workers.
    pub directory: Rc<dyn WorkerDirectory>,
    /// The permission service.
    pub permissions: Rc<dyn PermissionService>,
    /// The decoder of configurations.
    pub catalogs: Rc<dyn CatalogReader>,
    /// The decoder of evacuation requests.
    pub evacuations: Rc<dyn EvacuationReader>,
}
