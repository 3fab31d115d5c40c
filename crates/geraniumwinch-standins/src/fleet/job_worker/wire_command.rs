//! Commands to a worker.

use serde::Deserialize;

/// A start command, a stop command or a hold call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WireCommand {
    pub(super) task: String,
    pub(super) run: u64,
    /// `MILLISECONDS OUTCOME`: the run time of the task, and its outcome `done`, `failed` or `crashes`,
    /// where the first task of a step crashes its worker and the others are done; the word
    /// `unrestricted` follows if the queue requires no permission.
    pub(super) spec: String,
    pub(super) deadline_ms: u64,
    pub(super) fencing_token: u64,
    pub(super) ticket: Option<String>,
    pub(super) last_seen: u64,
    pub(super) wait_ms: u64,
}
