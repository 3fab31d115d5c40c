//! Leader election, job journal, worker commands and client requests of a cell.
//!
//! A cell is a group of workers that one process at a time owns. The owner schedules all tasks of
//! the cell; every process accepts client requests and forwards them to the owner. State that has
//! to survive a process is kept in the platform's store.

mod boot_clock;
mod call_client;
mod catalog;
mod catalog_watch;
mod cell_dispatcher;
mod cell_error;
mod cell_metrics;
mod cell_node;
mod cell_ports;
mod cell_settings;
mod command_sender;
mod evacuation_watch;
mod http_listener;
mod member_table;
mod owner_authority;
mod owner_election;
mod owner_record;
mod owner_watch;
mod peer_message;
mod peer_service;
mod permission_queue;
mod record_journal;
mod record_store;
mod request_forwarder;
mod tracked_body;
mod vm_size;
mod worker_gateway;
mod worker_loop;

pub use self::boot_clock::BootClock;
pub use self::boot_clock::CellClock;
pub use self::call_client::CallClient;
pub use self::call_client::CallRequest;
pub use self::call_client::CallResponse;
pub use self::catalog::CatalogAccount;
pub use self::catalog::CatalogQueue;
pub use self::catalog::CatalogReader;
pub use self::catalog::FetchedCatalog;
pub use self::catalog::JobCatalog;
pub use self::catalog::RequestLimits;
pub use self::cell_error::CallError;
pub use self::cell_error::CellError;
pub use self::cell_error::Result;
pub use self::cell_metrics::METRIC_ROWS;
pub use self::cell_node::CellNode;
pub use self::cell_ports::CellPorts;
pub use self::cell_settings::CellSettings;
pub use self::evacuation_watch::EvacuationReader;
pub use self::http_listener::HttpHandler;
pub use self::http_listener::HttpListener;
pub use self::http_listener::HttpRequest;
pub use self::http_listener::HttpResponse;
pub use self::record_store::CommitOutcome;
pub use self::record_store::RecordStore;
pub use self::record_store::StoreChange;
pub use self::record_store::StoreItem;
pub use self::record_store::StorePage;
pub use self::record_store::StoreTransaction;
pub use self::record_store::StoreWrite;
pub use self::record_store::WatchOutcome;
pub use self::request_forwarder::JobStatus;
pub use self::request_forwarder::JobSubmission;
pub use self::request_forwarder::RequestForwarder;
pub use self::vm_size::VmSize;
pub use self::worker_gateway::CommandError;
pub use self::worker_gateway::CommandResult;
pub use self::worker_gateway::PermissionService;
pub use self::worker_gateway::PollCommand;
pub use self::worker_gateway::StartCommand;
pub use self::worker_gateway::WorkerDirectory;
pub use self::worker_gateway::WorkerGateway;
pub use self::worker_gateway::WorkerTarget;
