//! The table of settings.

/// A setting with its default and range.
#[derive(Debug, Clone, Copy)]
pub struct SettingRow {
    /// The section.
    pub section: &'static str,
    /// The option.
    pub option: &'static str,
    /// The default, or `None` if the setting must be given.
    pub default: Option<&'static str>,
    /// The least and the greatest value of a number.
    pub range: Option<(u64, u64)>,
    /// What it means, with its unit.
    pub doc: &'static str,
}

/// Creates a setting that must be given.
const fn required(
    section: &'static str,
    option: &'static str,
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: None, range: None, doc }
}

/// Creates a setting with a default.
const fn optional(
    section: &'static str,
    option: &'static str,
    default: &'static str,
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: Some(default), range: None, doc }
}

/// Creates a number with a default and a range.
const fn number(
    section: &'static str,
    option: &'static str,
    default: &'static str,
    range: (u64, u64),
    doc: &'static str,
) -> SettingRow {
    SettingRow { section, option, default: Some(default), range: Some(range), doc }
}

/// Every setting, except the failure domains, whose names are the options of `[domains]`.
pub const SETTING_ROWS: &[SettingRow] = &[
    required("process", "name", "The process's name, unique in the fleet."),
    required("process", "domain", "The failure domain that the process runs in."),
    required(
        "process",
        "http",
        "The address `IP:PORT` that serves callers and operators.",
    ),
    required("process", "peer", "The address `IP:PORT` that serves peers."),
    optional("process", "advertise", "", "The address under which peers reach `peer`."),
    required("store", "url", "The base URL of the store."),
    number(
        "store",
        "timeout-ms",
        "1000",
        (10, 60_000),
        "The time in milliseconds after which a call on the store is given up.",
    ),
    required("vm-list", "url", "The URL of the VM list."),
    number(
        "vm-list",
        "poll-ms",
        "1000",
        (50, 60_000),
        "The time in milliseconds between two reads of the VM list.",
    ),
    number(
        "ownership",
        "lease-ms",
        "2000",
        (1000, 60_000),
        "The time in milliseconds for which ownership lasts without renewal; whole seconds.",
    ),
    number(
        "ownership",
        "heartbeat-ms",
        "250",
        (20, 10_000),
        "The time in milliseconds between two heartbeats to the dispatcher.",
    ),
    number(
        "ownership",
        "digest-ms",
        "1000",
        (50, 60_000),
        "The time in milliseconds between two exchanges of digests with another domain.",
    ),
    number(
        "workers",
        "task-lease-ms",
        "10000",
        (500, 600_000),
        "The time in milliseconds for which a task runs without a renewal.",
    ),
    number(
        "workers",
        "heartbeat-ms",
        "1000",
        (50, 60_000),
        "The time in milliseconds between two heartbeats to a worker.",
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
        "`refuse` or `serve`: what happens to keyed work while the configuration is stale.",
    ),
    number(
        "configuration",
        "poll-ms",
        "500",
        (20, 10_000),
        "The time in milliseconds between two reads of the configuration's head.",
    ),
    required("operator", "key-sha256", "The SHA-256 hash of the operators' key."),
    number(
        "limits",
        "body-bytes",
        "1048576",
        (1024, 1_073_741_824),
        "The greatest body of a call in bytes.",
    ),
    number(
        "limits",
        "buffer-bytes",
        "262144",
        (0, 67_108_864),
        "The greatest answer in bytes that is read whole before it is passed on.",
    ),
    number(
        "limits",
        "endpoint-connections",
        "16",
        (1, 64),
        "The greatest number of connections from this process to one endpoint.",
    ),
    number(
        "records",
        "capacity",
        "200000",
        (1, 10_000_000),
        "The greatest number of idempotency records of a failure domain.",
    ),
    number(
        "records",
        "window-ms",
        "600000",
        (1000, 604_800_000),
        "The time in milliseconds for which an idempotency record is kept.",
    ),
    number(
        "stop",
        "notice-ms",
        "1000",
        (0, 600_000),
        "The time in milliseconds between the notice of a planned stop and its beginning.",
    ),
    number(
        "stop",
        "limit-ms",
        "60000",
        (0, 3_600_000),
        "The greatest time in milliseconds that a planned stop waits for running calls.",
    ),
    optional("log", "level", "info", "`error`, `warn`, `info` or `debug`."),
];

impl SettingRow {
    /// Finds a setting.
    pub(super) fn find(section: &str, option: &str) -> Option<&'static SettingRow> {
        SETTING_ROWS.iter().find(|row| row.section == section && row.option == option)
    }
}
