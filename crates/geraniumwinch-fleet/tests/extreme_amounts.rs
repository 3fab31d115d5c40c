//! Amounts and times at the limits of their types, as records of other versions may hold them.

mod common;

use std::time::Duration;

use geraniumwinch_core::ResourceVector;
use geraniumwinch_fleet::JobSchedule;
use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerRecord;

use self::common::UNIX_TIME;
use self::common::record;
use self::common::rules;
use self::common::step;
use self::common::worker_info;

/// The greatest amount of each resource.
const GREATEST: ResourceVector = ResourceVector {
    cpu_millis: u64::MAX,
    memory_bytes: u64::MAX,
    accelerators: u32::MAX,
};

/// Creates the entry of a worker with a capacity.
fn sized(id: &str, capacity: ResourceVector) -> WorkerInfo {
    WorkerInfo { capacity, ..worker_info(id) }
}

/// Creates a step of tasks that each require the greatest amounts.
fn greatest_step(tasks: u32) -> StepPlan {
    StepPlan { demand: GREATEST, ..step(tasks, 0) }
}

cases! {
    /// Guards against totals that wrap to nearly nothing, so that all jobs are refused.
    sums_of_the_greatest_capacities_do_not_wrap(cell) {
        let half = ResourceVector { cpu_millis: 1 << 63, ..GREATEST };
        cell.add_infos(vec![sized("a", half), sized("b", half), worker_info("c")]);
        cell.accept("bulk", record(rules(1), vec![step(8, 16_000)]));
        cell.scheduler.update_waiting_load(UNIX_TIME);
        let load = cell.scheduler.admission_load(&record(rules(1), vec![step(1, 1000)]));
        assert!(load < 0.01, "{load}");
        assert!(cell.scheduler.backlog() < 0.01);
        assert_eq!(cell.start_all().len(), 8);
        assert!(cell.scheduler.counts(cell.now).used < 0.01);
    }

    /// Guards against a new owner that ends over the capacities of recorded workers.
    the_greatest_capacities_of_recorded_workers_do_not_wrap(cell) {
        let infos = ["a", "b", "c"].map(|id| sized(id, GREATEST));
        let records = infos.into_iter().map(WorkerRecord::unrestricted).collect();
        let until = cell.now + Duration::from_secs(8);
        cell.scheduler.load_workers(records, until);
        let two = record(rules(1), vec![greatest_step(2)]);
        cell.scheduler.load_job("job".into(), two, until);
        assert!(cell.place().is_empty());
    }

    /// Guards against an entry of another writer that lets the owner accept work for which there
    /// is no worker.
    an_entry_without_a_worker_adds_no_capacity(cell) {
        let sound = cell.add_workers(&["a"]);
        cell.accept("bulk", record(rules(1), vec![step(40, 16_000)]));
        cell.scheduler.update_waiting_load(UNIX_TIME);
        let job = record(rules(1), vec![step(1, 1000)]);
        let before = cell.scheduler.admission_load(&job);
        assert!(before > 1.0, "{before}");
        let large = ResourceVector { cpu_millis: 10_000_000, ..GREATEST };
        let listed = vec![worker_info("a"), sized("b", large)];
        let added = cell.scheduler.set_workers(listed, cell.now);
        assert_eq!((sound.len(), added.len()), (1, 1));
        cell.scheduler.mark_silent(added[0], cell.now);
        assert!(cell.scheduler.admission_load(&job) >= before);
        assert!(cell.scheduler.backlog() > 1.0);
    }

    /// Guards against an owner that ends over the sum of the demands of waiting tasks.
    the_greatest_demands_wait_and_count(cell) {
        cell.add_workers(&["a"]);
        for number in 0..3 {
            let id = format!("great-{number}");
            cell.accept(&id, record(rules(1), vec![greatest_step(1000)]));
        }
        cell.scheduler.update_waiting_load(UNIX_TIME);
        assert!(cell.scheduler.backlog() > 1.0);
        assert!(cell.place().is_empty());
        cell.accept("urgent", record(rules(0), vec![step(1, 1000)]));
        assert_eq!(cell.place().len(), 1, "other jobs go on");
    }

    /// Guards against an owner, and each of its successors, that ends over the due times of a job.
    the_greatest_due_times_are_never_due(cell) {
        cell.add_workers(&["a"]);
        let mut repeated = record(rules(1), vec![step(1, 1000)]);
        let greatest = Duration::from_millis(u64::MAX);
        repeated.request.schedule =
            Some(JobSchedule { repeats: 50_000, first: greatest, interval: greatest });
        cell.accept("repeated", repeated);
        assert!(cell.place().is_empty());
        cell.accept("other", record(rules(1), vec![step(1, 1000)]));
        assert_eq!(cell.place().len(), 1, "other jobs go on");
    }

    /// Guards against an owner that ends over the objective of a queue.
    the_greatest_objectives_are_kept(cell) {
        cell.add_workers(&["a"]);
        let permission = PermissionCost {
            base: Duration::MAX,
            per_worker: Duration::MAX,
            validity: Duration::MAX,
        };
        for (stretch, objective) in
            [(f64::MAX, Duration::MAX), (f64::INFINITY, Duration::ZERO), (f64::NAN, Duration::MAX)]
        {
            for permission in [None, Some(permission)] {
                let rules = QueueRules { stretch, objective, permission, ..rules(1) };
                let lasting = StepPlan { estimate: Duration::MAX, ..step(1, 1000) };
                let second = StepPlan { after: vec![0], ..lasting.clone() };
                let great = record(rules, vec![lasting, second]);
                assert!(cell.scheduler.admission_load(&great) >= 0.0);
                cell.accept(&format!("{stretch}-{}", permission.is_some()), great);
                cell.scheduler.update_waiting_load(UNIX_TIME);
                cell.place();
            }
        }
        cell.accept("urgent", record(rules(0), vec![step(1, 1000)]));
        assert_eq!(cell.place().len(), 1, "other jobs go on");
    }
}
