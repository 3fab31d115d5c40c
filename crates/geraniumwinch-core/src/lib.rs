//! The scheduling logic of one failure domain: endpoint slots, team shares and limits, job placement
//! and idempotency records.
//!
//! The crate performs no I/O. Apart from [`SystemClock`], it does not read a clock either: the caller
//! passes the current time to every call that depends on it.

mod allowance_table;
mod backoff;
mod crash_history;
mod decay;
mod duration_model;
mod endpoint_table;
mod error_kind;
mod error_response;
mod event_log;
mod grant_holder;
mod home_domain;
mod job_id;
mod job_scheduler;
mod job_spec;
mod metric_row;
mod ratio_estimate;
mod record_table;
mod resource_vector;
mod retry_budget;
mod run_crash;
mod run_state;
mod scaled_time;
mod slot_allocator;
mod speed_table;
mod system_clock;
mod task_id;
mod team_ledger;
mod vm_table;
mod worker_speed;
mod worker_table;

pub use self::allowance_table::AllowanceTable;
pub use self::allowance_table::AllowanceTransfer;
pub use self::backoff::RetryBackoff;
pub use self::crash_history::CrashHistory;
pub use self::duration_model::DurationClass;
pub use self::duration_model::DurationModel;
pub use self::endpoint_table::EndpointKey;
pub use self::endpoint_table::EndpointSpec;
pub use self::endpoint_table::EndpointTable;
pub use self::error_kind::ErrorKind;
pub use self::error_response::ErrorResponse;
pub use self::event_log::quote_value;
pub use self::grant_holder::GrantHolder;
pub use self::home_domain::home_domain;
pub use self::job_id::JobId;
pub use self::job_scheduler::JobScheduler;
pub use self::job_scheduler::JobView;
pub use self::job_scheduler::ReportedState;
pub use self::job_scheduler::SchedulerCommand;
pub use self::job_scheduler::TaskOutcome;
pub use self::job_scheduler::TaskReport;
pub use self::job_spec::JobKind;
pub use self::job_spec::JobSpec;
pub use self::metric_row::MetricRow;
pub use self::ratio_estimate::DurationRatio;
pub use self::ratio_estimate::RatioChange;
pub use self::record_table::RecordDigest;
pub use self::record_table::RecordLookup;
pub use self::record_table::RecordState;
pub use self::record_table::RecordTable;
pub use self::record_table::StoredResponse;
pub use self::resource_vector::ResourceVector;
pub use self::retry_budget::RetryBudget;
pub use self::run_crash::RunCrash;
pub use self::run_state::RunState;
pub use self::scaled_time::scaled_time;
pub use self::slot_allocator::AdoptedGrant;
pub use self::slot_allocator::GrantOffer;
pub use self::slot_allocator::GrantTicket;
pub use self::slot_allocator::QueuePolicy;
pub use self::slot_allocator::SlotAllocator;
pub use self::slot_allocator::SlotOutcome;
pub use self::slot_allocator::SlotRequest;
pub use self::speed_table::SpeedTable;
pub use self::system_clock::NodeClock;
pub use self::system_clock::SystemClock;
pub use self::task_id::TaskId;
pub use self::team_ledger::TeamKey;
pub use self::team_ledger::TeamLedger;
pub use self::team_ledger::TeamPolicy;
pub use self::team_ledger::TeamUsage;
pub use self::worker_speed::WorkerSpeed;
pub use self::worker_table::WorkerKey;
pub use self::worker_table::WorkerSpec;
pub use self::worker_table::WorkerTable;

pub use log;

use std::sync::Arc;

/// A shared, immutable name, for example of a team, queue, failure domain, VM or endpoint.
pub type Name = Arc<str>;
