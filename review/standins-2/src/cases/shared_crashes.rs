//! All executors of a zone crash together, and some seconds later those of another zone.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::bed::Bed;
use crate::bed::Verdict;
use crate::bed::ZONES;
use crate::record::Record;

use super::place;

const EXECUTORS_PER_ZONE: usize = 3;
/// The submissions, each with two tasks of 4 cores: the first ones last, the others take 8 s.
const JOBS: usize = 9;
const LASTING_JOBS: usize = 4;
/// A time beyond the end of the case.
const LASTING_MS: u64 = 600_000;
/// How long after the crashes the submissions are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// How long the executors of a zone are down.
const DOWN: Duration = Duration::from_secs(1);
/// The time between their return and the crash of the other zone.
const PAUSE: Duration = Duration::from_secs(4);

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut places = Vec::new();
    for (zone, rack) in ZONES.iter().zip(["r1", "r2", "r3"]) {
        for index in 1..=EXECUTORS_PER_ZONE {
            places.push(place(&format!("i-{zone}-{index}"), zone, rack));
        }
    }
    let bed = Bed::start(root, record, places)?;
    let ids: Vec<String> =
        (1..=JOBS).map(|job| format!("00000000000000c{job}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let lasting = number < LASTING_JOBS;
        let time = if lasting { LASTING_MS } else { 8000 };
        let mut step =
            json!({ "count": 2, "cpu": 4000, "mem_mb": 100, "estimate_ms": 8000 });
        if lasting {
            step["long_running"] = json!(true);
        }
        bed.submit(id, &json!({ "spec": format!("{time} done"), "steps": [step] }))?;
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let first = busiest_zone(&bed, 0);
        crash_zone(&bed, first);
        thread::sleep(PAUSE);
        crash_zone(&bed, busiest_zone(&bed, 1));
    }
    thread::sleep(FINISH);
    let mut failed = 0;
    for id in &ids {
        let state = bed.state(id).unwrap_or_default();
        record.say(&format!("{id} is shown as {state}"));
        failed += usize::from(state == "failed");
    }
    let runs = bed.executors.iter().flat_map(|executor| executor.runs());
    let listed = runs.filter(|run| matches!(run.ended, Some((_, "failed")))).count();
    bed.record_logs(&["event=run-crashed", "event=job-given-up"]);
    record.say(&format!("{failed} submissions failed; {listed} runs ended `failed`"));
    Ok(failed == 0)
}

/// Returns the zone where the most runs are at work that follow as many others of their tasks.
fn busiest_zone(bed: &Bed, before: u64) -> &'static str {
    let runs = |zone: &str| {
        let executors = bed.executors.iter().filter(|e| e.place().zone == zone);
        let runs = executors.flat_map(|executor| executor.runs());
        runs.filter(|run| run.ended.is_none() && run.run > before).count()
    };
    ZONES.into_iter().max_by_key(|zone| runs(zone)).expect("a zone")
}

/// Crashes all executors of a zone, which start again after a while.
fn crash_zone(bed: &Bed, zone: &str) {
    bed.record.say(&format!("the executors of {zone} crash"));
    let hit: Vec<_> = bed.executors.iter().filter(|e| e.place().zone == zone).collect();
    hit.iter().for_each(|executor| executor.crash());
    thread::sleep(DOWN);
    hit.iter().for_each(|executor| executor.restart());
}
