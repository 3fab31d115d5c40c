//! The scheduling logic of the dispatcher that owns a cell of workers: jobs and their steps, gangs,
//! placement permissions, preemption and admission.
//!
//! The crate performs no I/O and reads no clock. The caller passes the current time to every call
//! that depends on it.

mod call_budget;
mod first_start_tally;
mod fleet_error;
mod fleet_scheduler;
mod job_memory;
mod job_record;
mod job_request;
mod lost_contact;
mod lost_work;
mod memory_use;
mod pass_tally;
mod permission_counts;
mod queue_rules;
mod recorded_start;
mod report_tally;
mod run_command;
mod run_outcome;
mod scheduler_event;
mod share_limiter;
mod start_basis;
mod step_plan;
mod task_name;
mod wait_tally;
mod worker_info;
mod worker_list;
mod worker_record;
mod worker_report;

pub use self::call_budget::CallBudget;
pub use self::first_start_tally::FirstStartTally;
pub use self::fleet_error::FleetError;
pub use self::fleet_error::Result;
pub use self::fleet_scheduler::EvacuationProgress;
pub use self::fleet_scheduler::FENCES_PER_EPOCH;
pub use self::fleet_scheduler::FleetCounts;
pub use self::fleet_scheduler::FleetScheduler;
pub use self::fleet_scheduler::PlacementRound;
pub use self::fleet_scheduler::RecordWrite;
pub use self::fleet_scheduler::WorkerKey;
pub use self::job_record::JobPhase;
pub use self::job_record::JobRecord;
pub use self::job_record::TaskCrash;
pub use self::job_record::UnitProgress;
pub use self::job_request::JobRequest;
pub use self::job_request::JobSchedule;
pub use self::lost_contact::LostContact;
pub use self::lost_work::LossCause;
pub use self::lost_work::LossTally;
pub use self::lost_work::LostWork;
pub use self::lost_work::RunLoss;
pub use self::memory_use::MemoryUse;
pub use self::pass_tally::PassTally;
pub use self::permission_counts::PermissionCounts;
pub use self::queue_rules::PermissionCost;
pub use self::queue_rules::QueueRules;
pub use self::recorded_start::RecordedStart;
pub use self::report_tally::ReportTally;
pub use self::run_command::CallOrder;
pub use self::run_command::PermissionGrant;
pub use self::run_command::PermissionRequest;
pub use self::run_command::RequestValue;
pub use self::run_command::RunStart;
pub use self::run_command::RunStop;
pub use self::run_command::StartEffect;
pub use self::run_command::StartOutcome;
pub use self::run_command::StartTicket;
pub use self::run_outcome::RunOutcome;
pub use self::scheduler_event::SchedulerEvent;
pub use self::share_limiter::ShareLimiter;
pub use self::start_basis::StartBasis;
pub use self::step_plan::StepPlan;
pub use self::task_name::StepName;
pub use self::task_name::TaskName;
pub use self::wait_tally::WaitCause;
pub use self::wait_tally::WaitTally;
pub use self::worker_info::AccountLimit;
pub use self::worker_info::WorkerInfo;
pub use self::worker_list::EntryRevision;
pub use self::worker_list::WorkerList;
pub use self::worker_record::PossibleRuns;
pub use self::worker_record::WorkerRecord;
pub use self::worker_report::EndedRun;
pub use self::worker_report::RunningRun;
pub use self::worker_report::WorkerReport;

use std::time::Duration;

/// The time since boot. Unlike the monotonic clock, it advances while the VM is suspended.
pub type BootTime = Duration;
