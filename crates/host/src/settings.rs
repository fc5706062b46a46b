//! Reads settings in the platform's JSON form and renames them to the names of the XML form. A controller in the
//! simulator gets them in its first message, one on the platform in its configuration file.

use lockcroft::Settings;
use serde_json::Value;
use thiserror::Error;

use crate::{SettingValue, SettingValues};

/// The name of a setting in the JSON form and in the XML form.
struct SettingName {
    wire: &'static str,
    xml: &'static str,
}

const fn renamed(wire: &'static str, xml: &'static str) -> SettingName {
    SettingName { wire, xml }
}

/// The settings whose names differ between the two forms.
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

/// An error of reading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is valid JSON, but not an object.
    #[error("settings: not an object")]
    NotAnObject,
}

/// Parses settings from a JSON text. Values of an unexpected type count as absent.
///
/// # Errors
/// Returns an error if the text is not valid JSON, or not an object.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let value: Value = serde_json::from_str(text)?;
    Ok(setting_values(&value)?.to_settings())
}

/// Flattens a JSON object into setting values by dotted name.
///
/// # Errors
/// Returns [`SettingsError::NotAnObject`] if the value is not an object.
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

/// Adds the value at this path, or all values nested in it, under their dotted names.
fn flatten(path: String, value: &Value, values: &mut SettingValues) {
    let nested_path = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    let setting = match value {
        Value::Null => return,
        Value::Bool(flag) => SettingValue::Flag(*flag),
        Value::Number(number) => SettingValue::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::String(text) => SettingValue::Text(text.clone()),
        Value::Array(members) => {
            for (index, member) in members.iter().enumerate() {
                flatten(nested_path(&index.to_string()), member, values);
            }
            return;
        }
        Value::Object(members) => {
            for (name, member) in members {
                flatten(nested_path(xml_name(name)), member, values);
            }
            return;
        }
    };
    values.0.insert(path, setting);
}
