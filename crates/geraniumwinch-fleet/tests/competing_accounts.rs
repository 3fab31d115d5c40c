//! Client accounts that compete for a full cell.

mod common;

use std::time::Duration;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::AccountLimit;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunningRun;
use geraniumwinch_fleet::StepPlan;

use self::common::TestCell;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;

/// A time after which the average use of an account is close to its current one.
const LONG_TIME: Duration = Duration::from_secs(30);

/// Creates a job of an account with tasks of 4 cores.
fn job(account: &str, priority: u32, tasks: u32) -> JobRecord {
    let plan = StepPlan { saves_progress: true, ..step(tasks, 4_000) };
    JobRecord { account: account.into(), ..record(rules(priority), vec![plan]) }
}

/// Sets the weights of the accounts `busy` and `quiet`.
fn set_weights(cell: &mut TestCell, weight: u64) {
    let limit = ResourceVector::default();
    let limits = ["busy", "quiet"].map(|account| AccountLimit {
        account: account.into(),
        weight,
        limit,
    });
    cell.scheduler.set_limits(limits.to_vec());
}

/// Fills two workers of 16 cores, of which `busy` takes `tasks` of eight, and leaves both accounts
/// with a waiting job, that of `busy` the first.
fn compete(cell: &mut TestCell, tasks: u32) {
    cell.add_workers(&["w", "v"]);
    cell.accept("b0", job("busy", 1, tasks));
    cell.accept("q0", job("quiet", 1, 8 - tasks));
    assert_eq!(cell.start_all().len(), 8);
    cell.now += LONG_TIME;
    cell.accept("b1", job("busy", 1, 1));
    cell.accept("q1", job("quiet", 1, 1));
}

/// Returns the job that takes the place of a task that has ended.
fn next_job(cell: &mut TestCell) -> String {
    cell.add_workers(&["w", "v", "u"]);
    let starts = cell.place();
    starts[0].task.step.job.to_string()
}

cases! {
    /// Load: one account at many times its usual. The other is within its share and goes first.
    an_account_within_its_share_is_served_first(cell) {
        set_weights(&mut cell, 10);
        compete(&mut cell, 7);
        assert_eq!(next_job(&mut cell), "q1");
    }

    /// Load: small accounts with wide jobs. One that exceeds its share for a moment keeps its place.
    a_short_excess_does_not_count(cell) {
        set_weights(&mut cell, 10);
        compete(&mut cell, 7);
        cell.now = cell.now - LONG_TIME + Duration::from_secs(2);
        assert_eq!(next_job(&mut cell), "b1");
    }

    /// Load: two accounts within their shares are served in the order of acceptance.
    accounts_within_their_shares_are_served_in_order(cell) {
        set_weights(&mut cell, 10);
        compete(&mut cell, 4);
        assert_eq!(next_job(&mut cell), "b1");
    }

    /// Guards the deployments that set no weights.
    accounts_without_weights_are_served_in_order(cell) {
        set_weights(&mut cell, 0);
        compete(&mut cell, 7);
        assert_eq!(next_job(&mut cell), "b1");
    }

    /// Load: one account has all the work there is; what the other leaves unused is lent.
    an_unused_share_is_lent(cell) {
        set_weights(&mut cell, 10);
        cell.add_workers(&["w", "v"]);
        cell.accept("b0", job("busy", 1, 8));
        assert_eq!(cell.start_all().len(), 8);
    }

    /// Load: an urgent job on a cell that one account has filled beyond its share. The job accepted
    /// last would lose its work otherwise.
    urgent_work_preempts_the_account_above_its_share(cell) {
        set_weights(&mut cell, 10);
        let workers = cell.add_workers(&["w"]);
        cell.accept("b0", job("busy", 1, 3));
        cell.accept("q0", job("quiet", 2, 1));
        let starts = cell.start_all();
        assert_eq!(starts.len(), 4);
        cell.now += LONG_TIME;
        cell.place();
        for checkpoint in [None, Some("c1".into())] {
            let run = |start: &RunStart| running(start.task.clone(), start.run);
            let runs = starts.iter().map(|start| RunningRun {
                checkpoint: checkpoint.clone(),
                ..run(start)
            });
            cell.report(workers[0], runs.collect(), Vec::new());
        }
        cell.accept("urgent", job("quiet", 0, 1));
        cell.place();
        let stops = cell.scheduler.take_stops();
        assert_eq!(stops.len(), 1);
        assert_eq!(&*stops[0].task.step.job, "b0");
    }
}
