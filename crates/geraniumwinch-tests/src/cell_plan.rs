//! Layout and settings of a test cell.

use geraniumwinch_config::KeyHash;

/// The operator key of every test cell.
pub const OPERATOR_KEY: &str = "operator-of-the-cell";

/// The size of a failure domain.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// The name of the domain.
    pub name: String,
    /// The number of entry processes.
    pub entries: usize,
    /// The number of executors.
    pub executors: usize,
    /// The number of workers.
    pub workers: usize,
}

/// The layout, settings and configuration of a test cell.
#[derive(Debug, Clone)]
pub struct CellPlan {
    /// The failure domains.
    pub domains: Vec<DomainPlan>,
    /// The cores and gigabytes of memory of each worker.
    pub worker_size: (u64, u64),
    /// The number of workers per rack.
    pub rack: usize,
    /// Whether the traffic between processes passes the fault-injecting proxy.
    pub proxied: bool,
    /// Additional settings of every process: section, option and value.
    pub settings: Vec<(&'static str, &'static str, String)>,
    /// The configuration set that is published at the start.
    pub configuration: String,
}

impl CellPlan {
    /// Creates a plan with equally sized domains.
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

    /// Routes the traffic between processes through the fault-injecting proxy.
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Adds a setting of every process.
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

/// Creates a configuration set with two teams, a queue that requires a key and an open queue.
///
/// `limit` is the number of tasks that each team may run at the same time.
///
/// The API keys are `key-of-yard-a` and `key-of-yard-b`.
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
