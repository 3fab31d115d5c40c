//! What `geraniumwinch check` says of the example files and of files that it could mistake.

use std::path::PathBuf;
use std::process::Command;

use test_case::test_case;

/// Runs `geraniumwinch check` on a file, and returns its exit code and output.
fn check(path: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_geraniumwinch"))
        .args(["check", path])
        .output()
        .expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test_case("consortium"; "the consortium")]
#[test_case("nilegear"; "nilegear")]
#[test_case("rate-engine"; "the rate engine")]
fn the_examples_are_valid(name: &str) {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let (code, text) = check(&format!("{examples}/{name}.ini"));
    assert!(code == Some(0) && text.starts_with("settings of process "), "{text}");
    let (code, text) = check(&format!("{examples}/{name}-set.ini"));
    assert!(code == Some(0) && text.starts_with("a configuration set of "), "{text}");
}

/// Guards against taking settings of an entry process that configure its calls to workers for
/// settings of a cell process.
#[test]
fn settings_of_an_entry_process_may_have_a_section_for_workers() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rate-engine.ini");
    let text = std::fs::read_to_string(example).expect("the example exists");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("with-workers.ini");
    std::fs::write(&file, format!("{text}\n[workers]\nheartbeat-ms = 2000\n"))
        .expect("the file is writable");
    let (code, text) = check(&file.display().to_string());
    assert!(code == Some(0) && text.starts_with("settings of process "), "{text}");
}
