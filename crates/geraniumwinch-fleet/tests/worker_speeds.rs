//! Speeds of workers that are learned from the ends of runs, and placement by them.

mod common;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerKey;

use self::common::TestCell;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::step;

/// Three ordinary workers and two that take more than twice as long.
const WORKERS: [&str; 5] = ["slow-1", "fast-1", "slow-2", "fast-2", "fast-3"];

/// Creates a cell whose workers have run tasks for long enough to be known, all of them idle again.
fn taught_cell() -> TestCell {
    let mut cell = TestCell::new(1);
    let workers = cell.add_workers(&WORKERS);
    let mut numbers: HashMap<WorkerKey, u64> = HashMap::new();
    for round in 0..20 {
        let one_each =
            StepPlan { max_per_worker: 1, ..step(WORKERS.len() as u32, 4_000) };
        cell.accept(&format!("taught-{round}"), record(rules(1), vec![one_each]));
        let starts = cell.place();
        assert_eq!(starts.len(), WORKERS.len());
        for start in &starts {
            cell.outcome(start, StartOutcome::Started);
        }
        for (prefix, millis) in [("fast", 1_800), ("slow", 2_400)] {
            cell.now += Duration::from_millis(millis);
            for &worker in &workers {
                let number = numbers.entry(worker).or_default();
                let info = cell.scheduler.worker_info(worker).expect("it is listed");
                if info.id.starts_with(prefix) {
                    *number += 1;
                    let mut on_worker = starts.iter().filter(|s| s.worker == worker);
                    let start = on_worker.next().expect("one each");
                    let task = start.task.clone();
                    let end = ended(*number, task, start.run, RunOutcome::Done);
                    cell.report(worker, Vec::new(), vec![end]);
                }
            }
        }
        cell.store_all();
    }
    cell
}

/// Returns the workers of the next starts.
fn place_on(cell: &mut TestCell) -> Vec<Name> {
    let starts = cell.start_all();
    let info = |worker| cell.scheduler.worker_info(worker).expect("it is listed");
    starts.iter().map(|start| info(start.worker).id.clone()).collect()
}

/// Returns how many of the workers are fast.
fn fast(workers: &[Name]) -> usize {
    workers.iter().filter(|id| id.starts_with("fast")).count()
}

cases! {
    /// Load: urgent tasks on unequal workers.
    urgent_tasks_take_fast_workers(cell) {
        let mut taught = taught_cell();
        assert!(cell.scheduler.worker_speeds().spread() < 1e-9);
        assert!(taught.scheduler.worker_speeds().spread() > 0.2);
        taught.accept("urgent", record(rules(0), vec![step(12, 4_000)]));
        assert_eq!(fast(&place_on(&mut taught)), 12);
    }

    /// Load: long chains on unequal workers.
    chains_take_fast_workers(_cell) {
        let mut taught = taught_cell();
        let second = StepPlan { after: vec![0], ..step(1, 4_000) };
        taught.accept("chain", record(rules(1), vec![step(12, 4_000), second]));
        assert_eq!(fast(&place_on(&mut taught)), 12);
    }

    /// Load: more work than the fast workers hold. Slow ones are not left idle.
    slow_workers_are_used_while_work_waits(_cell) {
        let mut taught = taught_cell();
        taught.accept("urgent", record(rules(0), vec![step(20, 4_000)]));
        let workers = place_on(&mut taught);
        assert_eq!((workers.len(), fast(&workers)), (20, 12));
    }

    /// Load: gangs on unequal workers. One slow member would hold up all others.
    a_gang_takes_workers_of_like_speed(_cell) {
        let mut taught = taught_cell();
        let gang = |tasks| StepPlan { gang: true, ..step(tasks, 4_000) };
        taught.accept("small", record(rules(1), vec![gang(10)]));
        assert_eq!(fast(&place_on(&mut taught)), 10);
        // Only 2 are left on fast workers, so all members may be on slow ones.
        taught.accept("other", record(rules(1), vec![gang(8)]));
        assert_eq!(fast(&place_on(&mut taught)), 0);
    }

    /// Load: a gang that needs more than the fast workers hold.
    a_wide_gang_starts_on_mixed_workers(_cell) {
        let mut taught = taught_cell();
        let gang = StepPlan { gang: true, ..step(18, 4_000) };
        taught.accept("wide", record(rules(1), vec![gang]));
        assert_eq!(place_on(&mut taught).len(), 18);
    }

    /// Load: workers that are not known to differ. Tasks are placed as before.
    unknown_workers_count_as_alike(cell) {
        cell.add_workers(&WORKERS);
        cell.accept("urgent", record(rules(0), vec![step(4, 4_000)]));
        let workers: BTreeSet<Name> = place_on(&mut cell).into_iter().collect();
        assert_eq!(workers.len(), 1, "the tasks fill one worker");
    }

    /// Failure: a worker fails tasks of one queue. It does not count as slow for that.
    failures_do_not_make_a_worker_slow(_cell) {
        let mut taught = taught_cell();
        let before = taught.scheduler.worker_speeds().speed("fast-1");
        let bad = QueueRules { queue: "bad".into(), max_attempts: 9, ..rules(1) };
        taught.accept("bad", record(bad, vec![step(4, 16_000)]));
        for start in taught.start_all() {
            taught.now += Duration::from_millis(900);
            let end = ended(21, start.task, start.run, RunOutcome::Failed);
            taught.report(start.worker, Vec::new(), vec![end]);
        }
        let after = taught.scheduler.worker_speeds().speed("fast-1");
        assert!((after - before).abs() < 1e-9);
    }

    /// Failure: a worker disappears from the list and is back. What is known of it is kept.
    a_worker_that_is_listed_again_is_known(_cell) {
        let mut taught = taught_cell();
        let before = taught.scheduler.worker_speeds().speed("slow-1");
        taught.list_workers(&WORKERS[1..]);
        taught.list_workers(&WORKERS);
        assert!((taught.scheduler.worker_speeds().speed("slow-1") - before).abs() < 1e-9);
        assert!(before < 0.8);
    }
}
