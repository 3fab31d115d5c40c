//! Parsing of configuration sets and settings. Problems are reported with their lines and hints.

use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::KeyHash;
use geraniumwinch_config::NodeSettings;
use geraniumwinch_config::SETTING_ROWS;
use geraniumwinch_config::SetDelta;
use geraniumwinch_config::TeamCatalog;
use test_case::test_case;

/// A valid configuration set.
const VALID_SET: &str = "\
[share even]
weight = 2

[limit yards]
running = 10

[policy fast]
default-deadline-ms = 500

[team yard-a]
share = even
limit = yards

[key yard-a]
team = yard-a
sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[queue exchange]
service = blank-exchange
policy = fast
teams = yard-a
";

/// Returns the problems of the valid set with a part replaced.
fn problems(part: &str, replacement: &str) -> Vec<String> {
    assert!(VALID_SET.contains(part), "the set has no `{part}`");
    let text = VALID_SET.replacen(part, replacement, 1);
    let problems = ConfigurationSet::parse("set", &text).expect_err("problems");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_set_survives_a_round_trip() {
    let set = ConfigurationSet::parse("set", VALID_SET).expect("a valid set");
    let again = ConfigurationSet::parse("set", &set.to_ini()).expect("a valid set");
    assert_eq!(set, again);
    assert_eq!(set.digest(), again.digest());
    let catalog = TeamCatalog::of(&set);
    assert_eq!(catalog.teams["yard-a"].limit, 10);
    assert_eq!(catalog.queues["exchange"].policy.max_deadline.as_millis(), 30_000);
}

#[test_case("weight = 2", "weight = 0", "set:2: [share even] `weight` can't be `0`"; "out of range")]
#[test_case("weight = 2", "wait = 2", "set:2: [share even] unknown option `wait`"; "unknown option")]
#[test_case("[share even]", "[shore even]", "set:1: [shore even] unknown section"; "unknown section")]
#[test_case("share = even", "share = odd", "set:11: [team yard-a] `share` refers to share odd, which is not defined"; "dangling reference")]
#[test_case("teams = yard-a", "teams = yard-b", "`teams` refers to team yard-b, which is not defined"; "dangling reference in a list")]
#[test_case("sha256 = 00", "sha256 = 0", "`sha256` can't be"; "short hash")]
#[test_case("running = 10", "running = ten", "`running` can't be `ten`"; "not a number")]
#[test_case("service = blank-exchange\n", "", "`service` is missing"; "missing option")]
#[test_case("[limit yards]", "[share even]", "duplicate section, first defined on line 1"; "duplicate section")]
#[test_case("running = 10", "running = 10\nrunning = 11", "duplicate option `running`"; "duplicate option")]
#[test_case("default-deadline-ms = 500", "max-deadline-ms = 50", "`default-deadline-ms` exceeds"; "default deadline above the maximum")]
#[test_case("[share even]", "weight = 3\n[share even]", "option `weight` is outside of any section"; "option outside of any section")]
fn an_invalid_set_is_rejected(part: &str, replacement: &str, expected: &str) {
    let problems = problems(part, replacement);
    assert!(problems.iter().any(|problem| problem.contains(expected)), "{problems:#?}");
    assert!(problems.iter().all(|problem| problem.contains("hint: ")), "{problems:#?}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = VALID_SET
        .replace("weight = 2", "weight = x")
        .replace("running = 10", "running = y");
    assert_eq!(ConfigurationSet::parse("set", &text).expect_err("problems").len(), 2);
}

#[test]
fn a_delta_turns_one_set_into_another() {
    let old = ConfigurationSet::parse("set", VALID_SET).expect("a valid set");
    let text =
        VALID_SET.replace("weight = 2", "weight = 3") + "\n[share more]\nweight = 1\n";
    let new = ConfigurationSet::parse("set", &text).expect("a valid set");
    let delta = SetDelta::between(&old, &new);
    assert_eq!(delta.changes.len(), 2);
    let mut changed = old.clone();
    delta.apply(&mut changed);
    assert_eq!(changed, new);
    SetDelta::between(&new, &old).apply(&mut changed);
    assert_eq!(changed, old);
}

#[test]
fn a_key_belongs_to_the_team_of_its_hash() {
    let hash = KeyHash::of("secret").to_hex();
    let text = VALID_SET.replace(&"0".repeat(64), &hash);
    let set = ConfigurationSet::parse("set", &text).expect("a valid set");
    let catalog = TeamCatalog::of(&set);
    assert_eq!(catalog.team_of("secret").map(|team| &**team), Some("yard-a"));
    assert_eq!(catalog.team_of("Secret"), None);
    assert!(
        !format!("{:?}", KeyHash::of("secret")).contains(&hash[..8]),
        "a hash must not appear in debug output"
    );
}

#[test]
fn settings_report_every_problem() {
    let text = "[process]\nname = a\nhttp = nowhere\n[store]\nurl = ftp://x\n[keys]\nfresh-ms = 1\n";
    let problems = NodeSettings::parse("a.ini", text).expect_err("problems");
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    for expected in [
        "a.ini:3: [process] `http` can't be `nowhere`",
        "[process] `domain` is missing",
        "a.ini:5: [store] `url` can't be `ftp://x`",
        "a.ini:7: [keys] `fresh-ms` can't be `1`",
        "[operator] `key-sha256` is missing",
        "[domains] domain `` of the process is missing",
    ] {
        assert!(
            lines.iter().any(|line| line.contains(expected)),
            "{expected}: {lines:#?}"
        );
    }
}

/// Reads a file of the repository.
fn read_file(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../");
    std::fs::read_to_string(format!("{root}{path}")).expect("the file exists")
}

#[test]
fn the_settings_page_lists_every_setting_with_its_default_and_range() {
    let page = read_file("docs/settings.md");
    for row in SETTING_ROWS {
        let default = row.default.unwrap_or("required");
        let range =
            row.range.map_or(String::new(), |(min, max)| format!("{min} to {max}"));
        let line =
            format!("| `{}` | `{}` | {default} | {range} |", row.section, row.option);
        assert!(page.contains(&line), "docs/settings.md lacks `{line}`");
    }
}

#[test_case("examples/consortium.ini"; "the consortium")]
#[test_case("examples/nilegear.ini"; "nilegear")]
#[test_case("examples/rate-engine.ini"; "the rate engine")]
fn the_example_settings_are_valid(path: &str) {
    let settings = NodeSettings::parse(path, &read_file(path)).expect("valid settings");
    assert!(settings.domains.len() >= 3);
}

#[test_case("examples/consortium-set.ini"; "the consortium")]
#[test_case("examples/nilegear-set.ini"; "nilegear")]
#[test_case("examples/rate-engine-set.ini"; "the rate engine")]
fn the_example_sets_are_valid(path: &str) {
    let set = ConfigurationSet::parse(path, &read_file(path)).expect("a valid set");
    assert!(TeamCatalog::of(&set).teams.len() >= 3);
}
