//! Typed access to the settings of a file.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ConfigProblem;
use crate::IniOption;
use crate::IniSection;
use crate::IniText;
use crate::KeyHash;
use crate::Result;
use crate::set_check::split_list;

use super::DomainSeeds;
use super::NodeSettings;
use super::SETTING_ROWS;
use super::SettingRow;

/// Section whose options are the names of the failure domains.
const DOMAINS_SECTION: &str = "domains";

/// Placeholder for an invalid address, whose problem is reported.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads typed settings from a file and collects the problems in it.
pub(super) struct SettingReader<'a> {
    ini: &'a IniText,
    problems: Vec<ConfigProblem>,
}

impl<'a> SettingReader<'a> {
    /// Creates a reader of a parsed file.
    pub(super) fn new(ini: &'a IniText) -> Self {
        SettingReader { ini, problems: Vec::new() }
    }

    /// Reports unknown sections and options.
    pub(super) fn check_names(&mut self) {
        for section in &self.ini.sections {
            if section.name == DOMAINS_SECTION {
                continue;
            }
            let rows = SETTING_ROWS.iter().filter(|row| row.section == section.name);
            let names: Vec<&str> = rows.map(|row| row.option).collect();
            if names.is_empty() {
                let mut known: Vec<&str> =
                    SETTING_ROWS.iter().map(|row| row.section).collect();
                known.dedup();
                known.push(DOMAINS_SECTION);
                let hint = format!("the sections are {}", known.join(", "));
                self.report(section, section.line, "unknown section".to_owned(), hint);
                continue;
            }
            for option in &section.options {
                if !names.contains(&option.name.as_str()) {
                    let message = format!("unknown option `{}`", option.name);
                    let hint =
                        format!("the section has the options {}", names.join(", "));
                    self.report(section, option.line, message, hint);
                }
            }
        }
    }

    /// Adds a problem.
    fn report(
        &mut self,
        section: &IniSection,
        line: usize,
        message: String,
        hint: String,
    ) {
        self.problems.push(self.ini.problem(section, line, message, hint));
    }

    /// Finds a section by name.
    fn section(&self, name: &str) -> Option<&'a IniSection> {
        self.ini.sections.iter().find(|section| section.name == name)
    }

    /// Reports that an option's value is invalid.
    fn reject(&mut self, section: &str, option: &IniOption, hint: String) {
        let message = format!("`{}` can't be `{}`", option.name, option.value);
        if let Some(section) = self.section(section) {
            self.report(section, option.line, message, hint);
        }
    }

    /// Returns an option, or reports that it is missing if it is required.
    fn option(&mut self, section: &str, name: &str) -> Option<&'a IniOption> {
        let option = self.section(section).and_then(|section| section.option(name));
        let row = SettingRow::find(section, name).expect("the setting is in the table");
        if option.is_none() && row.default.is_none() {
            self.problems.push(ConfigProblem {
                file: self.ini.file.clone(),
                line: self.section(section).map_or(0, |section| section.line),
                section: section.to_owned(),
                message: format!("`{name}` is missing"),
                hint: row.doc.to_owned(),
            });
        }
        option
    }

    /// Returns a non-empty string.
    pub(super) fn text(&mut self, section: &str, name: &str) -> &'a str {
        let default = SettingRow::find(section, name).and_then(|row| row.default);
        match self.option(section, name) {
            Some(option) if option.value.is_empty() => {
                self.reject(section, option, "specify a value".to_owned());
                ""
            }
            Some(option) => &option.value,
            None => default.unwrap_or_default(),
        }
    }

    /// Returns one of several keywords.
    pub(super) fn keyword(
        &mut self,
        section: &str,
        name: &str,
        keywords: &[&'static str],
    ) -> &'a str {
        let text = self.text(section, name);
        if let Some(option) = self.option(section, name)
            && !keywords.contains(&text)
        {
            self.reject(
                section,
                option,
                format!("specify one of {}", keywords.join(", ")),
            );
        }
        text
    }

    /// Returns an integer within the range of its setting.
    pub(super) fn number(&mut self, section: &str, name: &str) -> u64 {
        let row = SettingRow::find(section, name).expect("the setting is in the table");
        let (min, max) = row.range.expect("the setting is a number");
        let default = row.default.and_then(|text| text.parse().ok()).unwrap_or(min);
        let Some(option) = self.option(section, name) else { return default };
        match option.value.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let hint = format!("specify an integer from {min} to {max}");
                self.reject(section, option, hint);
                default
            }
        }
    }

    /// Returns a duration in milliseconds.
    pub(super) fn millis(&mut self, section: &str, name: &str) -> Duration {
        Duration::from_millis(self.number(section, name))
    }

    /// Returns a required address.
    pub(super) fn address(&mut self, section: &str, name: &str) -> SocketAddr {
        self.address_or(section, name, PLACEHOLDER_ADDRESS)
    }

    /// Returns an address, or a default if the option is not set.
    pub(super) fn address_or(
        &mut self,
        section: &str,
        name: &str,
        default: SocketAddr,
    ) -> SocketAddr {
        let Some(option) = self.option(section, name) else { return default };
        option.value.parse().unwrap_or_else(|_| {
            self.reject(section, option, "specify `IP:PORT`".to_owned());
            default
        })
    }

    /// Returns a URL without a trailing slash.
    pub(super) fn url(&mut self, section: &str, name: &str) -> String {
        let text = self.text(section, name);
        if let Some(option) = self.option(section, name)
            && !text.starts_with("http://")
        {
            self.reject(
                section,
                option,
                "specify `http://IP:PORT` and a path".to_owned(),
            );
        }
        text.trim_end_matches('/').to_owned()
    }

    /// Returns the hash of a key.
    pub(super) fn hash(&mut self, section: &str, name: &str) -> KeyHash {
        let placeholder = KeyHash::of("");
        let Some(option) = self.option(section, name) else { return placeholder };
        KeyHash::from_hex(&option.value).unwrap_or_else(|| {
            self.reject(section, option, "specify 64 hexadecimal digits".to_owned());
            placeholder
        })
    }

    /// Returns the failure domains with their seeds, ordered by name.
    pub(super) fn domains(&mut self) -> Vec<DomainSeeds> {
        let mut domains = Vec::new();
        let Some(section) = self.section(DOMAINS_SECTION) else { return domains };
        for option in &section.options {
            let mut seeds = Vec::new();
            for text in split_list(&option.value) {
                match text.parse() {
                    Ok(address) => seeds.push(address),
                    Err(_) => {
                        let hint =
                            "specify `IP:PORT` of some processes, separated by commas";
                        self.reject(DOMAINS_SECTION, option, hint.to_owned());
                    }
                }
            }
            domains.push(DomainSeeds { domain: option.name.as_str().into(), seeds });
        }
        domains.sort_by(|left, right| left.domain.cmp(&right.domain));
        domains
    }

    /// Reports a problem if the process's own domain is not listed.
    pub(super) fn require_domain(&mut self, settings: &NodeSettings) {
        if settings.domains.iter().any(|seeds| seeds.domain == settings.domain) {
            return;
        }
        self.problems.push(ConfigProblem {
            file: self.ini.file.clone(),
            line: self.section(DOMAINS_SECTION).map_or(0, |section| section.line),
            section: DOMAINS_SECTION.to_owned(),
            message: format!("domain `{}` of the process is missing", settings.domain),
            hint: "list every failure domain of the fleet with its seeds".to_owned(),
        });
    }

    /// Returns the settings, or every problem in the file.
    pub(super) fn finish(self, settings: NodeSettings) -> Result<NodeSettings> {
        if self.problems.is_empty() { Ok(settings) } else { Err(self.problems) }
    }
}
