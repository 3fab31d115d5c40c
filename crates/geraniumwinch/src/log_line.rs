//! Lines of the log.

use std::collections::HashMap;

use chrono::DateTime;

/// The key of a line's time; what stands before it is not part of the line.
const TIME_KEY: &str = "time=";

/// A line of the log: an event and its fields.
#[derive(Debug)]
pub(crate) struct LogLine<'a> {
    /// The time in milliseconds since the Unix epoch.
    pub(crate) millis: i64,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Reads a line; returns `None` if it is no event.
    pub(crate) fn parse(line: &'a str) -> Option<Self> {
        let line = &line[line.find(TIME_KEY)?..];
        let words = line.split(' ').filter_map(|word| word.split_once('='));
        let fields: HashMap<&str, &str> = words.collect();
        fields.get("event")?;
        let time = DateTime::parse_from_rfc3339(fields.get("time")?).ok()?;
        Some(LogLine { millis: time.timestamp_millis(), fields })
    }

    /// Returns the event.
    pub(crate) fn event(&self) -> &'a str {
        self.field("event").unwrap_or_default()
    }

    /// Returns a field without its quotes; `None` if the line does not have it or it is empty.
    pub(crate) fn field(&self, name: &str) -> Option<&'a str> {
        let value = self.fields.get(name)?.trim_matches('"');
        (!value.is_empty()).then_some(value)
    }

    /// Returns a field that holds a number of milliseconds; 0 if there is none.
    pub(crate) fn field_millis(&self, name: &str) -> i64 {
        self.field(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns the identifier of the job that the line is about.
    pub(crate) fn job(&self) -> Option<&'a str> {
        let task = || self.field("task").or_else(|| self.field("step"));
        self.field("job").or_else(|| task()?.split('.').next())
    }
}
