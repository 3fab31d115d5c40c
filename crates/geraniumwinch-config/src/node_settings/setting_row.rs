//! Table of the settings with their defaults and ranges.

/// A setting with its default and range.
#[derive(Debug, Clone, Copy)]
pub struct SettingRow {
    /// Name of the section.
    pub section: &'static str,
    /// Name of the option.
    pub option: &'static str,
    /// Default value, or `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Inclusive minimum and maximum of a numeric setting.
    pub range: Option<(u64, u64)>,
    /// Description of the setting with its unit, also shown as a hint.
    pub doc: &'static str,
}

/// Creates a required setting.
const fn required(
    section: &'static str,
    option: &'static str,
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: None, range: None, doc }
}

/// Creates an optional setting with its default.
const fn optional(
    section: &'static str,
    option: &'static str,
    default: &'static str,
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: Some(default), range: None, doc }
}

/// Creates a numeric setting with its default and range.
const fn number(
    section: &'static str,
    option: &'static str,
    default: &'static str,
    range: (u64, u64),
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: Some(default), range: Some(range), doc }
}

/// All settings except those of `[domains]`, whose options are the names of the failure domains.
pub const SETTING_ROWS: &[SettingRow] = &[
    required("process", "name", "The process's name, unique in the fleet."),
    required("process", "domain", "The failure domain that the process runs in."),
    required(
        "process",
        "http",
        "The listen address `IP:PORT` for clients and operators.",
    ),
    required("process", "peer", "The listen address `IP:PORT` for peers."),
    optional(
        "process",
        "advertise",
        "",
        "The address at which peers reach the process; by default `peer`.",
    ),
    required("store", "url", "The base URL of the store."),
    number(
        "store",
        "timeout-ms",
        "1000",
        (10, 60_000),
        "The timeout in milliseconds of a call to the store.",
    ),
    required("vm-list", "url", "The URL of the VM list."),
    number(
        "vm-list",
        "poll-ms",
        "1000",
        (50, 60_000),
        "The interval in milliseconds between reads of the VM list.",
    ),
    number(
        "ownership",
        "lease-ms",
        "2000",
        (1000, 60_000),
        "The duration in milliseconds of an ownership lease without renewal; whole seconds.",
    ),
    number(
        "ownership",
        "heartbeat-ms",
        "250",
        (20, 10_000),
        "The interval in milliseconds between heartbeats to the dispatcher.",
    ),
    number(
        "ownership",
        "digest-ms",
        "1000",
        (50, 60_000),
        "The interval in milliseconds between exchanges of digests with another domain.",
    ),
    number(
        "workers",
        "task-lease-ms",
        "10000",
        (500, 600_000),
        "The time in milliseconds for which a task runs without a lease renewal.",
    ),
    number(
        "workers",
        "heartbeat-ms",
        "1000",
        (50, 60_000),
        "The interval in milliseconds between heartbeats to a worker.",
    ),
    number(
        "keys",
        "fresh-ms",
        "3000",
        (100, 60_000),
        "The time in milliseconds after which the configuration counts as stale.",
    ),
    optional(
        "keys",
        "when-stale",
        "refuse",
        "`refuse` or `serve`: how to handle requests with a key while the configuration is stale.",
    ),
    number(
        "configuration",
        "poll-ms",
        "500",
        (20, 10_000),
        "The interval in milliseconds between reads of the configuration's head revision.",
    ),
    required("operator", "key-sha256", "The SHA-256 hash of the operators' key."),
    number(
        "limits",
        "body-bytes",
        "1048576",
        (1024, 1_073_741_824),
        "The maximum size in bytes of a request body.",
    ),
    number(
        "limits",
        "memory-mb",
        "0",
        (0, 67_108_864),
        "The VM's memory in megabytes, from which the memory for request bodies and connections follows; 0 for what the system says.",
    ),
    number(
        "limits",
        "descriptors",
        "0",
        (0, 1_073_741_824),
        "How many descriptors the process may open, from which the number of connections follows; 0 for the system's limit.",
    ),
    number(
        "limits",
        "buffer-bytes",
        "262144",
        (0, 67_108_864),
        "The maximum size in bytes of a response that is buffered before it is forwarded.",
    ),
    number(
        "limits",
        "endpoint-connections",
        "16",
        (1, 64),
        "The maximum number of connections from this process to one endpoint.",
    ),
    number(
        "records",
        "capacity",
        "200000",
        (1, 10_000_000),
        "The maximum number of idempotency records of a failure domain.",
    ),
    number(
        "records",
        "window-ms",
        "600000",
        (1000, 604_800_000),
        "The retention time in milliseconds of an idempotency record.",
    ),
    number(
        "stop",
        "notice-ms",
        "1000",
        (0, 600_000),
        "The time in milliseconds between the notice of a planned stop and its start.",
    ),
    number(
        "stop",
        "limit-ms",
        "60000",
        (0, 3_600_000),
        "The maximum time in milliseconds that a planned stop waits for requests in progress.",
    ),
    optional("log", "level", "info", "`error`, `warn`, `info` or `debug`."),
];

impl SettingRow {
    /// Finds a setting by section and option.
    pub(super) fn find(section: &str, option: &str) -> Option<&'static SettingRow> {
        SETTING_ROWS.iter().find(|row| row.section == section && row.option == option)
    }
}
