//! Checks the documentation of the metrics.

use geraniumwinch_cell::METRIC_ROWS;

#[test]
fn the_metrics_page_lists_every_metric() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/metrics.md");
    let page = std::fs::read_to_string(path).expect("the page exists");
    for row in METRIC_ROWS {
        let line =
            format!("| `{}` | {} | {} | {} |", row.name, row.kind, row.labels, row.doc);
        assert!(page.contains(&line), "docs/metrics.md lacks `{line}`");
    }
}
