//! What a cell consists of.

use geraniumwinch_config::KeyHash;

/// The operators' key of every cell.
pub const OPERATOR_KEY: &str = "operator-of-the-cell";

/// A failure domain of a cell.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// The name.
    pub name: String,
    /// The number of entry processes.
    pub entries: usize,
    /// The number of executors.
    pub executors: usize,
    /// The number of workers.
    pub workers: usize,
}

/// What a cell consists of.
#[derive(Debug, Clone)]
pub struct CellPlan {
    /// The failure domains.
    pub domains: Vec<DomainPlan>,
    /// The cores and the gigabytes of each worker.
    pub worker_size: (u64, u64),
    /// The number of workers to a rack.
    pub rack: usize,
    /// Whether all traffic passes the fault-injecting proxy.
    pub proxied: bool,
    /// Further lines of the settings, by section and option.
    pub settings: Vec<(&'static str, &'static str, String)>,
    /// The configuration set.
    pub configuration: String,
}

impl CellPlan {
    /// Creates a plan of equal domains.
    pub fn new(domains: usize, entries: usize, executors: usize, workers: usize) -> Self {
        let domain = |index| DomainPlan {
            name: format!("zone-{}", (b'a' + index as u8) as char),
            entries,
            executors,
            workers,
        };
        CellPlan {
            domains: (0..domains).map(domain).collect(),
            worker_size: (16, 64),
            rack: 8,
            proxied: false,
            settings: Vec::new(),
            configuration: default_configuration(1000),
        }
    }

    /// Lets all traffic pass the fault-injecting proxy.
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Sets an option of every process.
    pub fn setting(
        mut self,
        section: &'static str,
        option: &'static str,
        value: &str,
    ) -> Self {
        self.settings.push((section, option, value.to_owned()));
        self
    }

    /// Replaces the configuration set.
    pub fn with_configuration(mut self, configuration: String) -> Self {
        self.configuration = configuration;
        self
    }
}

/// Creates a set of two teams with keys, a keyed queue and an open one.
///
/// The keys are `key-of-yard-a` and `key-of-yard-b`.
pub fn default_configuration(limit: u32) -> String {
    let hash = |key: &str| KeyHash::of(key).to_hex();
    format!(
        "[share even]\nweight = 1\n\n\
         [limit yards]\nrunning = {limit}\n\n\
         [policy interactive]\ndefault-deadline-ms = 10000\nmax-deadline-ms = 20000\n\n\
         [team yard-a]\nshare = even\nlimit = yards\n\n\
         [team yard-b]\nshare = even\nlimit = yards\n\n\
         [key yard-a]\nteam = yard-a\nsha256 = {}\n\n\
         [key yard-b]\nteam = yard-b\nsha256 = {}\n\n\
         [queue exchange]\nservice = blank-exchange\npolicy = interactive\n\n\
         [queue open]\nservice = blank-exchange\npolicy = interactive\nopen = yes\n",
        hash("key-of-yard-a"),
        hash("key-of-yard-b"),
    )
}
