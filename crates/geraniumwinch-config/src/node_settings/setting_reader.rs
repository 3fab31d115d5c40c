//! Reads typed settings and collects the problems.

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

/// The section whose options are names of failure domains.
const DOMAINS: &str = "domains";

/// An address that stands for one that could not be read; the problem is reported.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads typed settings and collects the problems.
pub(super) struct SettingReader<'a> {
    ini: &'a IniText,
    problems: Vec<ConfigProblem>,
}

impl<'a> SettingReader<'a> {
    /// Creates a reader of a text.
    pub(super) fn new(ini: &'a IniText) -> Self {
        SettingReader { ini, problems: Vec::new() }
    }

    /// Reports unknown sections and options.
    pub(super) fn check_names(&mut self) {
        for section in &self.ini.sections {
            if section.name == DOMAINS {
                continue;
            }
            let rows = SETTING_ROWS.iter().filter(|row| row.section == section.name);
            let names: Vec<&str> = rows.map(|row| row.option).collect();
            if names.is_empty() {
                let mut known: Vec<&str> =
                    SETTING_ROWS.iter().map(|row| row.section).collect();
                known.dedup();
                known.push(DOMAINS);
                let hint = format!("the sections are {}", known.join(", "));
                self.report(section, section.line, "unknown section".to_owned(), hint);
                continue;
            }
            for option in &section.options {
                if !names.contains(&option.name.as_str()) {
                    let message = format!("unknown option `{}`", option.name);
                    let hint = format!("the section has {}", names.join(", "));
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

    /// Finds a section.
    fn section(&self, name: &str) -> Option<&'a IniSection> {
        self.ini.sections.iter().find(|section| section.name == name)
    }

    /// Reports that an option's value is not usable.
    fn reject(&mut self, section: &str, option: &IniOption, hint: String) {
        let message = format!("`{}` can't be `{}`", option.name, option.value);
        if let Some(section) = self.section(section) {
            self.report(section, option.line, message, hint);
        }
    }

    /// Returns the given option, or reports that it is missing if it has no default.
    fn given(&mut self, section: &str, name: &str) -> Option<&'a IniOption> {
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

    /// Returns a text.
    pub(super) fn text(&mut self, section: &str, name: &str) -> &'a str {
        let default = SettingRow::find(section, name).and_then(|row| row.default);
        match self.given(section, name) {
            Some(option) if option.value.is_empty() => {
                self.reject(section, option, "give a value".to_owned());
                ""
            }
            Some(option) => &option.value,
            None => default.unwrap_or_default(),
        }
    }

    /// Returns one of several words.
    pub(super) fn word(
        &mut self,
        section: &str,
        name: &str,
        words: &[&'static str],
    ) -> &'a str {
        let text = self.text(section, name);
        if let Some(option) = self.given(section, name)
            && !words.contains(&text)
        {
            self.reject(section, option, format!("give one of {}", words.join(", ")));
        }
        text
    }

    /// Returns a number within its range.
    pub(super) fn number(&mut self, section: &str, name: &str) -> u64 {
        let row = SettingRow::find(section, name).expect("the setting is in the table");
        let (least, greatest) = row.range.expect("the setting is a number");
        let default = row.default.and_then(|text| text.parse().ok()).unwrap_or(least);
        let Some(option) = self.given(section, name) else { return default };
        match option.value.parse() {
            Ok(number) if (least..=greatest).contains(&number) => number,
            _ => {
                let hint = format!("give a whole number from {least} to {greatest}");
                self.reject(section, option, hint);
                default
            }
        }
    }

    /// Returns a time in milliseconds.
    pub(super) fn millis(&mut self, section: &str, name: &str) -> Duration {
        Duration::from_millis(self.number(section, name))
    }

    /// Returns an address.
    pub(super) fn address(&mut self, section: &str, name: &str) -> SocketAddr {
        self.address_or(section, name, NO_ADDRESS)
    }

    /// Returns an address, or another one if it is not given.
    pub(super) fn address_or(
        &mut self,
        section: &str,
        name: &str,
        default: SocketAddr,
    ) -> SocketAddr {
        let Some(option) = self.given(section, name) else { return default };
        option.value.parse().unwrap_or_else(|_| {
            self.reject(section, option, "give `IP:PORT`".to_owned());
            default
        })
    }

    /// Returns a URL without a slash at its end.
    pub(super) fn url(&mut self, section: &str, name: &str) -> String {
        let text = self.text(section, name);
        if let Some(option) = self.given(section, name)
            && !text.starts_with("http://")
        {
            self.reject(section, option, "give `http://IP:PORT` and a path".to_owned());
        }
        text.trim_end_matches('/').to_owned()
    }

    /// Returns a hash.
    pub(super) fn hash(&mut self, section: &str, name: &str) -> KeyHash {
        let none = KeyHash::of("");
        let Some(option) = self.given(section, name) else { return none };
        KeyHash::from_hex(&option.value).unwrap_or_else(|| {
            self.reject(section, option, "give 64 hexadecimal digits".to_owned());
            none
        })
    }

    /// Returns the failure domains with their seeds.
    pub(super) fn domains(&mut self) -> Vec<DomainSeeds> {
        let mut domains = Vec::new();
        let Some(section) = self.section(DOMAINS) else { return domains };
        for option in &section.options {
            let mut seeds = Vec::new();
            for text in split_list(&option.value) {
                match text.parse() {
                    Ok(address) => seeds.push(address),
                    Err(_) => {
                        let hint =
                            "give `IP:PORT` of some processes, separated by commas";
                        self.reject(DOMAINS, option, hint.to_owned());
                    }
                }
            }
            domains.push(DomainSeeds { domain: option.name.as_str().into(), seeds });
        }
        domains.sort_by(|left, right| left.domain.cmp(&right.domain));
        domains
    }

    /// Reports that the process's own domain is not listed.
    pub(super) fn require_domain(&mut self, settings: &NodeSettings) {
        if settings.domains.iter().any(|seeds| seeds.domain == settings.domain) {
            return;
        }
        self.problems.push(ConfigProblem {
            file: self.ini.file.clone(),
            line: self.section(DOMAINS).map_or(0, |section| section.line),
            section: DOMAINS.to_owned(),
            message: format!("domain `{}` of the process is missing", settings.domain),
            hint: "list every failure domain of the fleet with its seeds".to_owned(),
        });
    }

    /// Returns the settings, or every problem.
    pub(super) fn finish(self, settings: NodeSettings) -> Result<NodeSettings> {
        if self.problems.is_empty() { Ok(settings) } else { Err(self.problems) }
    }
}
