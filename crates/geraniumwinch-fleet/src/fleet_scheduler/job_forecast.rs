//! Forecasts of how long a job's tasks take.

use std::time::Duration;

use geraniumwinch_core::DurationRatio;
use geraniumwinch_core::scaled_time;

use crate::JobRecord;
use crate::StepPlan;

use super::job_state::critical_path;
use super::learning::FleetLearning;

/// The forecast of a job. It changes with what is learned; the job's objective does not.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobForecast {
    /// The ratios for gangs and for other tasks; that of the clients until others are learned.
    gangs: DurationRatio,
    singles: DurationRatio,
    /// The duration of the critical path, by which lateness is judged.
    pub(super) path: Duration,
}

impl JobForecast {
    /// Forecasts a job from what is learned of its queue.
    pub(super) fn new(record: &JobRecord, learning: &FleetLearning) -> Self {
        let queue = &record.rules.queue;
        let mut forecast = JobForecast {
            gangs: learning.ratio(queue, true),
            singles: learning.ratio(queue, false),
            path: Duration::ZERO,
        };
        let for_lateness = |plan: &StepPlan| {
            scaled_time(plan.estimate, forecast.ratio(plan).for_lateness())
        };
        forecast.path = critical_path(record, for_lateness);
        forecast
    }

    /// Returns the expected duration of a task of a step on an ordinary worker, as it counts in the
    /// sum of many tasks.
    pub(super) fn expected(&self, plan: &StepPlan) -> Duration {
        scaled_time(plan.estimate, self.ratio(plan).total)
    }

    /// Returns the ratio for the tasks of a step.
    fn ratio(&self, plan: &StepPlan) -> &DurationRatio {
        if plan.gang { &self.gangs } else { &self.singles }
    }
}
