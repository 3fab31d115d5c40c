//! The rule TWICE, as far as the cases need it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::executor::Executor;
use crate::executor::Run;

/// Returns the starts that break the rule TWICE: of a task that has a run at work on an executor that is
/// up, or that has a run that had ended `done` before, if that end was taken note of at any time and the
/// lease had not run out between the two.
pub fn double_starts(executors: &[Arc<Executor>]) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in executors.iter().flat_map(|executor| executor.runs()) {
        runs.entry(run.task.clone()).or_default().push(run);
    }
    let mut found = Vec::new();
    for (task, mut runs) in runs {
        runs.sort_by_key(|run| run.started_ms);
        for (index, later) in runs.iter().enumerate() {
            for earlier in &runs[..index] {
                let why = match (earlier.ended, earlier.noted_ms) {
                    (Some((at, "done")), Some(noted)) if at < later.started_ms => {
                        format!("ended done at {at} ms, taken note of at {noted} ms")
                    }
                    (Some((at, _)), _) if at <= later.started_ms => continue,
                    _ => "was at work".to_owned(),
                };
                found.push(format!(
                    "{task}: run {} started at {} ms on {}; run {} on {} {why}",
                    later.run, later.started_ms, later.life, earlier.run, earlier.life
                ));
            }
        }
    }
    found
}
