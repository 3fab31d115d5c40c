//! Parsed INI files with the line numbers of sections and options.

use ini::Ini;

use crate::ConfigProblem;
use crate::Result;

/// An option with its line number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniOption {
    /// Name of the option.
    pub name: String,
    /// Value of the option.
    pub value: String,
    /// Line number from 1.
    pub line: usize,
}

/// A section with its line number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Name of the section, between the brackets.
    pub name: String,
    /// Line number from 1.
    pub line: usize,
    /// Options in file order.
    pub options: Vec<IniOption>,
}

/// A parsed INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniText {
    /// Name of the file, or of the source of the text.
    pub file: String,
    /// Sections in file order.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Parses a text; `file` names the text in problems.
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
            ini.set_values(&values, &mut problems);
        }
        if problems.is_empty() { Ok(ini) } else { Err(problems) }
    }

    /// Creates a problem at a line of this file.
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

    /// Reports duplicate sections and options.
    fn find_duplicates(&self, problems: &mut Vec<ConfigProblem>) {
        for (index, section) in self.sections.iter().enumerate() {
            let earlier = &self.sections[..index];
            if let Some(first) = earlier.iter().find(|other| other.name == section.name) {
                let message =
                    format!("duplicate section, first defined on line {}", first.line);
                problems.push(self.problem(
                    section,
                    section.line,
                    message,
                    "merge the two sections",
                ));
            }
            for (index, option) in section.options.iter().enumerate() {
                let earlier = &section.options[..index];
                if earlier.iter().any(|other| other.name == option.name) {
                    let message = format!("duplicate option `{}`", option.name);
                    problems.push(self.problem(
                        section,
                        option.line,
                        message,
                        "remove one of the two",
                    ));
                }
            }
        }
    }

    /// Replaces the raw values of the line index with those that the INI library parsed.
    fn set_values(&mut self, values: &Ini, problems: &mut Vec<ConfigProblem>) {
        let outside = values.general_section();
        if let Some((name, _)) = outside.iter().next() {
            problems.push(ConfigProblem {
                file: self.file.clone(),
                line: 1,
                section: String::new(),
                message: format!("option `{name}` is outside of any section"),
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
    /// Returns the option with a name, if the section has it.
    pub fn option(&self, name: &str) -> Option<&IniOption> {
        self.options.iter().find(|option| option.name == name)
    }
}

/// Lists the sections and options with their line numbers.
fn index_lines(text: &str) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'))
        {
            let name = name.trim().to_owned();
            sections.push(IniSection { name, line: index + 1, options: Vec::new() });
        } else if let Some((name, value)) = line.split_once(['=', ':'])
            && let Some(section) = sections.last_mut()
        {
            section.options.push(IniOption {
                name: name.trim().to_owned(),
                value: value.trim().to_owned(),
                line: index + 1,
            });
        }
    }
    sections
}
