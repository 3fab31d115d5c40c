//! The metrics of a process.

use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::metric_rows;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

metric_rows! {
    REFUSALS = "geraniumwinch_refusals_total", "counter", "reason", "Calls refused, by error kind.";
    RETRIES = "geraniumwinch_retries_total", "counter", "reason", "Repeated attempts, by the error kind that caused them.";
    REQUESTS = "geraniumwinch_requests_total", "counter", "", "Requests that were answered by an endpoint.";
    MESSAGES = "geraniumwinch_peer_messages_total", "counter", "fate", "Peer messages, by whether they were sent, dropped, refused or late.";
    MESSAGE_BYTES = "geraniumwinch_peer_bytes_total", "counter", "", "Bytes of peer messages sent.";
    STORE_CALLS = "geraniumwinch_store_calls_total", "counter", "fate", "Calls on the store, by whether they were answered or failed.";
    TAKEOVERS = "geraniumwinch_takeovers_total", "counter", "", "Ownerships of the failure domain that this process took.";
    STARTS = "geraniumwinch_task_starts_total", "counter", "fate", "Start commands, by whether they were confirmed, refused or lost.";
    STOPS = "geraniumwinch_task_stops_total", "counter", "", "Stop commands.";
    GRANTS = "geraniumwinch_grants_total", "counter", "", "Slots granted.";
    CONFIG_REVISION = "geraniumwinch_config_revision", "gauge", "", "Revision of the configuration in force.";
    OWNER_EPOCH = "geraniumwinch_owner_epoch", "gauge", "", "Epoch of the ownership that this process holds, or 0.";
    EVACUATED_SINCE = "geraniumwinch_evacuated_since_timestamp_seconds", "gauge", "", "When the evacuation of the failure domain that this process owns was requested, in seconds since 1970, or 0.";
    WITHHELD_TASKS = "geraniumwinch_withheld_tasks", "gauge", "", "Waiting tasks that the evacuation of the failure domain withholds.";
    TEAM_RUNNING = "geraniumwinch_team_running", "gauge", "team", "Running tasks and requests of a team in the domain.";
    TEAM_ALLOWANCE = "geraniumwinch_team_allowance", "gauge", "team", "Tasks and requests that a team may run in the domain.";
    SLOT_WAIT = "geraniumwinch_slot_wait_seconds", "histogram", "", "Time from a request's arrival to its slot in seconds.";
    REQUEST_TIME = "geraniumwinch_request_seconds", "histogram", "", "Time from a request's arrival to the head of its answer in seconds.";
    DECISION_TIME = "geraniumwinch_decision_seconds", "histogram", "", "Time that the dispatcher spends on one message in seconds.";
    JOURNAL_TIME = "geraniumwinch_journal_seconds", "histogram", "", "Time that a batch of the journal takes in seconds.";
}

/// The upper bounds of the histogram buckets in seconds.
const BUCKETS: &[f64] = &[
    0.000_05, 0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Installs the recorder and returns the handle that renders the metrics as text.
pub(crate) fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder.set_buckets(BUCKETS).expect("the list of buckets is not empty");
    builder.install_recorder().expect("the recorder is installed once")
}

/// Counts a refusal.
pub(crate) fn count_refusal(kind: ErrorKind) {
    counter!(REFUSALS, "reason" => kind.response().name).increment(1);
}

/// Counts a retry.
pub(crate) fn count_retry(kind: ErrorKind) {
    counter!(RETRIES, "reason" => kind.response().name).increment(1);
}

/// Counts a request that an endpoint responded to.
pub(crate) fn count_request(time: Duration) {
    counter!(REQUESTS).increment(1);
    histogram!(REQUEST_TIME).record(time.as_secs_f64());
}

/// Counts a peer message by its outcome.
pub(crate) fn count_message(outcome: &'static str) {
    counter!(MESSAGES, "fate" => outcome).increment(1);
}

/// Counts peer messages that were not delivered, or may not have been.
pub(crate) fn count_dropped(messages: u64) {
    counter!(MESSAGES, "fate" => "dropped").increment(messages);
}

/// Counts a sent peer message and its size.
pub(crate) fn count_sent(bytes: usize) {
    count_message("sent");
    counter!(MESSAGE_BYTES).increment(bytes as u64);
}

/// Counts a call to the store.
pub(crate) fn count_store_call(succeeded: bool) {
    let outcome = if succeeded { "answered" } else { "failed" };
    counter!(STORE_CALLS, "fate" => outcome).increment(1);
}

/// Counts a takeover and sets the epoch.
pub(crate) fn count_takeover(epoch: u64) {
    counter!(TAKEOVERS).increment(1);
    set_owner_epoch(epoch);
}

/// Sets the epoch of the ownership that this process holds, or 0.
pub(crate) fn set_owner_epoch(epoch: u64) {
    gauge!(OWNER_EPOCH).set(epoch as f64);
}

/// Counts a start command by its outcome.
pub(crate) fn count_start(outcome: &'static str) {
    counter!(STARTS, "fate" => outcome).increment(1);
}

pub(crate) fn count_stop() {
    counter!(STOPS).increment(1);
}

pub(crate) fn count_grant() {
    counter!(GRANTS).increment(1);
}

/// Sets the revision of the configuration in force.
pub(crate) fn set_config_revision(revision: u64) {
    gauge!(CONFIG_REVISION).set(revision as f64);
}

/// Sets since when the owned domain is evacuated, as Unix time in milliseconds, and how many of its
/// tasks wait for that reason.
pub(crate) fn set_evacuation(since_ms: Option<u64>, waiting: usize) {
    gauge!(EVACUATED_SINCE).set(since_ms.unwrap_or(0) as f64 / 1000.0);
    gauge!(WITHHELD_TASKS).set(waiting as f64);
}

/// Sets the numbers of a team's running tasks and requests and of those that it may run.
pub(crate) fn set_team_usage(team: &str, running: u32, allowance: u32) {
    gauge!(TEAM_RUNNING, "team" => team.to_owned()).set(f64::from(running));
    gauge!(TEAM_ALLOWANCE, "team" => team.to_owned()).set(f64::from(allowance));
}

pub(crate) fn record_slot_wait(time: Duration) {
    histogram!(SLOT_WAIT).record(time.as_secs_f64());
}

/// Records how long the dispatcher processed a message.
pub(crate) fn record_decision(time: Duration) {
    histogram!(DECISION_TIME).record(time.as_secs_f64());
}

/// Records how long a journal batch took.
pub(crate) fn record_journal(time: Duration) {
    histogram!(JOURNAL_TIME).record(time.as_secs_f64());
}
