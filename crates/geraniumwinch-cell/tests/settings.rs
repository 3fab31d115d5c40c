//! Optional settings of a cell process.

use std::time::Duration;

use geraniumwinch_cell::CellSettings;
use test_case::test_case;

/// Returns settings whose section `[workers]` ends with a line.
fn settings(line: &str) -> String {
    format!(
        "[process]\nname = n\nfailure-domain = d\nstop-grace-s = 4\n\
         [vm]\ncpu-share = 1\n\
         [listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
         peers = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n\
         [platform]\nstore = 127.0.0.1:5\n[jobs]\nretention-s = 120\n\
         [workers]\nlease-ms = 6000\nheartbeat-ms = 1500\n{line}\n"
    )
}

#[test_case("", None; "absent")]
#[test_case("evacuation-ms =", None; "empty")]
#[test_case("evacuation-ms = 5000", Some(5000); "given")]
fn evacuations_are_followed_only_where_a_bound_is_given(line: &str, bound: Option<u64>) {
    let settings = CellSettings::parse("cell.ini", &settings(line)).expect("valid");
    assert_eq!(settings.evacuation_bound, bound.map(Duration::from_millis));
}

#[test_case("evacuation-ms = soon"; "no number")]
#[test_case("evacuation-ms = 999"; "too short")]
fn an_invalid_evacuation_bound_is_reported(line: &str) {
    let problems = CellSettings::parse("cell.ini", &settings(line)).expect_err("invalid");
    assert!(problems.iter().any(|problem| problem.message.contains("evacuation-ms")));
}
