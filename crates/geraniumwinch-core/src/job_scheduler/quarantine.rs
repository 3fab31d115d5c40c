//! Workers that fail what they start.

use std::time::Duration;
use std::time::Instant;

use crate::WorkerKey;
use crate::WorkerTable;

/// The time after its start within which a failure is blamed on the worker.
pub(super) const EARLY_FAILURE: Duration = Duration::from_secs(5);
/// The factor by which older starts count less with each new one.
const DECAY: f64 = 0.9;
/// The decayed number of failures that it takes to quarantine a worker.
const MIN_FAILURES: f64 = 2.5;
/// The failure rate that it takes to quarantine a worker.
const MIN_RATE: f64 = 0.6;
/// How many times the failure rate of the other workers it takes to quarantine a worker.
const FLEET_FACTOR: f64 = 3.0;
/// The time for which a worker gets no new work.
const QUARANTINE: Duration = Duration::from_secs(30);

/// Includes the outcome of a start in a worker's failure rate, and quarantines it if it stands out.
///
/// After the quarantine the counts are halved, so that the next start or two serve as probes.
pub(super) fn observe_start(
    table: &mut WorkerTable,
    key: WorkerKey,
    failed: bool,
    now: Instant,
) {
    let fleet = fleet_rate(table, key);
    let Some(state) = table.get_mut(key) else { return };
    state.starts = state.starts * DECAY + 1.0;
    state.failures = state.failures * DECAY + if failed { 1.0 } else { 0.0 };
    let rate = state.failures / state.starts;
    if failed
        && state.failures >= MIN_FAILURES
        && rate >= MIN_RATE
        && rate >= FLEET_FACTOR * fleet
    {
        state.quarantined_until = Some(now + QUARANTINE);
        state.starts /= 2.0;
        state.failures /= 2.0;
    }
}

/// Returns the failure rate of all other workers.
fn fleet_rate(table: &WorkerTable, key: WorkerKey) -> f64 {
    let others = table.iter().filter(|&(other, _)| other != key);
    let (failures, starts) = others.fold((0.0, 0.0), |(failures, starts), (_, state)| {
        (failures + state.failures, starts + state.starts)
    });
    if starts == 0.0 { 0.0 } else { failures / starts }
}
