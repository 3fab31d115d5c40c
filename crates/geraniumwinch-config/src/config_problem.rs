//! A problem in a settings file or a configuration set.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A problem with its place and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// The file's name, or what the text is.
    pub file: String,
    /// The line, counted from 1, or 0 if the text as a whole is meant.
    pub line: usize,
    /// The section.
    pub section: String,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub hint: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        write!(f, "{}; hint: {}", self.message, self.hint)
    }
}
