//! Declarations of metrics.

/// The description of a metric.
#[derive(Debug, Clone, Copy)]
pub struct MetricRow {
    /// The name of the metric.
    pub name: &'static str,
    /// The type of the metric: `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// The names of the labels, separated by commas.
    pub labels: &'static str,
    /// What the metric counts or measures, with its unit.
    pub doc: &'static str,
}

/// Declares a constant for the name of each metric, and the table `METRIC_ROWS` that describes them.
#[macro_export]
macro_rules! metric_rows {
    ($($constant:ident = $name:literal, $kind:literal, $labels:literal, $doc:literal;)*) => {
        $(const $constant: &str = $name;)*

        /// The descriptions of all metrics.
        pub const METRIC_ROWS: &[$crate::MetricRow] = &[
            $($crate::MetricRow { name: $name, kind: $kind, labels: $labels, doc: $doc },)*
        ];
    };
}
