//! Tables of metrics.

/// A metric with its meaning.
#[derive(Debug, Clone, Copy)]
pub struct MetricRow {
    /// The name.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// The labels, separated by commas.
    pub labels: &'static str,
    /// What it counts or measures, with its unit.
    pub doc: &'static str,
}

/// Declares the names of metrics and their table `METRIC_ROWS`.
#[macro_export]
macro_rules! metric_rows {
    ($($constant:ident = $name:literal, $kind:literal, $labels:literal, $doc:literal;)*) => {
        $(const $constant: &str = $name;)*

        /// Every metric.
        pub const METRIC_ROWS: &[$crate::MetricRow] = &[
            $($crate::MetricRow { name: $name, kind: $kind, labels: $labels, doc: $doc },)*
        ];
    };
}
