//! Reports of what the owner does, to the log and the metrics.

use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;

use crate::WorkKind;
use crate::cell_metrics;

use super::CellDispatcher;
use super::scheduler_log::log_lost_work;

impl CellDispatcher {
    /// Logs the scheduler's counts and updates the metrics.
    pub(super) fn report_counts(&self, now: BootTime) {
        let unix_time = self.ports.clock.unix_time();
        let stranded = self.scheduler.borrow_mut().update_stranded_steps(unix_time);
        let counts = self.scheduler.borrow().counts(now);
        cell_metrics::set_counts(counts, stranded);
        cell_metrics::set_lost_calls(self.sender.loss_ratio());
        self.report_learning();
        self.evacuations.report_progress(now);
        let (passes, busy) = self.pacing.borrow_mut().take();
        log_event!(
            Info,
            "board",
            live_jobs = counts.live_jobs,
            job_kilobytes = self.scheduler.borrow().memory_use().total() / 1000,
            max_job_kilobytes = self.job_bytes() / 1000,
            stranded_steps = stranded,
            placed = counts.placed,
            usable_workers = counts.usable_workers,
            workers = counts.workers,
            used = format!("{:.2}", counts.used),
            running = format!("{:.2}", counts.running),
            passes = passes,
            pass_ms = busy.as_millis(),
            backlog = format!("{:.2}", self.scheduler.borrow().backlog()),
            waiting_commands = self.sender.waiting_commands(),
            lost_calls = format!("{:.3}", self.sender.loss_ratio())
        );
        self.report_work();
        let lost_work = self.scheduler.borrow_mut().take_lost_work();
        lost_work.into_iter().for_each(|(loss, tally)| log_lost_work(loss, tally));
    }

    /// Records how late a timer was.
    pub(super) fn record_lag(&self, lag: Duration) {
        self.lag.set(self.lag.get().max(lag));
    }

    /// Logs and counts what the time since the last report was spent on, and what passes did in it.
    fn report_work(&self) {
        let lag = self.lag.take();
        let busy = WorkKind::ALL.map(|kind| self.ports.meter.take(kind));
        let tally = self.scheduler.borrow_mut().take_pass_tally();
        cell_metrics::count_work(&busy, lag, &tally);
        let [_, clients, peers, commands, polls, permissions, records, parts @ ..] =
            busy.map(|time| time.as_millis());
        log_event!(
            Info,
            "work",
            lag_ms = lag.as_millis(),
            clients_ms = clients,
            peers_ms = peers,
            commands_ms = commands,
            polls_ms = polls,
            permissions_ms = permissions,
            records_ms = records,
            visited = tally.visited,
            attempted = tally.attempted,
            searched = tally.searched,
            started_in_time = tally.in_time,
            started_late = tally.late,
            started_overdue = tally.overdue
        );
        self.report_requests(parts);
    }

    /// Logs and counts the requests that were served since the last report, what workers reported, and
    /// how late jobs started. `parts` is the time in milliseconds spent on submissions, lookups and
    /// heartbeats.
    fn report_requests(&self, parts: [u128; 3]) {
        let requests = self.requests.take();
        let (reports, starts) = {
            let mut scheduler = self.scheduler.borrow_mut();
            (scheduler.take_report_tally(), scheduler.take_first_start_tally())
        };
        cell_metrics::count_requests(&requests);
        cell_metrics::count_reports(&reports, &starts);
        let [submissions, lookups, heartbeats] = parts;
        log_event!(
            Info,
            "requests",
            submissions = requests.submissions,
            submissions_ms = submissions,
            refused = requests.refused,
            stored = requests.stored,
            storing_ms = requests.average_storing().as_millis(),
            lookups = requests.lookups,
            lookups_ms = lookups,
            heartbeats = requests.heartbeats,
            heartbeats_ms = heartbeats
        );
        log_event!(
            Info,
            "reports",
            reports = reports.reports,
            running = reports.running,
            ends = reports.ends,
            known_ends = reports.known_ends,
            begun_in_time = starts.in_time,
            begun_late = starts.late,
            begun_overdue = starts.overdue,
            begin_ms = starts.average_wait().as_millis()
        );
    }

    /// Updates the metrics of what the scheduler has learned.
    fn report_learning(&self) {
        let scheduler = self.scheduler.borrow();
        for (class, ratio, ends) in scheduler.learned_durations() {
            cell_metrics::set_durations(class, ratio, ends);
        }
        cell_metrics::set_speeds(scheduler.worker_speeds());
    }
}
