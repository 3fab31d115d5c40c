//! What the stand-ins say of what ran.

use std::collections::BTreeMap;

use serde_json::Value;

/// What the executors and workers of a cell have seen.
#[derive(Debug, Default)]
pub struct RunLedger {
    /// The number of runs of each request, by its unique mark.
    pub requests: BTreeMap<String, u64>,
    /// The number of times that an executor ran more than its slots allow.
    pub over_slots: u64,
    /// The number of times that a worker ran more than it can hold.
    pub overcommits: u64,
    /// The runs of each task, by job and index: start, end and how, in milliseconds.
    pub tasks: BTreeMap<String, Vec<(u64, u64, String)>>,
}

impl RunLedger {
    /// Adds the account of an executor.
    pub fn add_executor(&mut self, account: &Value) {
        self.over_slots += account["over_slots"].as_u64().unwrap_or(0);
        for (unique, count) in account["runs"].as_object().into_iter().flatten() {
            *self.requests.entry(unique.clone()).or_default() +=
                count.as_u64().unwrap_or(0);
        }
    }

    /// Adds the account of a worker.
    pub fn add_worker(&mut self, account: &Value) {
        self.overcommits += account["overcommits"].as_u64().unwrap_or(0);
        for run in account["runs"].as_array().into_iter().flatten() {
            let attempt = run["task"].as_str().unwrap_or_default();
            let task = attempt.rsplit_once('/').map_or(attempt, |(task, _)| task);
            let started = run["started"].as_u64().unwrap_or(0);
            let ended = run["ended"].as_u64().unwrap_or(u64::MAX);
            let how = run["how"].as_str().unwrap_or_default().to_owned();
            self.tasks.entry(task.to_owned()).or_default().push((started, ended, how));
        }
    }

    /// Returns the number of runs of a request.
    pub fn runs_of(&self, unique: &str) -> u64 {
        self.requests.get(unique).copied().unwrap_or(0)
    }

    /// Returns the tasks that ran in two places at the same time.
    pub fn overlapping_tasks(&self) -> Vec<&str> {
        let doubled = |runs: &[(u64, u64, String)]| {
            let mut runs: Vec<(u64, u64)> =
                runs.iter().map(|run| (run.0, run.1)).collect();
            runs.sort_unstable();
            runs.windows(2).any(|pair| pair[1].0 < pair[0].1)
        };
        let tasks = self.tasks.iter().filter(|(_, runs)| doubled(runs));
        tasks.map(|(task, _)| task.as_str()).collect()
    }

    /// Returns the greatest number of tasks that ran at the same time.
    pub fn most_running(&self) -> i64 {
        let mut edges: Vec<(u64, i64)> = Vec::new();
        for (started, ended, _) in self.tasks.values().flatten() {
            edges.push((*started, 1));
            edges.push((*ended, -1));
        }
        edges.sort_unstable();
        let mut running = 0;
        let counts = edges.into_iter().map(|(_, step)| {
            running += step;
            running
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the number of tasks that have done their work.
    pub fn succeeded(&self) -> usize {
        let done =
            |runs: &&Vec<(u64, u64, String)>| runs.iter().any(|run| run.2 == "succeeded");
        self.tasks.values().filter(done).count()
    }
}
