//! Entries that another writer left among those of the workers, and that name no usable worker.

use serde_json::Value;
use serde_json::json;

/// The depth of a nested entry, beyond what a parser without a limit bears.
const NESTED_LEVELS: usize = 100_000;

/// Returns the names and the values of the entries.
pub fn odd_entries() -> Vec<(&'static str, String)> {
    let nested = format!("{}{}", "[".repeat(NESTED_LEVELS), "]".repeat(NESTED_LEVELS));
    let greatest = json!({ "cpu": u64::MAX, "mem_mb": u64::MAX, "gpu": u32::MAX });
    let usual = json!({ "cpu": 16_000, "mem_mb": 65_536, "gpu": 0 });
    let sound = entry("127.0.0.1:9", &usual).to_string();
    vec![
        ("nested", sound.replace(r#""labels":[]"#, &format!(r#""labels":{nested}"#))),
        ("amounts", entry("127.0.0.1:9", &greatest).to_string()),
        ("exponent", sound.replace("16000", "1e400")),
        ("port", entry("127.0.0.1:99999", &usual).to_string()),
    ]
}

/// Returns an entry with the fields of a sound one.
fn entry(address: &str, capacity: &Value) -> Value {
    json!({
        "service": "service", "address": address, "zone": "d0", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq_no": 1, "capacity": capacity,
        "labels": [], "born": 1,
    })
}
