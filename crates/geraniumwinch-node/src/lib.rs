//! A process of the system: HTTP entry, dispatcher, configuration publisher and peer communication.

mod allowance_balancer;
mod catalog_state;
mod config_sync;
mod dispatcher;
mod domain_map;
mod endpoint_exchange;
mod entry_server;
mod etcd_store;
mod evacuation_handlers;
mod evacuation_publisher;
mod evacuation_state;
mod forwarded_response;
mod held_slots;
mod http_client;
mod job_handlers;
mod journal;
mod member_table;
mod mirror_table;
mod node_error;
mod node_metrics;
mod node_shared;
mod node_supervisor;
mod operator_handlers;
mod owner_fence;
mod ownership;
mod peer_link;
mod peer_router;
mod pending_calls;
mod platform_store;
mod publish_request;
mod publisher;
mod refusal_response;
mod request_forwarder;
mod shared_lock;
mod slot_client;
mod store_keys;
mod supervised_loop;
mod vm_list;
mod worker_client;
mod worker_port;

pub use self::node_error::NodeError;
pub use self::node_error::Result;
pub use self::node_metrics::METRIC_ROWS;
pub use self::node_supervisor::run_node;

pub use geraniumwinch_core::SystemClock;
