//! INI texts with the line of each section and option.

use ini::Ini;

use crate::ConfigProblem;
use crate::Result;

/// An option with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniOption {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
    /// The line, counted from 1.
    pub line: usize,
}

/// A section with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// The words between the brackets.
    pub name: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The options in the order of the text.
    pub options: Vec<IniOption>,
}

/// A parsed INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniText {
    /// The file's name, or what the text is.
    pub file: String,
    /// The sections in the order of the text.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Parses a text; `file` names it in problems.
    pub fn parse(file: &str, text: &str) -> Result<IniText> {
        let values = Ini::load_from_str_noescape(text).map_err(|error| {
            vec![ConfigProblem {
                file: file.to_owned(),
                line: error.line,
                section: String::new(),
                message: error.msg.to_string(),
                hint: "write `[section]` lines and `option = value` lines".to_owned(),
            }]
        })?;
        let mut ini = IniText { file: file.to_owned(), sections: index_lines(text) };
        let mut problems = Vec::new();
        ini.find_duplicates(&mut problems);
        if problems.is_empty() {
            ini.take_values(&values, &mut problems);
        }
        if problems.is_empty() { Ok(ini) } else { Err(problems) }
    }

    /// Creates a problem of this text.
    pub fn problem(
        &self,
        section: &IniSection,
        line: usize,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> ConfigProblem {
        ConfigProblem {
            file: self.file.clone(),
            line,
            section: section.name.clone(),
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Reports sections and options that stand twice.
    fn find_duplicates(&self, problems: &mut Vec<ConfigProblem>) {
        for (position, section) in self.sections.iter().enumerate() {
            let earlier = &self.sections[..position];
            if let Some(first) = earlier.iter().find(|other| other.name == section.name) {
                let message = format!("the section stands first on line {}", first.line);
                problems.push(self.problem(
                    section,
                    section.line,
                    message,
                    "join the two",
                ));
            }
            for (position, option) in section.options.iter().enumerate() {
                let earlier = &section.options[..position];
                if earlier.iter().any(|other| other.name == option.name) {
                    let message = format!("`{}` stands twice", option.name);
                    problems.push(self.problem(
                        section,
                        option.line,
                        message,
                        "remove one",
                    ));
                }
            }
        }
    }

    /// Replaces the raw values of the line index by those that the INI library read.
    fn take_values(&mut self, values: &Ini, problems: &mut Vec<ConfigProblem>) {
        let stray = values.general_section();
        if let Some((name, _)) = stray.iter().next() {
            problems.push(ConfigProblem {
                file: self.file.clone(),
                line: 1,
                section: String::new(),
                message: format!("`{name}` stands outside every section"),
                hint: "move it under a `[section]` line".to_owned(),
            });
        }
        for section in &mut self.sections {
            let Some(properties) = values.section(Some(section.name.as_str())) else {
                continue;
            };
            for option in &mut section.options {
                if let Some(value) = properties.get(&option.name) {
                    option.value = value.to_owned();
                }
            }
        }
    }
}

impl IniSection {
    /// Returns the option with a name.
    pub fn option(&self, name: &str) -> Option<&IniOption> {
        self.options.iter().find(|option| option.name == name)
    }
}

/// Finds the line of each section and option.
fn index_lines(text: &str) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> = Vec::new();
    for (position, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'))
        {
            let name = name.trim().to_owned();
            sections.push(IniSection { name, line: position + 1, options: Vec::new() });
        } else if let Some((name, value)) = line.split_once(['=', ':'])
            && let Some(section) = sections.last_mut()
        {
            section.options.push(IniOption {
                name: name.trim().to_owned(),
                value: value.trim().to_owned(),
                line: position + 1,
            });
        }
    }
    sections
}
