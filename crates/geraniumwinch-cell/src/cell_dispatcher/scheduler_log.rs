//! Log lines and counters of scheduler events.

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::LossTally;
use geraniumwinch_fleet::RunLoss;
use geraniumwinch_fleet::SchedulerEvent;

use crate::cell_metrics;

/// Logs work that was thrown away since the last line and updates the counters.
pub(super) fn log_lost_work(loss: RunLoss, tally: LossTally) {
    cell_metrics::count_lost_work(loss, tally);
    log_event!(
        Info,
        "work-lost",
        cause = loss.cause.as_str(),
        gang = loss.in_gang,
        runs = tally.runs,
        core_seconds = format!("{:.1}", tally.core_seconds)
    );
}

/// Logs a scheduler event and updates the counters.
pub(super) fn log_scheduler_event(event: &SchedulerEvent) {
    match event {
        SchedulerEvent::Ended { task, run, worker, outcome } => {
            cell_metrics::count_end(outcome.as_str());
            let end = outcome.as_str();
            log_event!(Info, "ended", task = task, run = run, worker = worker, end = end);
        }
        SchedulerEvent::Relisted { task, run, worker } => {
            log_event!(Info, "end-relisted", task = task, run = run, worker = worker);
        }
        SchedulerEvent::Expired { task, run, worker, age, beside } => {
            log_event!(
                Warn,
                "run-expired",
                task = task,
                run = run,
                worker = worker,
                age_ms = age.as_millis(),
                beside = beside
            );
        }
        SchedulerEvent::EndsListed { worker, all } => {
            log_event!(Warn, "ends-listed", worker = worker, all = all);
        }
        SchedulerEvent::Missing { task, run, worker } => {
            log_event!(Warn, "run-missing", task = task, run = run, worker = worker);
        }
        SchedulerEvent::Orphaned { task, run, worker, incarnation, placed_run } => {
            cell_metrics::count_orphan();
            let placed_run = placed_run.unwrap_or_default();
            log_event!(
                Warn,
                "run-orphaned",
                task = task,
                run = run,
                worker = worker,
                incarnation = incarnation,
                placed_run = placed_run
            );
        }
        SchedulerEvent::Outdated { worker, incarnation, age } => {
            log_event!(
                Warn,
                "report-outdated",
                worker = worker,
                incarnation = incarnation,
                age_ms = age.as_millis()
            );
        }
        SchedulerEvent::Crashed { task, run, worker, age, beside, suspected } => {
            cell_metrics::count_crash(*suspected);
            log_event!(
                Warn,
                "run-crashed",
                task = task,
                run = run,
                worker = worker,
                age_ms = age.as_millis(),
                beside = beside,
                suspected = suspected
            );
        }
        SchedulerEvent::GivenUp { job } => {
            log_event!(Warn, "job-given-up", job = job, reason = "crashes");
        }
        SchedulerEvent::Replaced { worker, address } => {
            log_event!(Warn, "worker-replaced", worker = worker, address = address);
        }
        SchedulerEvent::Departed { worker, runs } => {
            log_event!(Info, "worker-departed", worker = worker, runs = runs);
        }
        SchedulerEvent::Restarted { worker, former, incarnation } => {
            log_event!(
                Warn,
                "worker-restarted",
                worker = worker,
                former = former,
                incarnation = incarnation
            );
        }
        SchedulerEvent::Stalled { task, run, worker, percent, age } => {
            log_event!(
                Warn,
                "run-stalled",
                task = task,
                run = run,
                worker = worker,
                percent = percent,
                age_ms = age.as_millis()
            );
        }
        SchedulerEvent::ReservationLapsed { step, cpu_millis, held, reason } => {
            log_event!(
                Info,
                "reservation-lapsed",
                step = step,
                cpu_millis = cpu_millis,
                held_ms = held.as_millis(),
                reason = reason
            );
        }
        SchedulerEvent::Preempted { task, run, worker } => {
            log_event!(Info, "preempted", task = task, run = run, worker = worker);
        }
        SchedulerEvent::FirstPermission { wait } => {
            cell_metrics::record_permission_wait(*wait);
        }
        SchedulerEvent::FirstStart { wait } => cell_metrics::record_first_start(*wait),
        SchedulerEvent::JobEnded { job, queue, phase, took, allowed, waits } => {
            cell_metrics::count_job_end(phase);
            log_event!(
                Info,
                "job-ended",
                job = job,
                queue = queue,
                phase = phase,
                took_ms =
                    took.map_or_else(String::new, |took| took.as_millis().to_string()),
                allowed_ms = allowed.as_millis(),
                limit_ms = waits.account_limit.as_millis(),
                permission_ms = waits.permission.as_millis(),
                capacity_ms = waits.capacity.as_millis()
            );
        }
        SchedulerEvent::DurationsLearned { queue, gang, former, current } => {
            let former = former.unwrap_or_default();
            let ratio = current.unwrap_or_default();
            log_event!(
                Info,
                "durations-learned",
                queue = queue,
                gang = gang,
                known = current.is_some(),
                former = format!("{:.2}", former.typical),
                typical = format!("{:.2}", ratio.typical),
                favorable = format!("{:.2}", ratio.favorable),
                total = format!("{:.2}", ratio.total)
            );
        }
        SchedulerEvent::QueueChanged { queue, service, jobs } => {
            log_event!(
                Info,
                "queue-changed",
                queue = queue,
                service = service,
                jobs = jobs
            );
        }
        SchedulerEvent::Stranded { step, queue, service, reason } => {
            log_event!(
                Warn,
                "step-stranded",
                step = step,
                queue = queue,
                service = service,
                reason = reason
            );
        }
        SchedulerEvent::Quarantined { worker } => {
            log_event!(Warn, "worker-quarantined", worker = worker);
        }
    }
}
