//! Settings as the users' platform states them, flattened and renamed to the names of the XML form. They reach an
//! instance in the simulator in its first message and one on the platform in its configuration.

use lockcroft::Settings;
use serde_json::Value;
use thiserror::Error;

use crate::{SettingValue, SettingValues};

/// One name of the settings on the wire, and the name of the XML form for the same setting.
struct SettingName {
    wire: &'static str,
    xml: &'static str,
}

const fn renamed(wire: &'static str, xml: &'static str) -> SettingName {
    SettingName { wire, xml }
}

/// The names that differ between the two forms; all others are the same in both.
const RENAMED_SETTINGS: [SettingName; 25] = [
    renamed("agents", "proxies"),
    renamed("cold_from", "cold_share"),
    renamed("cold_us", "warm_within_us"),
    renamed("counted_over_us", "messages_span_us"),
    renamed("cycle_us", "report_period_us"),
    renamed("deadline_us", "patience_us"),
    renamed("default_retry", "second_try_default"),
    renamed("drain_binds_alone", "only_draining_binds"),
    renamed("egress_per_s", "channel_lines_per_s"),
    renamed("fails_to_eject", "shuns_after"),
    renamed("fall_us", "cold_span_us"),
    renamed("first_wait", "second_try_after"),
    renamed("fleet_size", "pilots"),
    renamed("late_worth", "late_earnings"),
    renamed("min_conn_cap", "connections_least"),
    renamed("overhead", "message_head_lines"),
    renamed("overload_factor", "cold_multiple"),
    renamed("partitions_n", "slices"),
    renamed("policy_limits", "allowed"),
    renamed("propagation_us", "message_delay_us"),
    renamed("queue_cap", "queue_most_lines"),
    renamed("reloads_max", "messages_most"),
    renamed("specifics", "fleet"),
    renamed("target_us", "contract_time_us"),
    renamed("worth", "earnings"),
];

/// Why settings can't be read.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are a JSON value, but not an object.
    #[error("settings: not an object")]
    NotAnObject,
}

/// Reads the settings out of their JSON text.
///
/// # Errors
/// The text is not JSON, or not an object.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let value: Value = serde_json::from_str(text)?;
    Ok(setting_values(&value)?.to_settings())
}

/// Reads the settings as values by name out of a JSON object.
///
/// # Errors
/// The value is not an object.
pub fn setting_values(value: &Value) -> Result<SettingValues, SettingsError> {
    if !value.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let mut values = SettingValues::default();
    flatten(String::new(), value, &mut values);
    Ok(values)
}

fn xml_name(wire: &str) -> &str {
    RENAMED_SETTINGS.iter().find(|name| name.wire == wire).map_or(wire, |name| name.xml)
}

/// Adds the value at this path, or all values below it, under their dotted names.
fn flatten(path: String, value: &Value, values: &mut SettingValues) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    let setting = match value {
        Value::Null => return,
        Value::Bool(flag) => SettingValue::Flag(*flag),
        Value::Number(number) => SettingValue::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::String(text) => SettingValue::Text(text.clone()),
        Value::Array(members) => {
            for (index, member) in members.iter().enumerate() {
                flatten(below(&index.to_string()), member, values);
            }
            return;
        }
        Value::Object(members) => {
            for (name, member) in members {
                flatten(below(xml_name(name)), member, values);
            }
            return;
        }
    };
    values.0.insert(path, setting);
}
