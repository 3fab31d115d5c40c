//! Schemas of the objects in a configuration set.

use serde::Deserialize;
use serde::Serialize;

/// Kind of a configuration object.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ObjectKind {
    /// A team of a client account.
    Team,
    /// A key that authenticates the requests of a team.
    Key,
    /// A queue of requests and jobs.
    Queue,
    /// A team's weight in sharing the fleet when it is full.
    Share,
    /// A limit on a team's running tasks and requests.
    Limit,
    /// Deadlines and the maximum number of waiting requests of queues.
    Policy,
}

/// Type of an option's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OptionType {
    /// Any text.
    Text,
    /// An integer within an inclusive range.
    Integer(u64, u64),
    /// `yes` or `no`.
    Flag,
    /// A SHA-256 hash in hexadecimal digits.
    Hash,
    /// Name of an object of a kind.
    Reference(ObjectKind),
    /// Comma-separated names of objects of a kind.
    References(ObjectKind),
}

/// Schema of an option.
#[derive(Debug, Clone, Copy)]
pub struct OptionSchema {
    /// Name of the option.
    pub name: &'static str,
    /// Type of the value.
    pub value: OptionType,
    /// Default value, or `None` if the option is required.
    pub default: Option<&'static str>,
    /// Description of the option with its unit, also shown as a hint.
    pub doc: &'static str,
}

/// Schema of a kind of object.
#[derive(Debug, Clone, Copy)]
pub struct ObjectSchema {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// First word of the section name.
    pub keyword: &'static str,
    /// Schemas of the options.
    pub options: &'static [OptionSchema],
}

/// Creates a required option.
const fn required(
    name: &'static str,
    value: OptionType,
    doc: &'static str,
) -> OptionSchema {
    OptionSchema { name, value, default: None, doc }
}

/// Creates an optional option with its default.
const fn optional(
    name: &'static str,
    value: OptionType,
    default: &'static str,
    doc: &'static str,
) -> OptionSchema {
    OptionSchema { name, value, default: Some(default), doc }
}

/// Schemas of all kinds of objects.
pub const OBJECT_SCHEMAS: &[ObjectSchema] = &[
    ObjectSchema {
        kind: ObjectKind::Team,
        keyword: "team",
        options: &[
            required(
                "share",
                OptionType::Reference(ObjectKind::Share),
                "The share object of the team.",
            ),
            required(
                "limit",
                OptionType::Reference(ObjectKind::Limit),
                "The limit object of the team.",
            ),
            optional("account", OptionType::Text, "", "The client account of the team."),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Key,
        keyword: "key",
        options: &[
            required(
                "team",
                OptionType::Reference(ObjectKind::Team),
                "The team that the key belongs to.",
            ),
            required("sha256", OptionType::Hash, "The SHA-256 hash of the key."),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Queue,
        keyword: "queue",
        options: &[
            required("service", OptionType::Text, "The service that runs the requests."),
            required(
                "policy",
                OptionType::Reference(ObjectKind::Policy),
                "The policy object of the queue.",
            ),
            optional(
                "open",
                OptionType::Flag,
                "no",
                "Whether requests are accepted without a key.",
            ),
            optional(
                "teams",
                OptionType::References(ObjectKind::Team),
                "",
                "The teams that may use the queue; every team if empty.",
            ),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Share,
        keyword: "share",
        options: &[required(
            "weight",
            OptionType::Integer(1, 1_000_000),
            "The weight of a team in sharing the fleet when it is full.",
        )],
    },
    ObjectSchema {
        kind: ObjectKind::Limit,
        keyword: "limit",
        options: &[required(
            "running",
            OptionType::Integer(0, 1_000_000),
            "The maximum number of tasks and requests that run in the fleet.",
        )],
    },
    ObjectSchema {
        kind: ObjectKind::Policy,
        keyword: "policy",
        options: &[
            optional(
                "default-deadline-ms",
                OptionType::Integer(10, 3_600_000),
                "10000",
                "The deadline in milliseconds of a request that specifies none.",
            ),
            optional(
                "max-deadline-ms",
                OptionType::Integer(10, 3_600_000),
                "30000",
                "The maximum deadline in milliseconds that a request may specify.",
            ),
            optional(
                "max-waiting",
                OptionType::Integer(1, 100_000),
                "5000",
                "The maximum number of requests that wait for a slot in a failure domain.",
            ),
        ],
    },
];

impl ObjectKind {
    /// Returns the schema of this kind.
    pub fn schema(self) -> &'static ObjectSchema {
        let schema = OBJECT_SCHEMAS.iter().find(|schema| schema.kind == self);
        schema.expect("every kind has a schema")
    }

    /// Finds a kind by the first word of a section name.
    pub fn from_keyword(keyword: &str) -> Option<Self> {
        OBJECT_SCHEMAS
            .iter()
            .find(|schema| schema.keyword == keyword)
            .map(|schema| schema.kind)
    }
}
