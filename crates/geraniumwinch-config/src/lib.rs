//! Parsing and validation of process settings and of the operators' configuration set, both in INI
//! format.

mod config_head;
mod config_problem;
mod configuration_set;
mod evacuation_set;
mod ini_text;
mod key_hash;
mod node_settings;
mod object_schema;
mod set_check;
mod set_delta;
mod team_catalog;

pub use self::config_head::ConfigHead;
pub use self::config_problem::ConfigProblem;
pub use self::configuration_set::ConfigurationSet;
pub use self::configuration_set::ObjectName;
pub use self::configuration_set::ObjectOptions;
pub use self::evacuation_set::EvacuatedDomain;
pub use self::evacuation_set::EvacuationProblem;
pub use self::evacuation_set::EvacuationSet;
pub use self::ini_text::IniOption;
pub use self::ini_text::IniSection;
pub use self::ini_text::IniText;
pub use self::key_hash::KeyHash;
pub use self::node_settings::DomainSeeds;
pub use self::node_settings::NodeSettings;
pub use self::node_settings::SETTING_ROWS;
pub use self::node_settings::SettingRow;
pub use self::node_settings::StalePolicy;
pub use self::object_schema::OBJECT_SCHEMAS;
pub use self::object_schema::ObjectKind;
pub use self::object_schema::ObjectSchema;
pub use self::object_schema::OptionSchema;
pub use self::object_schema::OptionType;
pub use self::set_delta::ObjectChange;
pub use self::set_delta::SetDelta;
pub use self::team_catalog::CatalogKey;
pub use self::team_catalog::CatalogQueue;
pub use self::team_catalog::CatalogTeam;
pub use self::team_catalog::TeamCatalog;

/// Result of parsing a file; the error lists every problem in it.
pub type Result<T> = std::result::Result<T, Vec<ConfigProblem>>;
