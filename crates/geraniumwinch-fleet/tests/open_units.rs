//! Schedules of which very many occurrences are due at once.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobSchedule;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::StepPlan;

use self::common::UNIX_TIME;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::step;

/// The number of occurrences, all of which are due: several times as many as are tried at a time.
const OCCURRENCES: u32 = 900;
/// More rounds than are needed if each round starts as many tasks as the worker holds.
const MAX_ROUNDS: u64 = 1_000;

cases! {
    /// Guards against occurrences that are never started, since only the first of those that wait are tried.
    all_due_occurrences_of_a_schedule_are_done(cell) {
        let [worker] = cell.add_workers(&["worker"])[..] else { panic!("one worker") };
        let second = StepPlan { after: vec![0], ..step(1, 4_000) };
        let mut job = record(rules(0), vec![step(2, 4_000), second]);
        job.request.schedule = Some(JobSchedule {
            repeats: OCCURRENCES,
            first: UNIX_TIME - Duration::from_secs(u64::from(OCCURRENCES)),
            interval: Duration::from_secs(1),
        });
        cell.accept("job", job);
        let (mut number, mut runs) = (0, 0);
        for _ in 0..MAX_ROUNDS {
            let starts = cell.start_all();
            runs += starts.len();
            let ends = starts.iter().map(|start| {
                number += 1;
                ended(number, start.task.clone(), start.run, RunOutcome::Done)
            });
            let ends = ends.collect();
            cell.report(worker, Vec::new(), ends);
            cell.wait(100);
            cell.store_all();
            if cell.phase("job") != Some(JobPhase::Live) {
                break;
            }
        }
        assert_eq!(cell.phase("job"), Some(JobPhase::Completed), "{runs} runs");
        assert_eq!(runs, 3 * OCCURRENCES as usize, "a task ran twice");
    }
}
