//! Odd entries of another writer in the list of workers: real processes go on.

use std::time::Duration;

use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::Value;
use serde_json::json;

/// The time in which processes read the list several times.
const LIST_TIME: Duration = Duration::from_millis(2500);
/// More entries than a page of the list has.
const PAGE_ENTRIES: u64 = 600;

/// Creates a job identifier.
fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Creates an entry with one field replaced, at an address where no worker is.
fn entry(field: &str, value: Value) -> String {
    let mut entry = json!({
        "service": "service", "address": "127.0.0.1:9", "zone": "d0", "state": "ready",
        "capacity": { "cpu": 16000, "mem_mb": 65536, "gpu": 0 }, "labels": ["a", "r1"],
        "born": 1,
    });
    entry[field] = value;
    entry.to_string()
}

/// Creates a capacity.
fn capacity(cpu: u64, memory_mb: u64) -> Value {
    json!({ "cpu": cpu, "mem_mb": memory_mb, "gpu": 0 })
}

/// Returns odd entries, whose identifiers sort before and after those of the workers.
fn odd_entries() -> Vec<(String, String)> {
    let great = u64::MAX;
    let values = [
        "[".repeat(100_000),
        entry("labels", json!([])).replace("[]", &"[".repeat(100_000)),
        entry("capacity", capacity(great, great)),
        entry("capacity", capacity(great, great)),
        entry("capacity", capacity(1 << 63, 1 << 44)),
        entry("capacity", capacity(16_000, 1 << 44)),
        entry("capacity", json!(0)).replace('0', "1e400"),
        entry("address", json!("127.0.0.1:0")),
        entry("address", json!("127.0.0.1:65536")),
        entry("address", json!("127.0.0.1:99999")),
        entry("born", json!(great)),
        entry("state", json!("resting")),
    ];
    let pairs = values.into_iter().enumerate().flat_map(|(number, value)| {
        ["!", "~"].map(|first| (format!("{first}{number:02}"), value.clone()))
    });
    pairs.collect()
}

/// Submits jobs to all processes, waits for their ends and returns the workers that ran them.
async fn run_jobs(cell: &FleetCell, first: u64) -> Vec<u64> {
    let known = cell.runs().await.len();
    for number in first..first + 6 {
        let process = number as usize % 2;
        assert_eq!(cell.submit(process, &id(number), "50 done", 3).await, 200);
    }
    for number in first..first + 6 {
        cell.await_state((number as usize + 1) % 2, &id(number), "completed").await;
    }
    let runs = cell.runs().await;
    assert_eq!(runs.len(), known + 18);
    runs.iter().filter_map(|run| run["worker"].as_u64()).collect()
}

/// Checks that the list is read to its end and that its changes take effect: new tasks go only to
/// the one worker that doesn't drain.
async fn check_changes(cell: &FleetCell, first: u64) {
    cell.set_worker_state(0, Some("draining")).await;
    cell.set_worker_state(1, Some("draining")).await;
    tokio::time::sleep(LIST_TIME).await;
    let before = run_count(cell).await;
    run_jobs(cell, first).await;
    let after = run_count(cell).await;
    assert_eq!(after[..2], before[..2], "no task on workers that drain");
    assert_eq!(after[2], before[2] + 18);
}

/// Returns the number of runs of each worker.
async fn run_count(cell: &FleetCell) -> [usize; 3] {
    let runs = cell.runs().await;
    [0, 1, 2].map(|worker| runs.iter().filter(|run| run["worker"] == worker).count())
}

/// Guards against owners that end one after the other, or that stop following the list, over odd
/// entries beside those of the workers.
#[test]
fn a_cell_goes_on_beside_odd_entries() {
    run_test(async {
        let mut cell = FleetCell::start(2, 3).await;
        let owner = cell.await_owner().await;
        let epoch = cell.metric(owner, "geraniumwinch_cell_epoch").await;
        run_jobs(&cell, 0).await;
        cell.write_entries(&odd_entries()).await;
        tokio::time::sleep(LIST_TIME).await;
        run_jobs(&cell, 100).await;
        check_changes(&cell, 200).await;
        assert_eq!(cell.await_owner().await, owner);
        assert_eq!(cell.metric(owner, "geraniumwinch_cell_epoch").await, epoch);
        let log = std::fs::read_to_string(cell.log_dir().join(format!("{owner}.log")));
        let log = log.expect("the owner's log");
        for (id, _) in odd_entries() {
            let line = format!("event=entry-skipped key=servers/{id} ");
            assert_eq!(log.matches(&line).count(), 1, "{line}");
        }
        cell.check_runs().await;
        cell.kill(owner);
        let other = 1 - owner;
        wait_until("the other process owns the cell", async || {
            cell.owner().await == Some(other)
        })
        .await;
        assert_eq!(cell.submit(other, &id(300), "50 done", 3).await, 200);
        cell.await_state(other, &id(300), "completed").await;
    });
}

/// Guards against a reader that reads the same page of the list again and again, since the last key
/// of the page has characters with a meaning in the query.
#[test]
fn a_cell_reads_the_list_beyond_a_page_that_ends_at_an_odd_key() {
    run_test(async {
        let cell = FleetCell::start(2, 3).await;
        cell.await_owner().await;
        run_jobs(&cell, 0).await;
        let odd = (0..PAGE_ENTRIES)
            .map(|number| (format!("!&a=#%3 +\u{fc}{number:03}"), "{".to_owned()));
        cell.write_entries(&odd.collect::<Vec<_>>()).await;
        tokio::time::sleep(LIST_TIME).await;
        check_changes(&cell, 100).await;
    });
}
