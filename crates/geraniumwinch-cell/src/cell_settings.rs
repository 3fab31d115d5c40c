//! The settings of a cell process.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::str::FromStr;
use std::time::Duration;

use geraniumwinch_config::ConfigProblem;
use geraniumwinch_config::IniText;
use geraniumwinch_core::Name;
use geraniumwinch_intake::VmLimits;

/// The settings of a cell process.
#[derive(Debug, Clone, PartialEq)]
pub struct CellSettings {
    /// The name of the process.
    pub name: Name,
    /// The failure domain of the process.
    pub domain: Name,
    /// The minimum level of log lines.
    pub log_level: String,
    /// The listen address for client requests.
    pub client_address: SocketAddr,
    /// The listen address of the readiness probe.
    pub readiness_address: SocketAddr,
    /// The listen address for peers.
    pub peer_address: SocketAddr,
    /// The listen address for metrics.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The address of the permission service, if there is one.
    pub permission_address: Option<SocketAddr>,
    /// The VM's CPU share as a fraction of a core.
    pub cpu_share: f64,
    /// The limits of the VM.
    pub vm: VmLimits,
    /// The maximum lease of a worker.
    pub worker_lease: Duration,
    /// The interval at which a worker refreshes its entry in the directory.
    pub worker_heartbeat: Duration,
    /// The time within which a request to evacuate a failure domain must be in effect; `None` if the
    /// deployment has no such requests.
    pub evacuation_bound: Option<Duration>,
    /// The time between the stop signal and the forced termination of the process.
    pub stop_grace: Duration,
    /// How long the result of a finished job can be queried.
    pub job_retention: Duration,
}

/// The minimum time for evacuation requests to take effect, in which the store is asked several times.
const EVACUATION_BOUND_MIN: Duration = Duration::from_millis(1000);

/// Reads typed options and collects the problems.
struct SettingReader<'a> {
    ini: &'a IniText,
    problems: Vec<ConfigProblem>,
}

impl SettingReader<'_> {
    /// Returns an option, or reports that it is missing.
    fn text(&mut self, section: &str, option: &str) -> String {
        match self.optional(section, option) {
            Some(text) => text,
            None => {
                self.report(section, format!("option `{option}` is missing"));
                String::new()
            }
        }
    }

    /// Returns an option if it is present and not empty.
    fn optional(&self, section: &str, option: &str) -> Option<String> {
        let found = self.ini.sections.iter().find(|found| found.name == section)?;
        let found = found.options.iter().find(|found| found.name == option)?;
        (!found.value.is_empty()).then(|| found.value.clone())
    }

    /// Returns a parsed option, or reports why it can't be parsed.
    fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        option: &str,
        form: &str,
    ) -> Option<T> {
        let text = self.text(section, option);
        if text.is_empty() {
            return None;
        }
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(
                section,
                format!("option `{option}` is not a valid {form}: `{text}`"),
            );
        }
        parsed
    }

    /// Returns an address option.
    fn address(&mut self, section: &str, option: &str) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.parsed(section, option, "address `IP:PORT`").unwrap_or(unspecified)
    }

    /// Returns a duration that is given in milliseconds.
    fn millis(&mut self, section: &str, option: &str) -> Duration {
        let millis = self.parsed(section, option, "number of milliseconds");
        Duration::from_millis(millis.unwrap_or(0))
    }

    /// Returns the limits of the VM, which the system says where the settings don't.
    fn vm_limits(&mut self) -> VmLimits {
        let memory_mb = self.optional_number("vm", "memory-mb");
        VmLimits::detect(memory_mb, self.optional_number("vm", "descriptors"))
    }

    /// Returns a number above 0 if it is present and not empty.
    fn optional_number(&mut self, section: &str, option: &str) -> Option<u64> {
        self.optional(section, option)?;
        let number = self.parsed::<NonZeroU64>(section, option, "number above 0");
        number.map(NonZeroU64::get)
    }

    /// Returns the bound of evacuation requests, if there is one.
    fn evacuation_bound(&mut self) -> Option<Duration> {
        self.optional("workers", "evacuation-ms")?;
        let bound = self.millis("workers", "evacuation-ms");
        if bound < EVACUATION_BOUND_MIN {
            let least = EVACUATION_BOUND_MIN.as_millis();
            let message = format!("option `evacuation-ms` must be at least {least}");
            self.report("workers", message);
        }
        Some(bound)
    }

    /// Returns a duration that is given in seconds.
    fn seconds(&mut self, section: &str, option: &str) -> Duration {
        let seconds: f64 =
            self.parsed(section, option, "number of seconds").unwrap_or(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Records a problem at the line of a section.
    fn report(&mut self, section: &str, message: String) {
        let line = self
            .ini
            .sections
            .iter()
            .find(|found| found.name == section)
            .map_or(1, |found| found.line);
        self.problems.push(ConfigProblem {
            file: self.ini.file.clone(),
            line,
            section: section.to_owned(),
            message,
            hint: "docs/settings.md lists the sections and options".to_owned(),
        });
    }
}

impl CellSettings {
    /// Parses settings. `file` is the file name in reported problems.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn parse(file: &str, text: &str) -> Result<CellSettings, Vec<ConfigProblem>> {
        let ini = IniText::parse(file, text)?;
        let mut reader = SettingReader { ini: &ini, problems: Vec::new() };
        let settings = read(&mut reader);
        if reader.problems.is_empty() { Ok(settings) } else { Err(reader.problems) }
    }
}

/// Reads all options.
fn read(reader: &mut SettingReader<'_>) -> CellSettings {
    let level = reader.optional("process", "log-level");
    let permissions = reader.optional("platform", "permissions");
    CellSettings {
        name: reader.text("process", "name").into(),
        domain: reader.text("process", "failure-domain").into(),
        log_level: level.unwrap_or_else(|| "info".to_owned()),
        client_address: reader.address("listen", "callers"),
        readiness_address: reader.address("listen", "readiness"),
        peer_address: reader.address("listen", "peers"),
        metrics_address: reader.address("listen", "metrics"),
        store_address: reader.address("platform", "store"),
        permission_address: permissions
            .map(|_| reader.address("platform", "permissions")),
        cpu_share: reader.parsed("vm", "cpu-share", "number").unwrap_or(1.0),
        vm: reader.vm_limits(),
        worker_lease: reader.millis("workers", "lease-ms"),
        worker_heartbeat: reader.millis("workers", "heartbeat-ms"),
        evacuation_bound: reader.evacuation_bound(),
        stop_grace: reader.seconds("process", "stop-grace-s"),
        job_retention: reader.seconds("jobs", "retention-s"),
    }
}
