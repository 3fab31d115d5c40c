//! Tasks that request nothing, so that the workers' sizes don't bound how many run.

mod common;

use std::collections::HashMap;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::StepPlan;

use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::step;

/// The number of tasks of a job: more than may be placed.
const TASKS: u32 = 6_000;
/// The number of workers.
const WORKERS: usize = 2;
/// The most tasks on a worker whose reports still fit into what is read of a response: 1 MiB.
const MAX_WORKER_TASKS: usize = 10_000;
/// Memory for some tasks, in bytes.
const MEMORY_BYTES: u64 = 1 << 20;
/// The memory that a placed task takes at least, in bytes.
const MIN_TASK_BYTES: u64 = 500;

/// Returns the record of a job whose tasks request nothing.
fn empty_tasks(priority: u32, tasks: u32) -> JobRecord {
    let demand = ResourceVector::default();
    record(rules(priority), vec![StepPlan { demand, ..step(tasks, 0) }])
}

cases! {
    /// Guards against tasks without a size that are all placed at once, so that the owner exceeds its memory and
    /// the workers' reports what is read of them (a variant of review/14, Fault).
    tasks_that_request_nothing_are_placed_a_part_at_a_time(cell) {
        let workers = cell.add_workers(&["first", "second"]);
        assert_eq!(workers.len(), WORKERS);
        cell.accept("job", empty_tasks(1, TASKS));
        let (mut number, mut runs) = (0, 0);
        while cell.phase("job") == Some(JobPhase::Live) {
            let starts = cell.start_all();
            assert!(!starts.is_empty(), "nothing starts after {runs} runs");
            assert!(starts.len() < TASKS as usize, "all tasks were placed at once");
            runs += starts.len();
            let mut ends = HashMap::new();
            for start in starts {
                number += 1;
                let end = ended(number, start.task, start.run, RunOutcome::Done);
                ends.entry(start.worker).or_insert_with(Vec::new).push(end);
            }
            for (worker, ends) in ends {
                assert!(ends.len() <= MAX_WORKER_TASKS, "{} tasks on a worker", ends.len());
                cell.report(worker, Vec::new(), ends);
            }
            cell.wait(100);
            cell.store_all();
        }
        assert_eq!(runs, TASKS as usize);
    }

    /// Guards against more placed tasks than the owner has memory for, and against tasks without a size that
    /// keep urgent jobs from starting.
    placed_tasks_have_a_bound_and_leave_room_for_urgent_ones(cell) {
        cell.add_workers(&["first", "second"]);
        cell.scheduler.set_placed_memory(MEMORY_BYTES);
        cell.accept("job", empty_tasks(1, TASKS));
        let placed = cell.start_all().len() as u64;
        assert!(placed > 0 && placed * MIN_TASK_BYTES <= MEMORY_BYTES, "{placed} placed");
        assert!(cell.start_all().is_empty(), "more tasks were placed");
        cell.accept("urgent", empty_tasks(0, 5));
        assert_eq!(cell.start_all().len(), 5, "urgent tasks wait");
    }
}
