//! Checks that the documentation lists every metric and error kind.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_node::METRIC_ROWS;

/// Reads a file of the repository.
fn page(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../");
    std::fs::read_to_string(format!("{root}{path}")).expect("the page exists")
}

#[test]
fn metrics_page_lists_every_metric() {
    let page = page("docs/metrics.md");
    for row in METRIC_ROWS {
        let line =
            format!("| `{}` | {} | {} | {} |", row.name, row.kind, row.labels, row.doc);
        assert!(page.contains(&line), "docs/metrics.md lacks `{line}`");
    }
}

#[test]
fn protocols_page_lists_every_error_kind() {
    let page = page("docs/protocols.md");
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let line = format!(
            "| `{}` | {} | {} |",
            response.name,
            response.status,
            response.run.as_str()
        );
        assert!(page.contains(&line), "docs/protocols.md lacks `{line}`");
    }
}
