//! The pages that list what the code has.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_node::METRIC_ROWS;

/// Reads a page of the project.
fn page(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../");
    std::fs::read_to_string(format!("{root}{path}")).expect("the page exists")
}

#[test]
fn the_page_of_metrics_names_each() {
    let page = page("docs/metrics.md");
    for row in METRIC_ROWS {
        let line =
            format!("| `{}` | {} | {} | {} |", row.name, row.kind, row.labels, row.doc);
        assert!(page.contains(&line), "docs/metrics.md lacks `{line}`");
    }
}

#[test]
fn the_page_of_protocols_names_each_error_kind() {
    let page = page("docs/protocols.md");
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let line = format!(
            "| `{}` | {} | {} |",
            answer.name,
            answer.status,
            answer.run.as_str()
        );
        assert!(page.contains(&line), "docs/protocols.md lacks `{line}`");
    }
}
