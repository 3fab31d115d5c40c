//! Harness for integration tests and measurements: cells of real processes and stand-in services.

mod cell_addresses;
mod cell_plan;
mod cell_process;
mod client_connection;
mod client_crowd;
mod connection_load;
mod fault_injector;
mod fleet_cell;
mod fleet_load;
mod peak_usage;
mod process_end;
mod process_limits;
mod process_usage;
mod request_load;
mod run_ledger;
mod test_cell;
mod test_client;

pub use self::cell_addresses::CellAddresses;
pub use self::cell_plan::CellPlan;
pub use self::cell_plan::DomainPlan;
pub use self::cell_plan::OPERATOR_KEY;
pub use self::cell_plan::default_configuration;
pub use self::cell_process::CellProcess;
pub use self::cell_process::program_path;
pub use self::client_connection::ClientConnection;
pub use self::client_connection::RequestExchange;
pub use self::client_crowd::ClientCrowd;
pub use self::client_crowd::CrowdRequest;
pub use self::connection_load::ConnectionLoad;
pub use self::connection_load::SentRequest;
pub use self::fault_injector::Evacuation;
pub use self::fault_injector::FaultInjector;
pub use self::fault_injector::FaultPlan;
pub use self::fleet_cell::FLEET_HOST;
pub use self::fleet_cell::FLEET_KEY;
pub use self::fleet_cell::FleetCell;
pub use self::fleet_cell::OTHER_SERVICE;
pub use self::fleet_cell::ROTATED_KEY;
pub use self::fleet_cell::UNRESTRICTED_QUEUE;
pub use self::fleet_load::FleetLoad;
pub use self::fleet_load::SubmissionOutcome;
pub use self::peak_usage::PeakUsage;
pub use self::peak_usage::UsageWatch;
pub use self::process_end::ProcessEnd;
pub use self::process_limits::ProcessLimits;
pub use self::process_usage::ProcessUsage;
pub use self::request_load::RequestLoad;
pub use self::request_load::RequestOutcome;
pub use self::request_load::check_outcomes;
pub use self::request_load::summarize_outcomes;
pub use self::run_ledger::RunLedger;
pub use self::test_cell::TestCell;
pub use self::test_client::TestClient;
pub use self::test_client::TestResponse;

use std::time::Duration;
use std::time::Instant;

/// How long [`wait_until`] polls a condition.
///
/// Far above every latency target, so that a slow machine does not fail a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH).expect("a time after 1970");
    since.as_millis() as u64
}

/// Runs a future to completion on a new actix system.
pub fn run_test<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

/// Polls a condition until it holds and returns the elapsed time.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until(
    description: &str,
    condition: impl AsyncFnMut() -> bool,
) -> Duration {
    holds_in_time(condition).await.unwrap_or_else(|| {
        panic!("condition not met within {WAIT_TIMEOUT:?}: {description}")
    })
}

/// Polls a condition until it holds and returns the elapsed time, or `None` if it does not hold within
/// [`WAIT_TIMEOUT`].
pub async fn holds_in_time(mut condition: impl AsyncFnMut() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if condition().await {
            return Some(started.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    None
}
