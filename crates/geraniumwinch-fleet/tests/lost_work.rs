//! Accounting of lost work: each run counts once, under the decision or failure that ended it.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_fleet::LossCause;
use geraniumwinch_fleet::LossTally;
use geraniumwinch_fleet::RunLoss;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerKey;

use self::common::LEASE;
use self::common::TestCell;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::task;

/// Returns the lost runs and the rounded core-seconds by cause.
fn losses(cell: &mut TestCell) -> Vec<(RunLoss, u64, u64)> {
    let lost: BTreeMap<RunLoss, LossTally> = cell.scheduler.take_lost_work();
    lost.into_iter()
        .map(|(loss, tally)| (loss, tally.runs, tally.core_seconds.round() as u64))
        .collect()
}

/// Starts a gang of three tasks with 4 cores each, one on each worker, and lets a second pass.
fn start_gang(cell: &mut TestCell) -> Vec<WorkerKey> {
    cell.add_workers(&["w", "v", "u"]);
    let gang = StepPlan { gang: true, max_per_worker: 1, ..step(3, 4_000) };
    cell.accept("gang", record(rules(1), vec![gang]));
    let workers = cell.start_all().into_iter().map(|start| start.worker).collect();
    cell.wait(999);
    workers
}

cases! {
    a_done_run_loses_nothing(cell) {
        let workers = cell.add_workers(&["w"]);
        cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
        cell.start_all();
        cell.wait(1000);
        cell.report(workers[0], vec![], vec![ended(1, task("job", 0, 0), 1, RunOutcome::Done)]);
        assert!(losses(&mut cell).is_empty());
    }

    /// Load: clients that cancel many jobs.
    a_cancelled_run_is_counted_when_it_has_ended(cell) {
        let workers = cell.add_workers(&["w"]);
        cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
        cell.start_all();
        cell.wait(999);
        cell.scheduler.cancel("job", cell.now);
        assert!(losses(&mut cell).is_empty(), "it still runs");
        let end = ended(1, task("job", 0, 0), 1, RunOutcome::Stopped);
        cell.report(workers[0], vec![], vec![end]);
        assert_eq!(losses(&mut cell), [(RunLoss::single(LossCause::Cancelled), 1, 4)]);
    }

    a_checkpoint_saves_the_work_before_it(cell) {
        let workers = cell.add_workers(&["w"]);
        let saving = StepPlan { saves_progress: true, ..step(1, 4_000) };
        cell.accept("job", record(rules(1), vec![saving]));
        cell.start_all();
        let name = task("job", 0, 0);
        cell.wait(2000);
        cell.report(workers[0], vec![running(name.clone(), 1)], vec![]);
        let checkpoint = Some("c1".into());
        cell.report(workers[0], vec![RunningRun { checkpoint, ..running(name.clone(), 1) }], vec![]);
        cell.wait(1000);
        cell.report(workers[0], vec![], vec![ended(1, name, 1, RunOutcome::Failed)]);
        assert_eq!(losses(&mut cell), [(RunLoss::single(LossCause::Failed), 1, 4)]);
    }

    /// Load: wide gangs whose members fail one by one. A member's end may be reported after those of
    /// the members that it broke.
    a_broken_gang_is_counted_under_the_cause_of_its_first_member(cell) {
        let workers = start_gang(&mut cell);
        for (index, outcome) in [(0, RunOutcome::Broken), (1, RunOutcome::Failed), (2, RunOutcome::Broken)] {
            let end = ended(1, task("gang", 0, index), 1, outcome);
            cell.report(workers[index as usize], vec![], vec![end]);
        }
        assert_eq!(losses(&mut cell), [
            (RunLoss::single(LossCause::Failed), 1, 4),
            (RunLoss::of_gang(LossCause::Failed), 2, 8),
        ]);
    }

    /// Load: slow workers. Only the member that made no progress counts as stalled by itself.
    a_stalled_member_breaks_its_gang(cell) {
        let workers = start_gang(&mut cell);
        let names: Vec<_> = (0..3).map(|index| task("gang", 0, index)).collect();
        for index in [0, 2] {
            cell.report(workers[index], vec![RunningRun { percent: 50, ..running(names[index].clone(), 1) }], vec![]);
        }
        cell.wait(1600);
        for (worker, name) in workers.iter().zip(&names) {
            cell.report(*worker, vec![], vec![ended(1, name.clone(), 1, RunOutcome::Broken)]);
        }
        let causes: Vec<(RunLoss, u64)> =
            losses(&mut cell).into_iter().map(|(loss, runs, _)| (loss, runs)).collect();
        assert_eq!(causes, [
            (RunLoss::single(LossCause::Stalled), 1),
            (RunLoss::of_gang(LossCause::Stalled), 2),
        ]);
    }

    /// Failure: a worker is lost with a member of a gang and with a run that is being preempted. Each
    /// run counts once, the preempted one under the decision that came first.
    runs_lost_with_a_worker_are_counted_once(cell) {
        let workers = start_gang(&mut cell);
        let saving = StepPlan { saves_progress: true, ..step(9, 4_000) };
        cell.accept("bulk", record(rules(2), vec![saving]));
        let bulk = cell.start_all();
        cell.accept("urgent", record(rules(0), vec![step(1, 4_000)]));
        cell.place();
        let stops = cell.scheduler.take_stops();
        assert_eq!(stops.len(), 1);
        let lost = stops[0].worker;
        cell.scheduler.mark_silent(lost, cell.now);
        let report = |cell: &mut TestCell, worker: WorkerKey, outcome: Option<RunOutcome>| {
            let here = bulk.iter().filter(|start| start.worker == worker);
            let here = here.map(|start| running(start.task.clone(), start.run)).collect();
            let index = workers.iter().position(|&key| key == worker).unwrap_or_default();
            let name = task("gang", 0, index as u32);
            let end = outcome.map(|outcome| ended(1, name, 1, outcome));
            cell.report(worker, here, end.into_iter().collect());
        };
        for &worker in workers.iter().filter(|&&worker| worker != lost) {
            report(&mut cell, worker, Some(RunOutcome::Broken));
        }
        cell.now += LEASE + Duration::from_secs(1);
        cell.scheduler.sweep(cell.now);
        let runs: Vec<(RunLoss, u64)> =
            losses(&mut cell).into_iter().map(|(loss, runs, _)| (loss, runs)).collect();
        assert!(runs.contains(&(RunLoss::single(LossCause::Preempted), 1)), "{runs:?}");
        assert!(runs.contains(&(RunLoss::of_gang(LossCause::LeaseExpired), 2)), "{runs:?}");
        let expired = (RunLoss::single(LossCause::LeaseExpired), 3);
        assert!(runs.contains(&expired), "a gang member and two others: {runs:?}");
        assert_eq!(runs.len(), 3);
        // The worker is back and reports the ends that were given up before.
        let here = bulk.iter().filter(|start| start.worker == lost);
        let ends = here.zip(1..).map(|(start, number)| {
            ended(number, start.task.clone(), start.run, RunOutcome::LeaseExpired)
        });
        cell.report(lost, vec![], ends.collect());
        assert!(losses(&mut cell).is_empty());
    }
}
