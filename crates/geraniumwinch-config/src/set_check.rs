//! Validation of a configuration set.

use std::collections::BTreeMap;

use crate::ConfigProblem;
use crate::ConfigurationSet;
use crate::IniSection;
use crate::IniText;
use crate::KeyHash;
use crate::ObjectKind;
use crate::ObjectName;
use crate::ObjectOptions;
use crate::ObjectSchema;
use crate::OptionType;
use crate::Result;
use crate::object_schema::OBJECT_SCHEMAS;

/// Maximum length of an object's name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Builds a set from the sections of a file, or returns every problem in it.
pub(crate) fn check_set(ini: &IniText) -> Result<ConfigurationSet> {
    let mut problems = Vec::new();
    let mut set = ConfigurationSet::default();
    for section in &ini.sections {
        match check_section_name(ini, section) {
            Ok(name) => {
                let options =
                    check_options(ini, section, name.kind.schema(), &mut problems);
                set.insert(name, options);
            }
            Err(problem) => problems.push(problem),
        }
    }
    for section in &ini.sections {
        check_references(ini, section, &set, &mut problems);
    }
    check_hashes(ini, &mut problems);
    check_deadlines(ini, &mut problems);
    if problems.is_empty() { Ok(set) } else { Err(problems) }
}

/// Parses the name of a section into the kind and the name of an object.
fn check_section_name(
    ini: &IniText,
    section: &IniSection,
) -> std::result::Result<ObjectName, ConfigProblem> {
    let (keyword, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
    let Some(kind) = ObjectKind::from_keyword(keyword) else {
        let keywords: Vec<&str> =
            OBJECT_SCHEMAS.iter().map(|schema| schema.keyword).collect();
        let hint = format!("start the section name with one of {}", keywords.join(", "));
        return Err(ini.problem(section, section.line, "unknown section", hint));
    };
    let name = name.trim();
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.bytes().all(is_allowed) {
        let message = format!("invalid object name `{name}`");
        let hint = "use 1 to 64 ASCII letters, digits, `-`, `_` and `.`";
        return Err(ini.problem(section, section.line, message, hint));
    }
    Ok(ObjectName { kind, name: name.to_owned() })
}

/// Validates the options of a section against the schema of its kind.
fn check_options(
    ini: &IniText,
    section: &IniSection,
    schema: &ObjectSchema,
    problems: &mut Vec<ConfigProblem>,
) -> ObjectOptions {
    let mut options = ObjectOptions::default();
    for option in &section.options {
        let known = schema.options.iter().find(|known| known.name == option.name);
        let Some(known) = known else {
            let names: Vec<&str> =
                schema.options.iter().map(|known| known.name).collect();
            let hint =
                format!("a {} has the options {}", schema.keyword, names.join(", "));
            let message = format!("unknown option `{}`", option.name);
            problems.push(ini.problem(section, option.line, message, hint));
            continue;
        };
        if let Some(hint) = value_hint(known.value, &option.value) {
            let message = format!("`{}` can't be `{}`", option.name, option.value);
            problems.push(ini.problem(section, option.line, message, hint));
        }
        options.set(&option.name, &option.value);
    }
    for known in schema.options {
        if known.default.is_none() && section.option(known.name).is_none() {
            let message = format!("`{}` is missing", known.name);
            problems.push(ini.problem(section, section.line, message, known.doc));
        }
    }
    options
}

/// Returns a hint on the expected value of an option if its value is invalid.
fn value_hint(value: OptionType, text: &str) -> Option<String> {
    match value {
        OptionType::Text | OptionType::References(_) => None,
        OptionType::Integer(min, max) => {
            let valid =
                text.parse().is_ok_and(|number: u64| (min..=max).contains(&number));
            (!valid).then(|| format!("specify an integer from {min} to {max}"))
        }
        OptionType::Flag => {
            (!matches!(text, "yes" | "no")).then(|| "specify `yes` or `no`".to_owned())
        }
        OptionType::Hash => KeyHash::from_hex(text).is_none().then(|| {
            "specify 64 hexadecimal digits, as printed by `geraniumwinch hash-key`"
                .to_owned()
        }),
        OptionType::Reference(_) => text.is_empty().then(|| "specify a name".to_owned()),
    }
}

/// Reports references to objects that are not defined.
fn check_references(
    ini: &IniText,
    section: &IniSection,
    set: &ConfigurationSet,
    problems: &mut Vec<ConfigProblem>,
) {
    let keyword = section.name.split(' ').next().unwrap_or_default();
    let Some(kind) = ObjectKind::from_keyword(keyword) else { return };
    for known in kind.schema().options {
        let Some(option) = section.option(known.name) else { continue };
        let (target, names) = match known.value {
            OptionType::Reference(target) => (target, vec![option.value.as_str()]),
            OptionType::References(target) => {
                (target, split_list(&option.value).collect())
            }
            _ => continue,
        };
        for name in names.into_iter().filter(|name| !name.is_empty()) {
            let object = ObjectName { kind: target, name: name.to_owned() };
            if set.get(&object).is_none() {
                let message =
                    format!("`{}` refers to {object}, which is not defined", known.name);
                let hint = format!("add a section [{object}] or refer to another one");
                problems.push(ini.problem(section, option.line, message, hint));
            }
        }
    }
}

/// Reports duplicate keys, since a key belongs to exactly one team.
fn check_hashes(ini: &IniText, problems: &mut Vec<ConfigProblem>) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for section in ini.sections.iter().filter(|section| section.name.starts_with("key "))
    {
        let Some(option) = section.option("sha256") else { continue };
        if let Some(first) = seen.insert(&option.value, &section.name) {
            let message = format!("the same key is already defined in [{first}]");
            problems.push(ini.problem(
                section,
                option.line,
                message,
                "define each key only once",
            ));
        }
    }
}

/// Reports policies whose default deadline exceeds their maximum deadline.
fn check_deadlines(ini: &IniText, problems: &mut Vec<ConfigProblem>) {
    let number = |section: &IniSection, name: &str| {
        section.option(name).and_then(|option| option.value.parse::<u64>().ok())
    };
    for section in
        ini.sections.iter().filter(|section| section.name.starts_with("policy "))
    {
        let default = number(section, "default-deadline-ms").unwrap_or(10_000);
        let max = number(section, "max-deadline-ms").unwrap_or(30_000);
        if default > max {
            let message = "`default-deadline-ms` exceeds `max-deadline-ms`";
            let hint = "raise the maximum or lower the default";
            problems.push(ini.problem(section, section.line, message, hint));
        }
    }
}

/// Splits a comma-separated list and skips empty items.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|item| !item.is_empty())
}
