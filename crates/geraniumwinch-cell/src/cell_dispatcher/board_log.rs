//! The log lines and counters of the board's decisions.

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BoardEvent;

use crate::cell_metrics;

/// Logs a decision of the board.
pub(super) fn log_board_event(event: &BoardEvent) {
    match event {
        BoardEvent::Ended { task, run, worker, end } => {
            cell_metrics::count_end(end.as_str());
            let end = end.as_str();
            log_event!(Info, "ended", task = task, run = run, worker = worker, end = end);
        }
        BoardEvent::Expired { task, run, worker } => {
            log_event!(Warn, "run-expired", task = task, run = run, worker = worker);
        }
        BoardEvent::Missing { task, run, worker } => {
            log_event!(Warn, "run-missing", task = task, run = run, worker = worker);
        }
        BoardEvent::Stalled { task, run, worker } => {
            log_event!(Warn, "run-stalled", task = task, run = run, worker = worker);
        }
        BoardEvent::Preempted { task, run, worker } => {
            log_event!(Info, "preempted", task = task, run = run, worker = worker);
        }
        BoardEvent::FirstStart { wait } => cell_metrics::record_first_start(*wait),
        BoardEvent::JobEnded { job, phase } => {
            cell_metrics::count_job_end(phase);
            log_event!(Info, "job-ended", job = job, phase = phase);
        }
        BoardEvent::Quarantined { worker } => {
            log_event!(Warn, "worker-quarantined", worker = worker);
        }
    }
}
