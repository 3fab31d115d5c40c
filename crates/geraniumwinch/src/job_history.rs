//! What the log tells of a job.

use crate::log_line::LogLine;

/// The times, in milliseconds, that a job spent waiting or running before its end.
#[derive(Debug, Default, Clone, Copy)]
struct JobEnd {
    at: i64,
    allowed: i64,
    limit: i64,
    permission: i64,
    capacity: i64,
}

/// What the log tells of a job.
#[derive(Debug, Default)]
pub(crate) struct JobHistory {
    /// The queue.
    pub(crate) queue: Option<String>,
    /// When the first attempt to submit the job arrived.
    first: Option<i64>,
    /// When the job was accepted.
    accepted: Option<i64>,
    /// The outcome of the last attempt to submit it.
    outcome: String,
    phase: Option<String>,
    end: JobEnd,
    failed_runs: usize,
    lost_runs: usize,
    preempted_runs: usize,
}

impl JobHistory {
    /// Adds a line about the job.
    pub(crate) fn add(&mut self, line: &LogLine<'_>) {
        match line.event() {
            "submit" => self.add_attempt(line),
            "ended" if line.field("end") == Some("failed") => self.failed_runs += 1,
            "run-missing" | "run-expired" | "run-crashed" => self.lost_runs += 1,
            "preempted" => self.preempted_runs += 1,
            "job-ended" if self.phase.is_none() => {
                self.phase = line.field("phase").map(str::to_owned);
                self.end = JobEnd {
                    at: line.millis,
                    allowed: line.field_millis("allowed_ms"),
                    limit: line.field_millis("limit_ms"),
                    permission: line.field_millis("permission_ms"),
                    capacity: line.field_millis("capacity_ms"),
                };
            }
            _ => {}
        }
    }

    /// Adds an attempt to submit the job.
    fn add_attempt(&mut self, line: &LogLine<'_>) {
        let (Some(queue), Some(outcome)) = (line.field("queue"), line.field("outcome"))
        else {
            return;
        };
        self.queue.get_or_insert_with(|| queue.to_owned());
        let began = line.millis - line.field_millis("ms");
        self.first = Some(self.first.map_or(began, |first| first.min(began)));
        if outcome == "accepted" {
            self.accepted.get_or_insert(line.millis);
        } else {
            self.outcome = outcome.to_owned();
        }
    }

    /// Returns how the job ended and, if it was late, what delayed it the most.
    pub(crate) fn cause(&self) -> String {
        let (Some(first), Some(accepted)) = (self.first, self.accepted) else {
            return format!("refused: {}", self.outcome);
        };
        match self.phase.as_deref() {
            None => "not ended".to_owned(),
            Some("completed") if self.end.at - first <= self.end.allowed => {
                "in time".to_owned()
            }
            Some("completed") => format!("late: {}", self.delay(first, accepted)),
            Some(phase) => phase.to_owned(),
        }
    }

    /// Returns what took the longest of a late job's time. Waits at former owners count as runs.
    fn delay(&self, first: i64, accepted: i64) -> &'static str {
        let JobEnd { at, limit, permission, capacity, .. } = self.end;
        let submission = accepted - first;
        let runs = at - first - submission - limit - permission - capacity;
        let running = match self {
            JobHistory { lost_runs: 1.., .. } => "lost runs",
            JobHistory { preempted_runs: 1.., .. } => "preempted runs",
            JobHistory { failed_runs: 1.., .. } => "failed runs",
            _ => "runs",
        };
        let parts = [
            (submission, "submission"),
            (limit, "account limit"),
            (permission, "permissions"),
            (capacity, "capacity"),
            (runs, running),
        ];
        parts.into_iter().max_by_key(|&(millis, _)| millis).map_or("", |(_, part)| part)
    }
}
