//! The kinds of objects in a configuration set and their options.

use serde::Deserialize;
use serde::Serialize;

/// A kind of object.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ObjectKind {
    /// A team of a client account.
    Team,
    /// A key that submitters of a team present.
    Key,
    /// A queue of requests and jobs.
    Queue,
    /// The weight of teams when everything is full.
    Share,
    /// An upper limit on what a team has running.
    Limit,
    /// A workload policy of queues.
    Policy,
}

/// The type of an option's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OptionType {
    /// Any text.
    Text,
    /// A whole number in a range.
    Integer(u64, u64),
    /// `yes` or `no`.
    Flag,
    /// A SHA-256 hash in hexadecimal digits.
    Hash,
    /// The name of an object of a kind.
    Reference(ObjectKind),
    /// Names of objects of a kind, separated by commas.
    References(ObjectKind),
}

/// An option of a kind of object.
#[derive(Debug, Clone, Copy)]
pub struct OptionSchema {
    /// The name.
    pub name: &'static str,
    /// The type of the value.
    pub value: OptionType,
    /// The default, or `None` if the option must be given.
    pub default: Option<&'static str>,
    /// What it means, with its unit.
    pub doc: &'static str,
}

/// A kind of object with its options.
#[derive(Debug, Clone, Copy)]
pub struct ObjectSchema {
    /// The kind.
    pub kind: ObjectKind,
    /// The word that opens the section's name.
    pub keyword: &'static str,
    /// The options.
    pub options: &'static [OptionSchema],
}

/// Creates an option that must be given.
const fn required(
    name: &'static str,
    value: OptionType,
    doc: &'static str,
) -> OptionSchema {
    OptionSchema { name, value, default: None, doc }
}

/// Creates an option with a default.
const fn optional(
    name: &'static str,
    value: OptionType,
    default: &'static str,
    doc: &'static str,
) -> OptionSchema {
    OptionSchema { name, value, default: Some(default), doc }
}

/// Every kind of object.
pub const OBJECT_SCHEMAS: &[ObjectSchema] = &[
    ObjectSchema {
        kind: ObjectKind::Team,
        keyword: "team",
        options: &[
            required(
                "share",
                OptionType::Reference(ObjectKind::Share),
                "The team's share.",
            ),
            required(
                "limit",
                OptionType::Reference(ObjectKind::Limit),
                "The team's limit.",
            ),
            optional("account", OptionType::Text, "", "The client account."),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Key,
        keyword: "key",
        options: &[
            required("team", OptionType::Reference(ObjectKind::Team), "The key's team."),
            required("sha256", OptionType::Hash, "The SHA-256 hash of the key."),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Queue,
        keyword: "queue",
        options: &[
            required("service", OptionType::Text, "The service that runs the requests."),
            required("policy", OptionType::Reference(ObjectKind::Policy), "The policy."),
            optional("open", OptionType::Flag, "no", "Whether callers need no key."),
            optional(
                "teams",
                OptionType::References(ObjectKind::Team),
                "",
                "The teams that may use the queue; all of them if empty.",
            ),
        ],
    },
    ObjectSchema {
        kind: ObjectKind::Share,
        keyword: "share",
        options: &[required(
            "weight",
            OptionType::Integer(1, 1_000_000),
            "The weight of a team when everything is full.",
        )],
    },
    ObjectSchema {
        kind: ObjectKind::Limit,
        keyword: "limit",
        options: &[required(
            "running",
            OptionType::Integer(0, 1_000_000),
            "The greatest number of tasks and requests that run in the fleet.",
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
                "The deadline in milliseconds of a request that names none.",
            ),
            optional(
                "max-deadline-ms",
                OptionType::Integer(10, 3_600_000),
                "30000",
                "The greatest deadline in milliseconds that a request may name.",
            ),
            optional(
                "max-waiting",
                OptionType::Integer(1, 100_000),
                "5000",
                "The greatest number of requests that wait for a slot in a failure domain.",
            ),
        ],
    },
];

impl ObjectKind {
    /// Returns the schema of the kind.
    pub fn schema(self) -> &'static ObjectSchema {
        let schema = OBJECT_SCHEMAS.iter().find(|schema| schema.kind == self);
        schema.expect("every kind has a schema")
    }

    /// Finds a kind by the word that opens a section's name.
    pub fn from_keyword(keyword: &str) -> Option<Self> {
        OBJECT_SCHEMAS
            .iter()
            .find(|schema| schema.keyword == keyword)
            .map(|schema| schema.kind)
    }
}
