//! Handling of worker reports.

use std::collections::BTreeSet;

use crate::BootTime;
use crate::EndedRun;
use crate::LossCause;
use crate::RunOutcome;
use crate::SchedulerEvent;
use crate::WorkerReport;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_lateness::JobLateness;
use super::listed_runs::OrphanedRuns;
use super::listed_runs::RunMatch;
use super::next_fence;
use super::run_phase::RunPhase;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;
use super::worker_state::UnstoredEnd;

/// The number of failures in a row after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 3;
/// How long a quarantined worker gets no tasks.
const QUARANTINE: BootTime = BootTime::from_secs(4);

impl FleetScheduler {
    /// Processes a worker's report, which responds to a call that was sent at `sent`. Returns whether it
    /// counts: one that is older than what is known is ignored.
    pub fn report(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        sent: BootTime,
        now: BootTime,
    ) -> bool {
        let Some(state) = self.workers.get(worker) else { return false };
        if state.is_outdated(report, sent) {
            self.events.push(SchedulerEvent::Outdated {
                worker: state.info.id.clone(),
                incarnation: report.incarnation,
                age: now.saturating_sub(sent),
            });
            return false;
        }
        let former = state.incarnation;
        let mut lost = Vec::new();
        let mut orphans = OrphanedRuns::default();
        if former != Some(report.incarnation) {
            if former.is_some() {
                lost = self.take_lost_runs(worker, now);
                orphans.usage = self.open_start_usage(worker);
            }
            self.begin_incarnation(worker, report.incarnation, now);
        }
        let state = &mut self.workers[worker];
        if state.silent_since.take().is_some() {
            state.silent_until = now;
        }
        state.expired_runs.clear();
        state.report_sent = state.report_sent.max(sent);
        state.report_clock_ms = report.clock_ms;
        let id = state.info.id.clone();
        let noted = self.take_lost_contacts(&id, now).into_iter().filter(|noted| {
            noted.incarnation.is_some_and(|former| former != report.incarnation)
        });
        lost.extend(noted.map(|noted| noted.run));
        self.tally_report(worker, report);
        for ended in &report.ended {
            self.process_end(worker, ended, now);
        }
        let mut matched = BTreeSet::new();
        for running in &report.running {
            match self.match_run(worker, running, now) {
                RunMatch::Placed(task) => {
                    matched.insert(task);
                }
                RunMatch::Orphan(task) => self.add_orphan(&mut orphans, task),
                RunMatch::Closed => {}
            }
        }
        self.update_unread_ends(worker, report);
        self.abandon_missing_runs(worker, &matched, sent, now);
        self.update_late_starts(worker, sent);
        let id = self.workers[worker].info.id.clone();
        lost.retain(|run| !matched.contains(&run.task));
        self.record_crash(&id, lost, now);
        self.account_orphans(worker, now);
        let state = &mut self.workers[worker];
        state.orphan_usage = orphans.usage;
        state.orphaned_tasks = orphans.tasks;
        state.orphan_size_unknown = orphans.size_unknown;
        true
    }

    /// Begins a new incarnation of a worker, and raises its fence if it has restarted.
    fn begin_incarnation(&mut self, worker: WorkerKey, incarnation: u64, now: BootTime) {
        let state = &mut self.workers[worker];
        let former = state.incarnation;
        state.begin_incarnation(incarnation, now);
        if let Some(former) = former {
            state.fence = next_fence(state.fence);
            let worker = state.info.id.clone();
            let event = SchedulerEvent::Restarted { worker, former, incarnation };
            self.events.push(event);
        }
    }

    /// Returns whether a worker's report tells of ends, or of a restart, that are not known yet.
    pub fn has_new_ends(&self, worker: WorkerKey, report: &WorkerReport) -> bool {
        let Some(state) = self.workers.get(worker) else { return false };
        let newest = report.ended.iter().map(|ended| ended.number).max();
        state.incarnation != Some(report.incarnation)
            || newest.is_some_and(|number| number > state.processed_end)
    }

    /// Extends a worker's lease, after a command that extends it was sent.
    pub fn extend_lease(&mut self, worker: WorkerKey, now: BootTime) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.expiry = state.expiry.max(now + self.lease);
        }
    }

    /// Marks a worker as silent, after it did not respond to calls.
    pub fn mark_silent(&mut self, worker: WorkerKey, now: BootTime) {
        if let Some(state) = self.workers.get_mut(worker) {
            let has_answered = state.silent_since.is_none();
            state.silent_since.get_or_insert(now);
            state.missed_at = now;
            if has_answered {
                self.note_lost_contacts(worker, now);
            }
        }
    }

    /// Abandons the run of a task, without a reported end, so that the task waits again.
    pub(super) fn abandon_run(&mut self, task: TaskRef, cause: LossCause, now: BootTime) {
        if let Some(placement) = self.unassign(task) {
            self.settle_task(task);
            self.account_abandoned(task, &placement, cause, now);
            self.apply_outcome(task, placement.run, RunOutcome::LeaseExpired, now);
            self.keep_late_start(task, &placement, now);
        }
    }

    /// Counts what a worker's report lists, before its ends are processed.
    fn tally_report(&mut self, worker: WorkerKey, report: &WorkerReport) {
        let processed = self.workers[worker].processed_end;
        let is_known = |ended: &&EndedRun| ended.number <= processed;
        let known_ends = report.ended.iter().filter(is_known).count() as u64;
        let tally = &mut self.report_tally;
        tally.reports += 1;
        tally.running += report.running.len() as u64;
        tally.ends += report.ended.len() as u64 - known_ends;
        tally.known_ends += known_ends;
    }

    /// Processes an ended run in a worker's report, unless it was processed before.
    fn process_end(&mut self, worker: WorkerKey, ended: &EndedRun, now: BootTime) {
        if ended.number <= self.workers[worker].processed_end {
            return;
        }
        self.workers[worker].processed_end = ended.number;
        let task = self.find_task(&ended.task);
        let settled = task.is_none_or(|task| self.task_state(task).done);
        let inherited = ended.run <= self.first_run;
        if settled && inherited && ended.outcome == RunOutcome::Done {
            self.events.push(SchedulerEvent::Relisted {
                task: ended.task.clone(),
                run: ended.run,
                worker: self.workers[worker].info.id.clone(),
            });
        }
        let mut end = UnstoredEnd { number: ended.number, job: None, open_start: None };
        if let Some(task) = task {
            end.open_start = self.open_start(worker, task, ended, now);
            if end.open_start.is_some() {
                self.record_open_start(worker, &ended.task, ended.run, now);
            }
            self.process_task_end(worker, task, ended, now);
            end.job = Some((task.job, self.jobs[task.job].version));
        } else {
            end.open_start = self.open_start_of_ended(ended, now);
        }
        self.workers[worker].unstored_ends.push_back(end);
        self.advance_ends(worker);
    }

    /// Processes an ended run of a known task.
    fn process_task_end(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        ended: &EndedRun,
        now: BootTime,
    ) {
        let current = |placement: &TaskPlacement| {
            placement.worker == worker && placement.run == ended.run
        };
        let is_other = !self.placement_of(task).is_some_and(current);
        if ended.outcome == RunOutcome::Done && is_other {
            self.withdraw_unsent_start(task, now);
        }
        let mut placement = self.placement_of(task).copied();
        self.mark_started(task, now);
        let closed_run = self.closed_run(worker, ended.run);
        let job = &mut self.jobs[task.job];
        let live = job.live();
        let state = &mut job.units[task.unit as usize].tasks[task.index as usize];
        state.last_run = state.last_run.max(ended.run);
        state.closed_run = Some(closed_run);
        if ended.checkpoint.is_some() && placement.as_ref().is_none_or(current) {
            if let Some(placement) = &mut placement
                && state.checkpoint != ended.checkpoint
            {
                placement.work.saved_at = Some(self.workers[worker].reported_at);
            }
            state.checkpoint.clone_from(&ended.checkpoint);
        }
        match placement {
            Some(placement) if current(&placement) => {
                self.learn_from_end(task, &placement, ended.outcome, now);
                self.unassign(task);
                self.account_end(task, &placement, ended.outcome, now);
                self.delay_restart(task, &placement, ended.outcome, now);
                self.update_failures(worker, ended.outcome, now);
                self.log_end(worker, ended);
                self.apply_outcome(task, ended.run, ended.outcome, now);
                self.keep_late_start(task, &placement, now);
            }
            None if live
                && matches!(ended.outcome, RunOutcome::Done | RunOutcome::Failed) =>
            {
                self.log_end(worker, ended);
                self.apply_outcome(task, ended.run, ended.outcome, now);
            }
            // This is a failure of an earlier run that a former owner did not record.
            Some(_) if live && ended.outcome == RunOutcome::Failed => {
                self.log_end(worker, ended);
                self.count_failure(task, ended.run, now);
            }
            _ => {}
        }
        self.settle_task(task);
    }

    /// Records that a worker runs or ran a task of a job.
    pub(super) fn mark_started(&mut self, task: TaskRef, now: BootTime) {
        let job = &mut self.jobs[task.job];
        let accepted = job.accepted_at.filter(|_| !job.started);
        if let Some(accepted) = accepted {
            let wait = now.saturating_sub(accepted);
            let lateness = job.lateness(job.record.accepted.saturating_add(wait));
            let tally = &mut self.first_start_tally;
            tally.waits += wait;
            match lateness {
                JobLateness::InTime => tally.in_time += 1,
                JobLateness::Late => tally.late += 1,
                JobLateness::Overdue => tally.overdue += 1,
            }
            self.events.push(SchedulerEvent::FirstStart { wait });
        }
        job.started = true;
    }

    /// Queues a log event for an ended run.
    fn log_end(&mut self, worker: WorkerKey, ended: &EndedRun) {
        self.events.push(SchedulerEvent::Ended {
            task: ended.task.clone(),
            run: ended.run,
            worker: self.workers[worker].info.id.clone(),
            outcome: ended.outcome,
        });
    }

    /// Updates a worker's count of failures in a row with the outcome of a run.
    fn update_failures(&mut self, worker: WorkerKey, outcome: RunOutcome, now: BootTime) {
        let state = &mut self.workers[worker];
        match outcome {
            RunOutcome::Done => state.failures = 0,
            RunOutcome::Failed => self.record_failure(worker, now),
            _ => {}
        }
    }

    /// Counts a failure of a worker, such as a failed or stalled run, and quarantines the
    /// worker after too many in a row.
    pub(super) fn record_failure(&mut self, worker: WorkerKey, now: BootTime) {
        let state = &mut self.workers[worker];
        state.failures += 1;
        if state.failures >= QUARANTINE_FAILURES {
            state.quarantine = now + QUARANTINE;
            // A single failure after the quarantine starts another one.
            state.failures = QUARANTINE_FAILURES - 1;
            let worker = state.info.id.clone();
            self.events.push(SchedulerEvent::Quarantined { worker });
        }
    }

    /// Abandons runs that are missing from a report that should list them, including those that
    /// ended with the worker's former incarnation.
    ///
    /// Runs with a command without a response are kept, since the worker may still execute the
    /// command, even in its next incarnation.
    fn abandon_missing_runs(
        &mut self,
        worker: WorkerKey,
        matched: &BTreeSet<TaskRef>,
        sent: BootTime,
        now: BootTime,
    ) {
        let tasks: Vec<TaskRef> = self.workers[worker].tasks.iter().copied().collect();
        for task in tasks {
            let Some(&placement) = self.placement_of(task) else { continue };
            let expected = match placement.phase {
                RunPhase::Running => placement.since < sent,
                RunPhase::Stopping(Some(responded)) => responded < sent,
                RunPhase::Starting | RunPhase::Unknown | RunPhase::Stopping(None) => {
                    false
                }
            };
            // A report in response to a call with an older fencing token excludes no start command.
            let fenced = sent >= self.workers[worker].fenced_since;
            let excluded = fenced || !self.may_start_later(&placement, now);
            if expected && excluded && !matched.contains(&task) {
                if self.may_have_ended_unread(task, worker) {
                    self.workers[worker].unread_runs.insert(task);
                    continue;
                }
                let name = self.jobs[task.job].task_name(task);
                let id = self.workers[worker].info.id.clone();
                let event = SchedulerEvent::Missing {
                    task: name,
                    run: placement.run,
                    worker: id,
                };
                self.events.push(event);
                self.abandon_run(task, LossCause::WorkerLost, now);
            }
        }
    }
}
