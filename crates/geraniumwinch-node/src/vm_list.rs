//! The platform's VM list.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::EndpointSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::WorkerSpec;
use serde::Deserialize;

use crate::NodeError;
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

/// A VM list that is served as JSON.
pub(crate) struct HttpVmList {
    client: HttpClient,
    url: String,
    cached: Rc<RefCell<Option<(String, DomainVms)>>>,
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

/// The response of the VM list.
#[derive(Debug, Deserialize)]
struct VmRows {
    vms: Vec<VmRow>,
}

impl HttpVmList {
    /// Creates a client for the list at a URL.
    pub(crate) fn new(client: HttpClient, url: &str) -> Self {
        HttpVmList { client, url: url.to_owned(), cached: Rc::default() }
    }
}

impl VmList for HttpVmList {
    fn read(&self, domain: &Name) -> LocalBoxFuture<'static, Result<DomainVms>> {
        let client = self.client.clone();
        let url = format!("{}?domain={domain}", self.url);
        let domain = domain.clone();
        let cached = self.cached.clone();
        async move {
            let known_tag = cached.borrow().as_ref().map(|(tag, _)| tag.clone());
            let response = client.get_if_changed("VM list", &url, known_tag).await?;
            let Some((response, tag)) = response else {
                let vms = cached.borrow().as_ref().map(|(_, vms)| vms.clone());
                return Ok(vms.unwrap_or_default());
            };
            let rows: VmRows = serde_json::from_value(response).map_err(|error| {
                NodeError::Platform { service: "VM list", message: error.to_string() }
            })?;
            let vms = group_by_kind(rows, &domain);
            *cached.borrow_mut() = tag.map(|tag| (tag, vms.clone()));
            Ok(vms)
        }
        .boxed_local()
    }
}

/// Separates the VMs of a domain by kind; unknown kinds are ignored.
fn group_by_kind(rows: VmRows, domain: &Name) -> DomainVms {
    let mut vms = DomainVms::default();
    for row in rows.vms.into_iter().filter(|row| row.domain == *domain) {
        match row.kind.as_str() {
            "worker" => vms.workers.push(WorkerSpec {
                name: row.name,
                rack: row.rack.unwrap_or_else(|| "".into()),
                address: row.address,
                capacity: ResourceVector {
                    cpu_millis: row.cpu_millis,
                    memory_bytes: row.memory_bytes,
                    accelerators: row.accelerators,
                },
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
