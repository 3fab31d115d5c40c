//! The quarantine of workers on which tasks fail early.

use std::time::Duration;
use std::time::Instant;

use crate::WorkerKey;
use crate::WorkerTable;

/// How soon after its placement a task must fail for the failure to count against the worker.
pub(super) const EARLY_FAILURE: Duration = Duration::from_secs(5);
/// The factor by which each new start reduces the weight of older ones.
const DECAY: f64 = 0.9;
/// The minimum decayed number of failures for a quarantine.
const MIN_FAILURES: f64 = 2.5;
/// The minimum failure rate for a quarantine.
const MIN_RATE: f64 = 0.6;
/// The minimum ratio of a worker's failure rate to that of the other workers for a quarantine.
const FLEET_FACTOR: f64 = 3.0;
/// How long a quarantined worker gets no new tasks.
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);

/// Updates the failure rate of a worker with the outcome of a start, and quarantines the worker if its
/// rate is too high.
///
/// A quarantine halves the counts, so that the next one or two starts after it serve as probes.
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
        state.quarantined_until = Some(now + QUARANTINE_DURATION);
        state.starts /= 2.0;
        state.failures /= 2.0;
    }
}

/// Returns the common failure rate of all other workers.
fn fleet_rate(table: &WorkerTable, key: WorkerKey) -> f64 {
    let others = table.iter().filter(|&(other, _)| other != key);
    let (failures, starts) = others.fold((0.0, 0.0), |(failures, starts), (_, state)| {
        (failures + state.failures, starts + state.starts)
    });
    if starts == 0.0 { 0.0 } else { failures / starts }
}
