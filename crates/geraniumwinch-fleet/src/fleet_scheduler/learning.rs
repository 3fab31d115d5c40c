//! Learning from the ends of runs: how long tasks of a queue take, and how fast workers are.

use std::time::Duration;

use geraniumwinch_core::DurationClass;
use geraniumwinch_core::DurationModel;
use geraniumwinch_core::DurationRatio;
use geraniumwinch_core::Name;
use geraniumwinch_core::RatioChange;
use geraniumwinch_core::SpeedTable;
use geraniumwinch_core::scaled_time;

use crate::BootTime;
use crate::JobRecord;
use crate::RunOutcome;
use crate::SchedulerEvent;
use crate::StepPlan;
use crate::WorkerInfo;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_forecast::JobForecast;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;

/// The part of a gang's duration by which its members may start apart. If they start further apart,
/// the first ones have waited, and the duration says little.
const MAX_START_SPREAD: f64 = 0.2;

/// What the scheduler has learned from the ends of runs. It starts empty with each owner.
#[derive(Debug, Default)]
pub(super) struct FleetLearning {
    pub(super) durations: DurationModel,
    pub(super) speeds: SpeedTable,
    /// The revision of the durations that the forecasts of all jobs rest on.
    forecast_revision: u64,
}

impl FleetLearning {
    /// Returns the ratio for tasks of a queue, which is 1 until enough ends are known.
    pub(super) fn ratio(&self, queue: &Name, gang: bool) -> DurationRatio {
        let class = DurationClass { queue: queue.clone(), gang };
        self.durations.ratio(&class).unwrap_or_default()
    }
}

/// How long a run that can be learned from has taken.
struct MeasuredRun {
    class: DurationClass,
    estimate: Duration,
    /// How long it has taken.
    time: Duration,
    /// The speed of the worker, or of the slowest worker of a gang.
    speed: f64,
}

impl FleetScheduler {
    /// Returns what is learned of durations by queue, with the number of ends.
    pub fn learned_durations(
        &self,
    ) -> impl Iterator<Item = (&DurationClass, Option<DurationRatio>, u64)> {
        self.learning.durations.classes()
    }

    /// Returns what is learned of the speeds of workers.
    pub fn worker_speeds(&self) -> &SpeedTable {
        &self.learning.speeds
    }

    /// Forecasts a job from what is learned.
    pub(super) fn forecast(&self, record: &JobRecord) -> JobForecast {
        JobForecast::new(record, &self.learning)
    }

    /// Forecasts all live jobs anew if the learned durations have changed.
    pub(super) fn refresh_forecasts(&mut self) {
        let revision = self.learning.durations.revision();
        if std::mem::replace(&mut self.learning.forecast_revision, revision) == revision {
            return;
        }
        for &(_, _, key) in &self.open_jobs {
            let job = &mut self.jobs[key];
            job.forecast = JobForecast::new(&job.record, &self.learning);
        }
    }

    /// Returns how long a run of a task is expected to take on a worker.
    pub(super) fn expected_run(&self, task: TaskRef, worker: WorkerKey) -> Duration {
        let job = &self.jobs[task.job];
        let speed = self.learning.speeds.speed(&self.workers[worker].info.id);
        scaled_time(job.forecast.expected(job.plan(task.unit)), speed.recip())
    }

    /// Adds a listed worker to the speed table; its kind is its labels but the rack.
    pub(super) fn list_speed(&mut self, info: &WorkerInfo) {
        let labels = info.labels.iter();
        let kind = labels.filter(|label| info.rack.as_ref() != Some(*label));
        self.learning.speeds.list(&info.id, info.incarnation, kind.cloned().collect());
    }

    /// Learns from the end of a task's current run. A gang is measured at its first end.
    pub(super) fn learn_from_end(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
        outcome: RunOutcome,
        now: BootTime,
    ) {
        if outcome != RunOutcome::Done || self.task_state(task).done {
            return;
        }
        let plan = self.jobs[task.job].plan(task.unit);
        if plan.long_running || plan.best_effort {
            return;
        }
        let measured = if plan.gang {
            self.measure_gang(task, now)
        } else {
            self.measure_task(task, placement, now)
        };
        if let Some(run) = measured {
            self.learn_speed(placement.worker, &run, now);
            self.learn_duration(&run, now);
        }
    }

    /// Measures the run of a task that is no gang member.
    fn measure_task(
        &self,
        task: TaskRef,
        placement: &TaskPlacement,
        now: BootTime,
    ) -> Option<MeasuredRun> {
        let begin = self.measurable_since(task, placement)?;
        self.measured_run(task, begin, self.speed_of(placement), now)
    }

    /// Measures the run of a gang whose members were all started together.
    fn measure_gang(&self, task: TaskRef, now: BootTime) -> Option<MeasuredRun> {
        let unit = &self.jobs[task.job].units[task.unit as usize];
        let (mut first, mut last) = (BootTime::MAX, BootTime::ZERO);
        let mut slowest = f64::INFINITY;
        for member in 0..unit.tasks.len() {
            let placement = unit.tasks[member].placement.as_ref()?;
            let begin = self.measurable_since(task, placement)?;
            first = first.min(begin);
            last = last.max(begin);
            slowest = slowest.min(self.speed_of(placement));
        }
        let together = last - first <= now.saturating_sub(last).mul_f64(MAX_START_SPREAD);
        together.then(|| self.measured_run(task, last, slowest, now)).flatten()
    }

    /// Returns when a run began, if it shows how long its task takes: all of the work was done in it,
    /// it was started by this owner with a start that was confirmed at once, near its data, and its
    /// worker was not silent meanwhile.
    fn measurable_since(
        &self,
        task: TaskRef,
        placement: &TaskPlacement,
    ) -> Option<BootTime> {
        let worker = self.workers.get(placement.worker)?;
        let begin = placement.started_at;
        let affinity = &self.jobs[task.job].plan(task.unit).affinity;
        let near = affinity.as_ref().is_none_or(|rack| worker.info.labels.contains(rack));
        let heard = !worker.is_silent() && worker.silent_until < begin;
        let certain = !placement.copies.is_unanswered();
        (placement.whole && certain && near && heard).then_some(begin)
    }

    /// Returns the measured run of a task or gang that began at the given time.
    fn measured_run(
        &self,
        task: TaskRef,
        begin: BootTime,
        speed: f64,
        now: BootTime,
    ) -> Option<MeasuredRun> {
        let job = &self.jobs[task.job];
        let StepPlan { gang, estimate, .. } = *job.plan(task.unit);
        let class = DurationClass { queue: job.record.rules.queue.clone(), gang };
        let time = now.saturating_sub(begin);
        let usable = !time.is_zero() && !estimate.is_zero();
        usable.then_some(MeasuredRun { class, estimate, time, speed })
    }

    /// Returns the learned speed of a placement's worker.
    fn speed_of(&self, placement: &TaskPlacement) -> f64 {
        let worker = self.workers.get(placement.worker);
        worker.map_or(1.0, |worker| self.learning.speeds.speed(&worker.info.id))
    }

    /// Updates the speed of a worker with a run that took longer or less long than those of its queue
    /// do. A gang says nothing about a single worker.
    fn learn_speed(&mut self, worker: WorkerKey, run: &MeasuredRun, now: BootTime) {
        if run.class.gang {
            return;
        }
        let Some(ratio) = self.learning.durations.ratio(&run.class) else { return };
        let expected = scaled_time(run.estimate, ratio.typical);
        let id = &self.workers[worker].info.id;
        self.learning.speeds.observe(id, expected, run.time, now);
    }

    /// Updates the durations of a queue with a run.
    fn learn_duration(&mut self, run: &MeasuredRun, now: BootTime) {
        let observed = scaled_time(run.time, run.speed);
        let durations = &mut self.learning.durations;
        let change = durations.observe(&run.class, run.estimate, observed, now);
        if let Some(RatioChange { former, current }) = change {
            let (queue, gang) = (run.class.queue.clone(), run.class.gang);
            let event = SchedulerEvent::DurationsLearned { queue, gang, former, current };
            self.events.push(event);
        }
    }
}
