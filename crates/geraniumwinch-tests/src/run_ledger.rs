//! Record of what executors and workers ran, read from their `/account` endpoints.

use std::collections::BTreeMap;

use serde_json::Value;

/// The runs that the executors and workers of a cell have recorded.
#[derive(Debug, Default)]
pub struct RunLedger {
    /// The number of runs of each request, by its `Unique` header.
    pub requests: BTreeMap<String, u64>,
    /// How often an executor ran more requests than it has slots.
    pub over_slots: u64,
    /// How often a worker ran tasks beyond its capacity.
    pub overcommits: u64,
    /// The runs of each task, by job and index: start and end in milliseconds, and the outcome.
    pub tasks: BTreeMap<String, Vec<(u64, u64, String)>>,
}

impl RunLedger {
    /// Adds the `/account` report of an executor.
    pub fn add_executor(&mut self, report: &Value) {
        self.over_slots += report["over_slots"].as_u64().unwrap_or(0);
        for (unique, count) in report["runs"].as_object().into_iter().flatten() {
            *self.requests.entry(unique.clone()).or_default() +=
                count.as_u64().unwrap_or(0);
        }
    }

    /// Adds the `/account` report of a worker.
    pub fn add_worker(&mut self, report: &Value) {
        self.overcommits += report["overcommits"].as_u64().unwrap_or(0);
        for run in report["runs"].as_array().into_iter().flatten() {
            let attempt = run["task"].as_str().unwrap_or_default();
            let task = attempt.rsplit_once('/').map_or(attempt, |(task, _)| task);
            let started = run["started"].as_u64().unwrap_or(0);
            let ended = run["ended"].as_u64().unwrap_or(u64::MAX);
            let outcome = run["how"].as_str().unwrap_or_default().to_owned();
            self.tasks
                .entry(task.to_owned())
                .or_default()
                .push((started, ended, outcome));
        }
    }

    /// Returns the number of runs of a request.
    pub fn runs_of(&self, unique: &str) -> u64 {
        self.requests.get(unique).copied().unwrap_or(0)
    }

    /// Returns the tasks with two runs that overlap in time.
    pub fn overlapping_tasks(&self) -> Vec<&str> {
        let overlapping = |runs: &[(u64, u64, String)]| {
            let mut runs: Vec<(u64, u64)> =
                runs.iter().map(|run| (run.0, run.1)).collect();
            runs.sort_unstable();
            runs.windows(2).any(|pair| pair[1].0 < pair[0].1)
        };
        let tasks = self.tasks.iter().filter(|(_, runs)| overlapping(runs));
        tasks.map(|(task, _)| task.as_str()).collect()
    }

    /// Returns the maximum number of tasks that ran at the same time.
    pub fn most_running(&self) -> i64 {
        let mut changes: Vec<(u64, i64)> = Vec::new();
        for (started, ended, _) in self.tasks.values().flatten() {
            changes.push((*started, 1));
            changes.push((*ended, -1));
        }
        changes.sort_unstable();
        let mut running = 0;
        let counts = changes.into_iter().map(|(_, change)| {
            running += change;
            running
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the number of tasks with a successful run.
    pub fn succeeded(&self) -> usize {
        let has_succeeded =
            |runs: &&Vec<(u64, u64, String)>| runs.iter().any(|run| run.2 == "succeeded");
        self.tasks.values().filter(has_succeeded).count()
    }
}
