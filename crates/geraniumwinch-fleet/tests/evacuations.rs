//! Evacuated failure domains: nothing starts there, what waits goes elsewhere, and what runs goes on.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::PossibleRuns;
use geraniumwinch_fleet::QueueRules;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::StepPlan;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerRecord;

use self::common::LEASE;
use self::common::LONG_REQUESTS;
use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::record;
use self::common::rules;
use self::common::running;
use self::common::step;
use self::common::task;
use self::common::worker_info;

/// Creates the entry of a worker in a domain. Workers of different domains have different labels.
fn info_in(id: &str, domain: &str) -> WorkerInfo {
    WorkerInfo { domain: domain.into(), labels: vec![domain.into()], ..worker_info(id) }
}

/// Lists and records one idle worker in each domain, named after it.
fn add_domains(cell: &mut TestCell, domains: &[&str]) -> Vec<WorkerKey> {
    let infos: Vec<WorkerInfo> = domains.iter().map(|d| info_in(d, d)).collect();
    let keys = cell.scheduler.set_workers(infos.clone(), cell.now);
    let records: Vec<WorkerRecord> =
        infos.into_iter().map(WorkerRecord::unrestricted).collect();
    cell.scheduler.worker_records_stored(&records);
    keys.iter().for_each(|&key| cell.report(key, Vec::new(), Vec::new()));
    keys
}

/// Evacuates exactly the given domains.
fn evacuate(cell: &mut TestCell, domains: &[&str]) {
    let domains = domains.iter().map(|&domain| domain.into());
    cell.scheduler.set_evacuated(domains.collect::<BTreeSet<_>>());
}

/// Returns the domains of the workers on which tasks start, sorted and without repetition.
fn started_in(cell: &TestCell, starts: &[RunStart]) -> Vec<String> {
    let domain = |start: &RunStart| {
        let info = cell.scheduler.worker_info(start.worker).expect("a known worker");
        info.domain.to_string()
    };
    starts.iter().map(domain).collect::<BTreeSet<_>>().into_iter().collect()
}

/// Creates the rules of a queue that requires permissions.
fn permitted(priority: u32) -> QueueRules {
    let permission = Some(PermissionCost {
        base: Duration::ZERO,
        per_worker: Duration::from_millis(1),
        validity: Duration::from_secs(2),
    });
    QueueRules { permission, ..rules(priority) }
}

cases! {
    nothing_starts_in_an_evacuated_domain_and_its_runs_go_on(cell) {
        let workers = add_domains(&mut cell, &["a", "b"]);
        cell.accept("first", record(rules(1), vec![step(8, 4_000)]));
        assert_eq!(cell.start_all().len(), 8);
        evacuate(&mut cell, &["a"]);
        cell.accept("second", record(rules(1), vec![step(2, 4_000)]));
        assert!(cell.place().is_empty());
        assert!(cell.scheduler.take_stops().is_empty());
        assert!(cell.scheduler.is_evacuated(workers[0]));
        assert!(!cell.scheduler.is_evacuated(workers[1]));
    }

    what_waits_is_placed_elsewhere(cell) {
        add_domains(&mut cell, &["a", "b"]);
        evacuate(&mut cell, &["a"]);
        cell.accept("job", record(rules(1), vec![step(6, 4_000)]));
        let starts = cell.start_all();
        assert_eq!((starts.len(), started_in(&cell, &starts)), (4, vec!["b".to_owned()]));
    }

    two_domains_are_evacuated_at_once(cell) {
        add_domains(&mut cell, &["a", "b", "c"]);
        evacuate(&mut cell, &["a", "c"]);
        cell.accept("job", record(rules(1), vec![step(12, 4_000)]));
        let starts = cell.start_all();
        assert_eq!((starts.len(), started_in(&cell, &starts)), (4, vec!["b".to_owned()]));
        evacuate(&mut cell, &["c"]);
        assert_eq!(cell.start_all().len(), 4);
    }

    /// The backlog must not overcommit the workers that return.
    a_domain_that_is_taken_back_serves_the_backlog_within_its_capacity(cell) {
        let workers = add_domains(&mut cell, &["a", "b"]);
        cell.accept("first", record(rules(1), vec![step(5, 4_000)]));
        assert_eq!(cell.start_all().len(), 5);
        evacuate(&mut cell, &["a", "b"]);
        cell.accept("backlog", record(rules(1), vec![step(60, 4_000)]));
        assert!(cell.place().is_empty());
        evacuate(&mut cell, &[]);
        assert_eq!(cell.start_all().len(), 3);
        assert!(cell.place().is_empty());
        assert!(workers.iter().all(|&worker| !cell.scheduler.is_evacuated(worker)));
    }

    a_gang_that_only_fits_in_an_evacuated_domain_waits(cell) {
        add_domains(&mut cell, &["a", "b"]);
        evacuate(&mut cell, &["a"]);
        let gang = StepPlan {
            gang: true, required_label: Some("a".into()), ..step(4, 4_000)
        };
        cell.accept("gang", record(rules(1), vec![gang]));
        let wide = StepPlan { gang: true, ..step(5, 4_000) };
        cell.accept("wide", record(rules(1), vec![wide]));
        assert!(cell.place().is_empty());
        evacuate(&mut cell, &[]);
        assert_eq!(cell.place().len(), 4);
    }

    /// A reservation that outlived the request would start the gang in the evacuated domain.
    a_reservation_in_a_domain_is_released_when_it_is_evacuated(cell) {
        let workers = add_domains(&mut cell, &["a"]);
        let bulk = StepPlan { saves_progress: true, ..step(3, 4_000) };
        cell.accept("bulk", record(rules(2), vec![bulk]));
        cell.start_all();
        let gang = StepPlan { gang: true, ..step(2, 4_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        assert!(cell.place().is_empty(), "capacity is reserved, and one task is stopped");
        assert_eq!(cell.scheduler.take_stops().len(), 1);
        evacuate(&mut cell, &["a"]);
        // The capacity that was reserved becomes free.
        cell.report(workers[0], Vec::new(), Vec::new());
        assert!(cell.place().is_empty());
        evacuate(&mut cell, &[]);
        cell.accept("small", record(rules(2), vec![step(4, 4_000)]));
        let starts = cell.place();
        let of_gang = starts.iter().filter(|start| &*start.task.step.job == "gang");
        assert_eq!(of_gang.count(), 2, "{starts:?}");
    }

    a_gang_finds_another_domain_after_its_reservation_was_released(cell) {
        let workers = add_domains(&mut cell, &["a"]);
        let bulk = StepPlan { saves_progress: true, ..step(3, 4_000) };
        cell.accept("bulk", record(rules(2), vec![bulk]));
        cell.start_all();
        let gang = StepPlan { gang: true, ..step(2, 4_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        assert!(cell.place().is_empty());
        evacuate(&mut cell, &["a"]);
        let infos = vec![info_in("a", "a"), info_in("b", "b")];
        let added = cell.scheduler.set_workers(infos.clone(), cell.now);
        let records = infos.into_iter().map(WorkerRecord::unrestricted);
        cell.scheduler.worker_records_stored(&records.collect::<Vec<_>>());
        cell.report(added[0], Vec::new(), Vec::new());
        let starts = cell.place();
        assert_eq!((starts.len(), started_in(&cell, &starts)), (2, vec!["b".to_owned()]));
        assert!(!starts.iter().any(|start| start.worker == workers[0]));
    }

    /// Work that is stopped for capacity that can't be used is lost.
    nothing_is_preempted_in_an_evacuated_domain(cell) {
        add_domains(&mut cell, &["a"]);
        let bulk = StepPlan { saves_progress: true, ..step(4, 4_000) };
        cell.accept("bulk", record(rules(2), vec![bulk]));
        cell.start_all();
        evacuate(&mut cell, &["a"]);
        cell.accept("urgent", record(rules(0), vec![step(1, 4_000)]));
        let gang = StepPlan { gang: true, ..step(2, 4_000) };
        cell.accept("gang", record(rules(1), vec![gang]));
        assert!(cell.place().is_empty());
        assert!(cell.scheduler.take_stops().is_empty());
    }

    permission_requests_do_not_name_evacuated_workers(cell) {
        add_domains(&mut cell, &["a", "b"]);
        evacuate(&mut cell, &["a"]);
        cell.accept("job", record(permitted(1), vec![step(8, 4_000)]));
        let round = cell.scheduler.place(UNIX_TIME, cell.now, LONG_REQUESTS);
        let named: Vec<_> = round.requests.iter().flat_map(|r| &r.workers).collect();
        assert_eq!(named, [&"b".into()]);
    }

    /// The refusal of a start that was withheld must not count as a failure of its task.
    a_start_that_was_withheld_is_placed_elsewhere(cell) {
        let workers = add_domains(&mut cell, &["a"]);
        cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
        let start = cell.place().remove(0);
        evacuate(&mut cell, &["a"]);
        cell.outcome(&start, StartOutcome::Refused);
        assert!(cell.place().is_empty());
        evacuate(&mut cell, &[]);
        let again = cell.place().remove(0);
        assert_eq!((again.worker, again.run), (workers[0], start.run + 1));
    }

    admission_counts_only_capacity_that_can_be_used(cell) {
        add_domains(&mut cell, &["a", "b"]);
        cell.accept("less-urgent", record(rules(3), vec![step(8, 4_000)]));
        cell.start_all();
        cell.accept("ahead", record(rules(1), vec![step(60, 4_000)]));
        cell.scheduler.update_waiting_load(UNIX_TIME);
        let new = record(rules(1), vec![step(1, 4_000)]);
        let (load, backlog) =
            (cell.scheduler.admission_load(&new), cell.scheduler.backlog());
        evacuate(&mut cell, &["a"]);
        let ratio = cell.scheduler.admission_load(&new) / load;
        assert!((1.9..2.1).contains(&ratio), "the load rose by {ratio}");
        assert!((cell.scheduler.backlog() / backlog - 2.0).abs() < 0.01);
        evacuate(&mut cell, &[]);
        assert!((cell.scheduler.admission_load(&new) / load - 1.0).abs() < 0.01);
    }

    an_evacuated_domain_is_empty_once_its_runs_have_ended(cell) {
        let workers = add_domains(&mut cell, &["a", "b"]);
        cell.accept("job", record(rules(1), vec![step(4, 4_000)]));
        let starts = cell.start_all();
        let used = started_in(&cell, &starts).remove(0);
        evacuate(&mut cell, &[&used, "unknown"]);
        let progress = cell.scheduler.evacuation_progress(cell.now);
        assert_eq!((progress[0].workers, progress[0].runs), (1, 4));
        assert!(!progress[0].is_empty());
        assert!((progress[1].workers, progress[1].is_empty()) == (0, true));
        let worker = if used == "a" { workers[0] } else { workers[1] };
        assert_eq!(starts[0].worker, worker);
        cell.report(worker, Vec::new(), Vec::new());
        assert!(cell.scheduler.evacuation_progress(cell.now)[0].is_empty());
    }
}

/// A new owner must not start anything in the domain before or after its workers have reported, and
/// does not call the domain empty while a former owner's runs may exist there.
#[test]
fn a_new_owner_withholds_starts_and_keeps_the_runs() {
    let mut cell = TestCell::new(2);
    cell.scheduler = FleetScheduler::new(2, LEASE);
    evacuate(&mut cell, &["a"]);
    let until = cell.now + LEASE;
    cell.scheduler.load_job("job".into(), record(rules(1), vec![step(2, 4_000)]), until);
    let former =
        WorkerRecord { info: info_in("a", "a"), possible_runs: PossibleRuns::Any };
    let worker = cell.scheduler.load_workers(vec![former], until)[0];
    let infos = vec![info_in("a", "a")];
    cell.scheduler.set_workers(infos.clone(), cell.now);
    let records: Vec<WorkerRecord> =
        infos.into_iter().map(WorkerRecord::unrestricted).collect();
    cell.scheduler.worker_records_stored(&records);
    let progress = cell.scheduler.evacuation_progress(cell.now);
    assert_eq!((progress[0].runs, progress[0].uncertain_workers), (0, 1));
    cell.report(worker, vec![running(task("job", 0, 0), 1)], Vec::new());
    assert!(cell.place().is_empty());
    assert!(cell.scheduler.take_stops().is_empty(), "the former owner's run goes on");
    evacuate(&mut cell, &[]);
    assert_eq!(cell.place().len(), 1);
}
