//! Workers whose entries are gone after they have announced that they leave.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::EntryRevision;
use geraniumwinch_fleet::LossCause;
use geraniumwinch_fleet::RunOutcome;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::SchedulerEvent;
use geraniumwinch_fleet::StartOutcome;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerKey;
use geraniumwinch_fleet::WorkerList;
use geraniumwinch_fleet::WorkerRecord;

use self::common::LEASE;
use self::common::TestCell;
use self::common::ended;
use self::common::record;
use self::common::rules;
use self::common::step;
use self::common::worker_info;

/// The interval of the workers' reports to the list, in milliseconds.
const REPORT_MS: u64 = 1_500;
/// The interval at which the list is read, in milliseconds.
const LIST_MS: u64 = 700;
/// How long a read of the list takes.
const READ_TIME: Duration = Duration::from_millis(20);

/// Reads a list with entries of the two workers, given by their revisions; `None` if an entry is gone.
fn read(cell: &mut TestCell, leaving: Option<u64>, other: u64) {
    let listed = [("leaving", leaving), ("w", Some(other))];
    let listed = listed.iter().filter_map(|(id, revision)| Some((*id, (*revision)?)));
    let workers = listed
        .clone()
        .map(|(id, _)| WorkerInfo { accepting: id != "leaving", ..worker_info(id) });
    let entries = listed
        .clone()
        .map(|(id, revision)| EntryRevision { id: id.into(), revision })
        .collect();
    let list = WorkerList { workers: workers.collect(), entries, is_whole: true };
    let sent = cell.now;
    cell.now += READ_TIME;
    cell.scheduler.list_workers(list, sent, cell.now);
}

/// Creates a cell in which a task runs on a worker that then announces that it leaves.
fn leaving_cell() -> (TestCell, RunStart, WorkerKey) {
    let mut cell = TestCell::new(1);
    cell.scheduler.set_report_interval(Duration::from_millis(REPORT_MS));
    let workers = cell.add_workers(&["leaving"]);
    cell.accept("job", record(rules(1), vec![step(1, 4_000)]));
    let start = cell.start_all().remove(0);
    cell.scheduler.extend_lease(workers[0], cell.now);
    cell.add_workers(&["leaving", "w"]);
    (cell, start, workers[0])
}

/// Has the leaving worker report to the list twice.
fn announce(cell: &mut TestCell) {
    read(cell, Some(1), 1);
    cell.wait(LIST_MS);
    read(cell, Some(2), 2);
    cell.wait(LIST_MS);
    read(cell, Some(2), 2);
    cell.wait(LIST_MS);
}

/// Returns whether the scheduler has taken a worker as departed.
fn departs(cell: &mut TestCell) -> bool {
    let events = cell.scheduler.take_events();
    events.iter().any(|event| matches!(event, SchedulerEvent::Departed { .. }))
}

/// Guards against tasks that wait for the lease of a worker that has left as announced (LOST on days
/// of drains).
#[test]
fn a_task_of_a_worker_that_has_left_is_placed_again_at_once() {
    let (mut cell, start, worker) = leaving_cell();
    announce(&mut cell);
    read(&mut cell, None, 3);
    assert!(departs(&mut cell));
    let starts = cell.place();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > start.run);
    assert_ne!(starts[0].worker, worker);
    let lost = cell.scheduler.take_lost_work();
    assert!(lost.keys().all(|loss| loss.cause != LossCause::LeaseExpired));
}

#[test]
fn a_worker_that_has_left_is_forgotten_when_it_no_longer_responds() {
    let (mut cell, _, worker) = leaving_cell();
    announce(&mut cell);
    read(&mut cell, None, 3);
    cell.scheduler.mark_silent(worker, cell.now);
    assert!(cell.scheduler.remove_if_gone(worker, cell.now));
}

/// An entry is also removed when its worker doesn't report for three intervals; the worker may go on.
#[test]
fn an_entry_that_is_gone_late_proves_nothing() {
    let (mut cell, _, _) = leaving_cell();
    announce(&mut cell);
    cell.wait(3 * REPORT_MS);
    read(&mut cell, None, 3);
    assert!(!departs(&mut cell));
    assert_eq!(cell.place().len(), 0, "its lease has not expired");
}

#[test]
fn an_entry_of_which_one_report_was_seen_proves_nothing() {
    let (mut cell, _, _) = leaving_cell();
    read(&mut cell, Some(1), 1);
    cell.wait(LIST_MS);
    read(&mut cell, None, 2);
    assert!(!departs(&mut cell));
}

/// The worker may have crashed, or be unable to reach the store.
#[test]
fn a_worker_that_has_not_announced_it_has_not_left() {
    let mut cell = TestCell::new(1);
    cell.scheduler.set_report_interval(Duration::from_millis(REPORT_MS));
    cell.add_workers(&["w"]);
    for revision in 1..3 {
        read(&mut cell, None, revision);
        cell.wait(LIST_MS);
    }
    let list = WorkerList { is_whole: true, ..WorkerList::default() };
    cell.scheduler.list_workers(list, cell.now, cell.now);
    assert!(!departs(&mut cell));
}

/// Guards against workers that are taken as gone because a list was cut short, or an entry is odd.
#[test]
fn a_list_that_may_lack_entries_proves_nothing() {
    let (mut cell, _, _) = leaving_cell();
    announce(&mut cell);
    let list = WorkerList::default();
    cell.scheduler.list_workers(list, cell.now, cell.now);
    assert!(!departs(&mut cell));
    let entries = vec![EntryRevision { id: "leaving".into(), revision: 3 }];
    let unreadable = WorkerList { workers: Vec::new(), entries, is_whole: true };
    cell.scheduler.list_workers(unreadable, cell.now, cell.now);
    assert!(!departs(&mut cell));
}

#[test]
fn no_worker_departs_while_the_interval_of_reports_is_unknown() {
    let (mut cell, _, _) = leaving_cell();
    cell.scheduler.set_report_interval(Duration::ZERO);
    announce(&mut cell);
    read(&mut cell, None, 3);
    assert!(!departs(&mut cell));
}

/// Guards against a task in two places: a worker may start again under the id that it had, and execute
/// a start that got no response.
#[test]
fn a_task_whose_start_may_still_be_executed_waits() {
    let (mut cell, start, _) = leaving_cell();
    let now = cell.now;
    cell.scheduler.start_unanswered(start.worker, &start.task, start.run, now);
    cell.outcome(&start, StartOutcome::Unknown);
    announce(&mut cell);
    read(&mut cell, None, 3);
    assert!(departs(&mut cell));
    assert_eq!(cell.place().len(), 0);
    cell.wait(13_000);
    assert_eq!(cell.place().len(), 1);
}

/// Guards against tasks that are taken from a worker which is listed again.
#[test]
fn a_worker_that_is_listed_again_keeps_what_it_runs() {
    let (mut cell, _, worker) = leaving_cell();
    announce(&mut cell);
    read(&mut cell, None, 3);
    cell.start_all();
    cell.scheduler.set_workers(vec![worker_info("leaving")], cell.now);
    cell.report(worker, Vec::new(), Vec::new());
    cell.accept("next", record(rules(1), vec![step(1, 4_000)]));
    let starts = cell.start_all();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, worker);
    cell.wait(LIST_MS);
    assert_eq!(cell.place().len(), 0, "its run goes on");
}

/// A done end that was read before the worker left stands.
#[test]
fn a_task_that_was_done_before_is_not_placed_again() {
    let (mut cell, start, worker) = leaving_cell();
    announce(&mut cell);
    let end = ended(1, start.task.clone(), start.run, RunOutcome::Done);
    cell.report(worker, Vec::new(), vec![end]);
    read(&mut cell, None, 3);
    assert_eq!(cell.place().len(), 0);
}

/// Guards against slow takeovers: what a former owner has left on a worker that has left since is over.
#[test]
fn a_new_owner_does_not_wait_for_a_worker_that_has_left() {
    let mut cell = TestCell::new(2);
    cell.scheduler.set_report_interval(Duration::from_millis(REPORT_MS));
    let until: BootTime = cell.now + LEASE;
    cell.scheduler.load_job("job".into(), record(rules(1), vec![step(1, 4_000)]), until);
    let recorded = vec![WorkerRecord::unrestricted(worker_info("leaving"))];
    let loaded = cell.scheduler.load_workers(recorded, until);
    cell.add_workers(&["w"]);
    announce(&mut cell);
    assert_eq!(cell.place().len(), 0, "the task may run on the leaving worker");
    read(&mut cell, None, 3);
    assert!(departs(&mut cell));
    assert_eq!(cell.place().len(), 1);
    cell.scheduler.mark_silent(loaded[0], cell.now);
    assert!(cell.scheduler.remove_if_gone(loaded[0], cell.now));
}
