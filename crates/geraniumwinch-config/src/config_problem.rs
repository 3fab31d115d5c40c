//! Problems in a settings file or a configuration set.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A problem in a settings file or a configuration set, with its location and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// Name of the file, or of the source of the text.
    pub file: String,
    /// Line number from 1, or 0 if the problem concerns the whole file.
    pub line: usize,
    /// Name of the section, or empty if the problem is outside every section.
    pub section: String,
    /// Description of the problem.
    pub message: String,
    /// How to fix the problem.
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
