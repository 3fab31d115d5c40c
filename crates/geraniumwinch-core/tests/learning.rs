//! Tests of learned durations and speeds.

use std::time::Duration;

use geraniumwinch_core::DurationClass;
use geraniumwinch_core::DurationModel;
use geraniumwinch_core::Name;
use geraniumwinch_core::SpeedTable;
use test_case::test_case;

/// The estimate of the tasks.
const ESTIMATE: Duration = Duration::from_secs(2);

fn class(queue: &str) -> DurationClass {
    DurationClass { queue: queue.into(), gang: false }
}

/// Adds ends that took `factor` times the estimate, 100 ms apart, and returns the time after them.
fn add_ends(
    model: &mut DurationModel,
    ends: u32,
    factor: f64,
    mut now: Duration,
) -> Duration {
    for _ in 0..ends {
        now += Duration::from_millis(100);
        model.observe(&class("queue"), ESTIMATE, ESTIMATE.mul_f64(factor), now);
    }
    now
}

/// Adds ends of a worker that took `factor` times what is expected, and returns the time after them.
fn add_runs(
    table: &mut SpeedTable,
    id: &str,
    ends: u32,
    factor: f64,
    mut now: Duration,
) -> Duration {
    for _ in 0..ends {
        now += Duration::from_millis(100);
        table.observe(id, ESTIMATE, ESTIMATE.mul_f64(factor), now);
    }
    now
}

/// Creates a table with three ordinary workers and a slow one, all known.
fn uneven_table() -> SpeedTable {
    let mut table = SpeedTable::default();
    for (id, factor) in [("a", 1.0), ("b", 1.0), ("c", 1.0), ("slow", 2.2)] {
        table.list(&id.into(), 1, Vec::new());
        add_runs(&mut table, id, 12, factor, Duration::ZERO);
    }
    table
}

/// Load: queues whose estimates are off by half or more, either way.
#[test_case(1.5)]
#[test_case(0.5)]
#[test_case(1.0)]
fn a_ratio_is_learned(factor: f64) {
    let mut model = DurationModel::default();
    add_ends(&mut model, 80, factor, Duration::ZERO);
    let ratio = model.ratio(&class("queue")).expect("enough ends are known");
    assert!((ratio.typical / factor).ln().abs() < 0.05, "{ratio:?}");
    assert!((ratio.total / factor).ln().abs() < 0.05, "{ratio:?}");
}

/// Load: few ends.
#[test]
fn estimates_hold_until_enough_ends_are_known() {
    let mut model = DurationModel::default();
    add_ends(&mut model, 10, 3.0, Duration::ZERO);
    assert_eq!(model.ratio(&class("queue")), None);
    assert_eq!(model.revision(), 0);
}

/// Load: a few tasks that last seven times as long. They count in sums, not for a typical task.
#[test]
fn a_tail_hardly_moves_the_typical_duration() {
    let mut model = DurationModel::default();
    let mut now = Duration::ZERO;
    for round in 0..300 {
        let factor = if round % 33 == 32 { 7.0 } else { 1.0 };
        now = add_ends(&mut model, 1, factor, now);
    }
    let ratio = model.ratio(&class("queue")).expect("enough ends are known");
    assert!(ratio.typical < 1.1, "{ratio:?}");
    assert!(ratio.total > 1.1, "{ratio:?}");
}

/// Load: tasks of unlike length that all start at once, as after a takeover or in a burst. The short
/// ones end first and must not make the queue seem short.
#[test]
fn short_tasks_that_end_first_do_not_count_alone() {
    let mut model = DurationModel::default();
    for number in 1..=100u32 {
        let time = ESTIMATE.mul_f64(f64::from(number) / 50.0);
        model.observe(&class("queue"), ESTIMATE, time, time);
        let ratio = model.ratio(&class("queue"));
        assert!(ratio.is_none_or(|ratio| ratio.total > 0.8), "{number}: {ratio:?}");
    }
    model.observe(&class("queue"), ESTIMATE, ESTIMATE * 2, ESTIMATE * 3);
    let ratio = model.ratio(&class("queue")).expect("enough ends are known");
    assert!((ratio.total - 1.0).abs() < 0.1, "{ratio:?}");
}

/// Load: tasks of a queue become three times as long.
#[test]
fn a_change_of_load_is_followed() {
    let mut model = DurationModel::default();
    let now = add_ends(&mut model, 2000, 1.0, Duration::ZERO);
    let revision = model.revision();
    add_ends(&mut model, 900, 3.0, now);
    let ratio = model.ratio(&class("queue")).expect("enough ends are known");
    assert!(ratio.typical > 2.2, "{ratio:?}");
    assert!(model.revision() > revision);
}

/// Load: a queue that is idle for long. What was learned then says little about what comes.
#[test]
fn estimates_hold_again_after_a_long_pause() {
    let mut model = DurationModel::default();
    let now = add_ends(&mut model, 100, 2.0, Duration::ZERO);
    add_ends(&mut model, 1, 2.0, now + Duration::from_secs(600));
    assert_eq!(model.ratio(&class("queue")), None);
}

/// Load: many short-lived queues. The state is bounded, and the newest are kept.
#[test]
fn the_number_of_queues_is_bounded() {
    let mut model = DurationModel::default();
    for number in 0..1000u64 {
        let class = class(&format!("queue-{number}"));
        model.observe(&class, ESTIMATE, ESTIMATE, Duration::from_secs(number));
    }
    let classes: Vec<&DurationClass> = model.classes().map(|(class, ..)| class).collect();
    assert!(classes.len() <= 512, "{}", classes.len());
    assert!(classes.contains(&&class("queue-999")));
    assert!(!classes.contains(&&class("queue-0")));
}

/// Load: a quarter of the workers runs at less than half the speed of the others.
#[test]
fn a_slow_worker_is_known_after_a_few_ends() {
    let table = uneven_table();
    assert!(table.speed_step("slow") <= table.speed_step("a") - 2);
    let relation = table.speed("slow") / table.speed("a");
    assert!((0.4..0.6).contains(&relation), "{relation}");
    assert!(table.spread() > 0.2);
}

/// Load: tasks with a long tail on workers that are alike.
#[test]
fn one_long_task_does_not_make_a_worker_slow() {
    let mut table = SpeedTable::default();
    for id in ["a", "b"] {
        table.list(&id.into(), 1, Vec::new());
        add_runs(&mut table, id, 6, 1.0, Duration::ZERO);
    }
    add_runs(&mut table, "a", 1, 20.0, Duration::from_secs(1));
    assert_eq!(table.speed_step("a"), table.speed_step("b"));
}

/// Load: a worker turns slow.
#[test]
fn a_worker_that_turns_slow_is_noticed() {
    let mut table = SpeedTable::default();
    for id in ["a", "b", "c"] {
        table.list(&id.into(), 1, Vec::new());
        add_runs(&mut table, id, 200, 1.0, Duration::ZERO);
    }
    add_runs(&mut table, "a", 24, 2.5, Duration::from_secs(20));
    assert!(table.speed_step("a") < table.speed_step("b"));
}

/// Load: workers that restart. Only one that comes back as another kind is forgotten.
#[test_case("small", 1, true)]
#[test_case("small", 2, true)]
#[test_case("large", 2, false)]
fn a_worker_that_is_listed_again(kind: &str, incarnation: u64, is_kept: bool) {
    let mut table = uneven_table();
    let small: Vec<Name> = vec!["small".into()];
    table.list(&"back".into(), 1, small);
    add_runs(&mut table, "back", 12, 2.2, Duration::ZERO);
    table.list(&"back".into(), incarnation, vec![kind.into()]);
    assert_eq!(table.speed("back") < 0.9, is_kept);
}

/// Load: workers are added whose kind is known to be slow, or known to be mixed.
#[test_case([2.2, 2.2, 2.2, 2.2], true)]
#[test_case([2.2, 1.0, 2.2, 1.0], false)]
fn a_new_worker_counts_as_its_kind_if_that_is_alike(factors: [f64; 4], is_slow: bool) {
    let mut table = uneven_table();
    let kind: Vec<Name> = vec!["small".into()];
    for (number, factor) in factors.into_iter().enumerate() {
        let id = format!("small-{number}");
        table.list(&id.as_str().into(), 1, kind.clone());
        add_runs(&mut table, &id, 12, factor, Duration::ZERO);
    }
    table.list(&"new".into(), 1, kind);
    assert_eq!(table.speed("new") < 0.9, is_slow, "{}", table.speed("new"));
}
