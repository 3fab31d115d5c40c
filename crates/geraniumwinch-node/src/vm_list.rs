//! The platform's VM list.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::EndpointSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::WorkerSpec;
use geraniumwinch_core::log_event;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::Result;
use crate::http_client::HttpClient;

/// The workers and endpoints of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct DomainVms {
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) endpoints: Vec<EndpointSpec>,
}

/// The platform's VM list, which lags behind the actual state.
pub(crate) trait VmList {
    fn read(&self, domain: &Name) -> LocalBoxFuture<'static, Result<DomainVms>>;
}

/// The maximum number of slots of an endpoint; more are an error of the row's writer.
const MAX_SLOTS: u32 = 1 << 16;

/// A VM list that is served as JSON.
pub(crate) struct HttpVmList {
    client: HttpClient,
    url: String,
    cached: Rc<RefCell<Option<(String, DomainVms)>>>,
    /// The number of rows of the last list that could not be used.
    skipped: Rc<Cell<usize>>,
}

/// A VM in the list.
#[derive(Debug, Deserialize)]
struct VmRow {
    name: Name,
    kind: String,
    domain: Name,
    address: Name,
    #[serde(default)]
    rack: Option<Name>,
    #[serde(default)]
    cpu_millis: u64,
    #[serde(default)]
    memory_bytes: u64,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    service: Option<Name>,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

impl VmRow {
    /// Returns the resources of the VM.
    fn capacity(&self) -> ResourceVector {
        ResourceVector {
            cpu_millis: self.cpu_millis,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }
}

/// The response of the VM list.
#[derive(Debug, Deserialize)]
struct VmRows {
    /// Each row is decoded on its own, so that an odd one doesn't make the others unreadable.
    vms: Vec<Box<RawValue>>,
}

impl HttpVmList {
    /// Creates a client for the list at a URL.
    pub(crate) fn new(client: HttpClient, url: &str) -> Self {
        HttpVmList {
            client,
            url: url.to_owned(),
            cached: Rc::default(),
            skipped: Rc::default(),
        }
    }
}

impl VmList for HttpVmList {
    fn read(&self, domain: &Name) -> LocalBoxFuture<'static, Result<DomainVms>> {
        let client = self.client.clone();
        let url = format!("{}?domain={domain}", self.url);
        let domain = domain.clone();
        let cached = self.cached.clone();
        let skipped = self.skipped.clone();
        async move {
            let known_tag = cached.borrow().as_ref().map(|(tag, _)| tag.clone());
            let response = client.get_if_changed("VM list", &url, known_tag).await?;
            let Some((rows, tag)): Option<(VmRows, _)> = response else {
                let vms = cached.borrow().as_ref().map(|(_, vms)| vms.clone());
                return Ok(vms.unwrap_or_default());
            };
            let listed = rows.vms.len();
            let rows: Vec<VmRow> =
                rows.vms.iter().filter_map(|row| decode_row(row)).collect();
            let rows_skipped = listed - rows.len();
            if skipped.replace(rows_skipped) != rows_skipped {
                log_event!(Warn, "vm-rows-skipped", rows = rows_skipped, of = listed);
            }
            let vms = group_by_kind(rows, &domain);
            *cached.borrow_mut() = tag.map(|tag| (tag, vms.clone()));
            Ok(vms)
        }
        .boxed_local()
    }
}

/// Decodes a row; `None` if it can't be read or can't be true of a VM.
fn decode_row(row: &RawValue) -> Option<VmRow> {
    let row: VmRow = serde_json::from_str(row.get()).ok()?;
    let plausible =
        row.capacity().fits(&ResourceVector::VM_MAX) && row.slots <= MAX_SLOTS;
    plausible.then_some(row)
}

/// Separates the VMs of a domain by kind; unknown kinds are ignored.
fn group_by_kind(rows: Vec<VmRow>, domain: &Name) -> DomainVms {
    let mut vms = DomainVms::default();
    for row in rows.into_iter().filter(|row| row.domain == *domain) {
        match row.kind.as_str() {
            "worker" => vms.workers.push(WorkerSpec {
                capacity: row.capacity(),
                name: row.name,
                rack: row.rack.unwrap_or_else(|| "".into()),
                address: row.address,
                leaving: row.leaving,
            }),
            "endpoint" => vms.endpoints.push(EndpointSpec {
                name: row.name,
                service: row.service.unwrap_or_else(|| "".into()),
                address: row.address,
                slots: row.slots,
                leaving: row.leaving,
            }),
            _ => {}
        }
    }
    vms
}
