//! The metrics of a cell process.

use std::time::Duration;

use geraniumwinch_core::DurationClass;
use geraniumwinch_core::DurationRatio;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::SpeedTable;
use geraniumwinch_core::metric_rows;
use geraniumwinch_fleet::EvacuationProgress;
use geraniumwinch_fleet::FirstStartTally;
use geraniumwinch_fleet::FleetCounts;
use geraniumwinch_fleet::LossTally;
use geraniumwinch_fleet::PassTally;
use geraniumwinch_fleet::PermissionCounts;
use geraniumwinch_fleet::ReportTally;
use geraniumwinch_fleet::RunLoss;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::WorkKind;
use crate::request_tally::RequestTally;

metric_rows! {
    REFUSALS = "geraniumwinch_cell_refusals_total", "counter", "reason", "Callers' requests refused, by error kind.";
    CLOSED_CONNECTIONS = "geraniumwinch_cell_closed_connections_total", "counter", "", "Connections that waited for their clients and were closed for others, since the maximum number was open.";
    PANICS = "geraniumwinch_cell_panics_total", "counter", "task", "Panics, by the task of the process that they ended.";
    RETRIES = "geraniumwinch_cell_retries_total", "counter", "reason", "Repeated attempts, by what is repeated and why.";
    STARTS = "geraniumwinch_cell_starts_total", "counter", "outcome", "Orders to start a task, by outcome.";
    ENDS = "geraniumwinch_cell_ends_total", "counter", "end", "Runs that ended, by how.";
    ORPHANS = "geraniumwinch_cell_orphans_total", "counter", "", "Reports of runs that their tasks should not have.";
    CRASHES = "geraniumwinch_cell_run_crashes_total", "counter", "suspected", "Runs that were lost because their worker crashed, by whether they may have caused it.";
    JOB_ENDS = "geraniumwinch_cell_job_ends_total", "counter", "phase", "Jobs that ended, by how.";
    LOST_WORK = "geraniumwinch_cell_lost_core_milliseconds_total", "counter", "cause,gang", "Work thrown away in milliseconds of a core, by what ended the run or, where `gang` is true, the first lost member of its gang.";
    LOST_RUNS = "geraniumwinch_cell_lost_runs_total", "counter", "cause,gang", "Runs whose work was thrown away, by what ended them.";
    OWNERSHIPS = "geraniumwinch_cell_ownerships_total", "counter", "change", "Ownerships of the cell that this process took, resigned or lost.";
    EPOCH = "geraniumwinch_cell_epoch", "gauge", "", "Epoch of the ownership that this process holds, or 0.";
    CATALOG = "geraniumwinch_cell_catalog_version", "gauge", "", "Number of the configuration in force.";
    CATALOG_TIME = "geraniumwinch_cell_catalog_checked_timestamp_seconds", "gauge", "", "When the store last said which configuration is in force, in seconds since 1970.";
    LIST_TIME = "geraniumwinch_cell_workers_listed_timestamp_seconds", "gauge", "", "When the owner last read the list of workers, in seconds since 1970.";
    LIVE_JOBS = "geraniumwinch_cell_live_jobs", "gauge", "", "Jobs that are not ended, at the owner.";
    STRANDED = "geraniumwinch_cell_stranded_steps", "gauge", "", "Due steps that no listed worker could run, at the owner.";
    PLACED = "geraniumwinch_cell_placed_tasks", "gauge", "", "Tasks that may run, at the owner.";
    USABLE = "geraniumwinch_cell_usable_workers", "gauge", "", "Workers that take tasks, at the owner.";
    DURATION_RATIO = "geraniumwinch_cell_duration_ratio", "gauge", "queue, gang", "Learned ratio of durations to the clients' estimates for typical tasks of a queue, at the owner; 1 until enough ends are known.";
    DURATION_ENDS = "geraniumwinch_cell_duration_ends", "gauge", "queue, gang", "Ends that this owner has learned the ratio from.";
    SPEED_SPREAD = "geraniumwinch_cell_worker_speed_spread", "gauge", "", "Standard deviation of the logarithms of the workers' learned speeds, at the owner; 0 if they are alike.";
    SPEEDS_KNOWN = "geraniumwinch_cell_worker_speeds_known", "gauge", "", "Workers whose speeds are learned, at the owner.";
    LOST_CALLS = "geraniumwinch_cell_lost_worker_calls_ratio", "gauge", "", "Share of the latest calls to workers that got no response although the worker answered a later one, at the owner.";
    HEARTBEAT_TIMEOUT = "geraniumwinch_cell_heartbeat_timeout_seconds", "gauge", "", "Time after which this process misses the owner if a heartbeat gets no response.";
    EVACUATED = "geraniumwinch_cell_evacuated_domains", "gauge", "", "Failure domains that are evacuated, at the owner.";
    EVACUATED_SINCE = "geraniumwinch_cell_evacuated_since_timestamp_seconds", "gauge", "domain", "Since when the owner knows that a domain is evacuated, in seconds since 1970, or 0.";
    EVACUATED_RUNS = "geraniumwinch_cell_evacuated_runs", "gauge", "domain", "Tasks that may still run in an evacuated domain.";
    EVACUATED_UNCERTAIN = "geraniumwinch_cell_evacuated_uncertain_workers", "gauge", "domain", "Workers of an evacuated domain where runs of a former owner, or runs that are being stopped, may exist.";
    EVACUATION_TIME = "geraniumwinch_cell_evacuations_checked_timestamp_seconds", "gauge", "", "When the store last said which domains are evacuated, in seconds since 1970.";
    WITHHELD_SINCE = "geraniumwinch_cell_starts_withheld_since_timestamp_seconds", "gauge", "", "Since when the owner starts nothing because it does not know which domains are evacuated, in seconds since 1970, or 0.";
    BUSY = "geraniumwinch_cell_busy_microseconds_total", "counter", "work", "Time that the owner worked, by kind of work.";
    LAG = "geraniumwinch_cell_owner_lag_seconds", "gauge", "", "How late the owner's timers were at most in the last second.";
    PASS_STEPS = "geraniumwinch_cell_pass_steps_total", "counter", "state", "Waiting steps that passes visited, and those that they tried to place.";
    SEARCHED = "geraniumwinch_cell_searched_workers_total", "counter", "", "Workers that passes looked at for waiting steps.";
    STARTED = "geraniumwinch_cell_started_tasks_total", "counter", "lateness", "Tasks started, by whether their jobs could still meet their objective.";
    SUBMISSIONS = "geraniumwinch_cell_submissions_total", "counter", "outcome", "Jobs handed in at the owner, with repeated attempts: refused before the store was asked, stored, or neither.";
    REPORTS = "geraniumwinch_cell_worker_reports_total", "counter", "", "Reports of workers that the owner has processed.";
    REPORT_REQUESTS = "geraniumwinch_cell_report_requests_total", "counter", "", "Reports that the owner has requested before it sent a start.";
    REPORTED_ENDS = "geraniumwinch_cell_reported_ends_total", "counter", "known", "Ended runs that these reports listed, by whether an earlier one had listed them.";
    BEGUN = "geraniumwinch_cell_begun_jobs_total", "counter", "lateness", "Accepted jobs when their first task started, by whether they could still meet their objective.";
    STORE_TIME = "geraniumwinch_cell_commit_seconds", "histogram", "", "Time that a transaction of the journal takes in seconds.";
    ACCEPT_TIME = "geraniumwinch_cell_accept_seconds", "histogram", "", "Time from a job's arrival to its answer in seconds.";
    START_WAIT = "geraniumwinch_cell_first_start_seconds", "histogram", "", "Time from a job's acceptance until a worker says that a task runs in seconds.";
    PERMISSION_TIME = "geraniumwinch_cell_permission_seconds", "histogram", "", "Time that a question to the permission service takes in seconds.";
    PERMISSIONS = "geraniumwinch_cell_permissions_total", "counter", "state", "Workers that permission was requested for, permissions granted, used by a start, and lapsed unused.";
    PERMISSION_CALLS = "geraniumwinch_cell_permission_calls_total", "counter", "outcome", "Permission requests that failed, or were dropped before they were sent.";
    PERMISSION_WAIT = "geraniumwinch_cell_first_permission_seconds", "histogram", "", "Time from a job's first permission request to its first permission in seconds.";
    TAKEOVER_TIME = "geraniumwinch_cell_takeover_seconds", "histogram", "", "Time from a won ownership until the new owner decides in seconds.";
}

/// The histogram bucket bounds in seconds.
const BUCKETS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Installs the recorder and returns the handle that renders the metrics as text.
pub(crate) fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder.set_buckets(BUCKETS).expect("the bucket list is not empty");
    builder.install_recorder().expect("the recorder is installed only once")
}

/// Counts a refused client request.
pub(crate) fn count_refusal(kind: ErrorKind) {
    counter!(REFUSALS, "reason" => kind.response().name).increment(1);
}

/// Updates the share of calls to workers that got no response.
pub(crate) fn set_lost_calls(ratio: f64) {
    gauge!(LOST_CALLS).set(ratio);
}

/// Records after which time a heartbeat without a response makes the owner suspect.
pub(crate) fn set_heartbeat_timeout(timeout: Duration) {
    gauge!(HEARTBEAT_TIMEOUT).set(timeout.as_secs_f64());
}

/// Counts the owner's time by kind of work, and what its passes did.
pub(crate) fn count_work(
    busy: &[Duration; WorkKind::ALL.len()],
    lag: Duration,
    tally: &PassTally,
) {
    for (kind, time) in WorkKind::ALL.into_iter().zip(busy) {
        counter!(BUSY, "work" => kind.as_str()).increment(time.as_micros() as u64);
    }
    gauge!(LAG).set(lag.as_secs_f64());
    counter!(PASS_STEPS, "state" => "visited").increment(tally.visited);
    counter!(PASS_STEPS, "state" => "attempted").increment(tally.attempted);
    counter!(SEARCHED).increment(tally.searched);
    counter!(STARTED, "lateness" => "in_time").increment(tally.in_time);
    counter!(STARTED, "lateness" => "late").increment(tally.late);
    counter!(STARTED, "lateness" => "overdue").increment(tally.overdue);
}

/// Counts the submissions that the owner has served.
pub(crate) fn count_requests(tally: &RequestTally) {
    counter!(SUBMISSIONS, "outcome" => "refused").increment(tally.refused);
    counter!(SUBMISSIONS, "outcome" => "stored").increment(tally.stored);
    let others = tally.submissions.saturating_sub(tally.refused + tally.stored);
    counter!(SUBMISSIONS, "outcome" => "other").increment(others);
}

/// Counts what workers have reported, and how late jobs were when they started.
pub(crate) fn count_reports(reports: &ReportTally, starts: &FirstStartTally) {
    counter!(REPORTS).increment(reports.reports);
    counter!(REPORTED_ENDS, "known" => "false").increment(reports.ends);
    counter!(REPORTED_ENDS, "known" => "true").increment(reports.known_ends);
    counter!(BEGUN, "lateness" => "in_time").increment(starts.in_time);
    counter!(BEGUN, "lateness" => "late").increment(starts.late);
    counter!(BEGUN, "lateness" => "overdue").increment(starts.overdue);
}

/// Counts a connection that was closed for another one.
pub(crate) fn count_closed_connection() {
    counter!(CLOSED_CONNECTIONS).increment(1);
}

/// Counts a panic.
pub(crate) fn count_panic(task: &'static str) {
    counter!(PANICS, "task" => task).increment(1);
}

/// Counts a retry.
pub(crate) fn count_retry(reason: &'static str) {
    counter!(RETRIES, "reason" => reason).increment(1);
}

/// Counts a report that a start command waits for.
pub(crate) fn count_report_request() {
    counter!(REPORT_REQUESTS).increment(1);
}

/// Counts a command to start a task.
pub(crate) fn count_start(outcome: &'static str) {
    counter!(STARTS, "outcome" => outcome).increment(1);
}

/// Counts the end of a run.
pub(crate) fn count_end(end: &'static str) {
    counter!(ENDS, "end" => end).increment(1);
}

/// Counts a report of a run that its task should not have.
pub(crate) fn count_orphan() {
    counter!(ORPHANS).increment(1);
}

/// Counts a run that was lost because its worker crashed.
pub(crate) fn count_crash(suspected: bool) {
    counter!(CRASHES, "suspected" => suspected.to_string()).increment(1);
}

/// Counts work that was thrown away.
pub(crate) fn count_lost_work(loss: RunLoss, tally: LossTally) {
    let (cause, gang) = (loss.cause.as_str(), loss.in_gang.to_string());
    let core_millis = (tally.core_seconds * 1000.0).round() as u64;
    counter!(LOST_WORK, "cause" => cause, "gang" => gang.clone()).increment(core_millis);
    counter!(LOST_RUNS, "cause" => cause, "gang" => gang).increment(tally.runs);
}

/// Counts the end of a job.
pub(crate) fn count_job_end(phase: &'static str) {
    counter!(JOB_ENDS, "phase" => phase).increment(1);
}

/// Counts a change of ownership and sets the epoch, which is 0 if this process is not the owner.
pub(crate) fn count_ownership(change: &'static str, epoch: u64) {
    counter!(OWNERSHIPS, "change" => change).increment(1);
    gauge!(EPOCH).set(epoch as f64);
}

/// Sets the version of the current configuration.
pub(crate) fn set_catalog_version(version: u64) {
    gauge!(CATALOG).set(version as f64);
}

/// Sets the time at which the store last returned the configuration.
pub(crate) fn set_catalog_checked(unix_time: Duration) {
    gauge!(CATALOG_TIME).set(unix_time.as_secs_f64());
}

/// Sets the time at which the list of workers was last read.
pub(crate) fn set_workers_listed(unix_time: Duration) {
    gauge!(LIST_TIME).set(unix_time.as_secs_f64());
}

/// Sets the number of evacuated domains.
pub(crate) fn set_evacuated_domains(domains: usize) {
    gauge!(EVACUATED).set(domains as f64);
}

/// Sets the time since which a domain is evacuated.
pub(crate) fn set_evacuated_since(domain: &Name, unix_time: Duration) {
    let domain = domain.to_string();
    gauge!(EVACUATED_SINCE, "domain" => domain).set(unix_time.as_secs_f64());
}

/// Sets what is left in an evacuated domain.
pub(crate) fn set_evacuation(progress: &EvacuationProgress) {
    let domain = progress.domain.to_string();
    gauge!(EVACUATED_RUNS, "domain" => domain.clone()).set(progress.runs as f64);
    let uncertain = progress.uncertain_workers as f64;
    gauge!(EVACUATED_UNCERTAIN, "domain" => domain).set(uncertain);
}

/// Resets the gauges of a domain that is no longer evacuated.
pub(crate) fn clear_evacuation(domain: &Name) {
    let label = domain.to_string();
    gauge!(EVACUATED_SINCE, "domain" => label.clone()).set(0.0);
    gauge!(EVACUATED_RUNS, "domain" => label.clone()).set(0.0);
    gauge!(EVACUATED_UNCERTAIN, "domain" => label).set(0.0);
}

/// Sets the time at which the store last confirmed the evacuated domains.
pub(crate) fn set_evacuations_checked(unix_time: Duration) {
    gauge!(EVACUATION_TIME).set(unix_time.as_secs_f64());
}

/// Sets the time since which all starts are withheld; zero if they are not.
pub(crate) fn set_starts_withheld(unix_time: Duration) {
    gauge!(WITHHELD_SINCE).set(unix_time.as_secs_f64());
}

/// Records the time from a job's acceptance to its first start.
pub(crate) fn record_first_start(wait: Duration) {
    histogram!(START_WAIT).record(wait.as_secs_f64());
}

/// Sets the owner's gauges of jobs, tasks and workers.
pub(crate) fn set_counts(counts: FleetCounts, stranded: usize) {
    gauge!(LIVE_JOBS).set(counts.live_jobs as f64);
    gauge!(STRANDED).set(stranded as f64);
    gauge!(PLACED).set(counts.placed as f64);
    gauge!(USABLE).set(counts.usable_workers as f64);
}

/// Sets the gauges of what the owner has learned of a queue.
pub(crate) fn set_durations(
    class: &DurationClass,
    ratio: Option<DurationRatio>,
    ends: u64,
) {
    let queue = class.queue.to_string();
    let gang = if class.gang { "true" } else { "false" };
    let typical = ratio.unwrap_or_default().typical;
    gauge!(DURATION_RATIO, "queue" => queue.clone(), "gang" => gang).set(typical);
    gauge!(DURATION_ENDS, "queue" => queue, "gang" => gang).set(ends as f64);
}

/// Sets the gauges of what the owner has learned of its workers.
pub(crate) fn set_speeds(speeds: &SpeedTable) {
    gauge!(SPEED_SPREAD).set(speeds.spread());
    gauge!(SPEEDS_KNOWN).set(speeds.known_workers() as f64);
}

/// Records the duration of a journal transaction.
pub(crate) fn record_commit(time: Duration) {
    histogram!(STORE_TIME).record(time.as_secs_f64());
}

/// Records the time from a job's submission to its response.
pub(crate) fn record_accept(time: Duration) {
    histogram!(ACCEPT_TIME).record(time.as_secs_f64());
}

/// Records the duration of a call to the permission service.
pub(crate) fn record_permission_call(time: Duration) {
    histogram!(PERMISSION_TIME).record(time.as_secs_f64());
}

/// Counts permissions and the requests that yielded none.
pub(crate) fn count_permissions(added: &PermissionCounts) {
    counter!(PERMISSIONS, "state" => "asked").increment(added.asked);
    counter!(PERMISSIONS, "state" => "granted").increment(added.granted);
    counter!(PERMISSIONS, "state" => "used").increment(added.used);
    counter!(PERMISSIONS, "state" => "lapsed").increment(added.lapsed);
    counter!(PERMISSION_CALLS, "outcome" => "failed").increment(added.failed);
    counter!(PERMISSION_CALLS, "outcome" => "dropped").increment(added.dropped);
}

/// Records the time from a job's first permission request to its first permission.
pub(crate) fn record_permission_wait(wait: Duration) {
    histogram!(PERMISSION_WAIT).record(wait.as_secs_f64());
}

/// Records the duration of a takeover.
pub(crate) fn record_takeover(time: Duration) {
    histogram!(TAKEOVER_TIME).record(time.as_secs_f64());
}
