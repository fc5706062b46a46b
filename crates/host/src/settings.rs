//! Settings as the users' platform states them, flattened and renamed to the house's words. They reach an
//! instance of the simulator in its first message and a pilot on the platform in its configuration.

use lockcroft::Settings;
use serde_json::Value;

use crate::{SettingValue, SettingValues};

/// Wire name, house name. NameInterner that are not here pass as they are.
const NAMES: [(&str, &str); 25] = [
    ("agents", "proxies"),
    ("cold_from", "cold_share"),
    ("cold_us", "warm_within_us"),
    ("counted_over_us", "messages_span_us"),
    ("cycle_us", "report_period_us"),
    ("deadline_us", "patience_us"),
    ("default_retry", "second_try_default"),
    ("drain_binds_alone", "only_draining_binds"),
    ("egress_per_s", "channel_lines_per_s"),
    ("fails_to_eject", "shuns_after"),
    ("fall_us", "cold_span_us"),
    ("first_wait", "second_try_after"),
    ("fleet_size", "pilots"),
    ("late_worth", "late_earnings"),
    ("min_conn_cap", "connections_least"),
    ("overhead", "message_head_lines"),
    ("overload_factor", "cold_multiple"),
    ("partitions_n", "slices"),
    ("policy_limits", "allowed"),
    ("propagation_us", "message_delay_us"),
    ("queue_cap", "queue_most_lines"),
    ("reloads_max", "messages_most"),
    ("specifics", "fleet"),
    ("target_us", "contract_time_us"),
    ("worth", "earnings"),
];

/// # Errors
/// Says what is wrong with the text; so does the one below.
pub fn parse_settings(text: &str) -> Result<Settings, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    Ok(setting_values(&value)?.to_settings())
}

pub fn setting_values(value: &Value) -> Result<SettingValues, String> {
    if !value.is_object() {
        return Err("settings: not an object".into());
    }
    let mut values = SettingValues::default();
    flatten(String::new(), value, &mut values);
    Ok(values)
}

fn flatten(path: String, value: &Value, values: &mut SettingValues) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    let setting = match value {
        Value::Null => return,
        Value::Bool(flag) => SettingValue::Flag(*flag),
        Value::Number(number) => SettingValue::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::String(text) => SettingValue::Text(text.clone()),
        Value::Array(members) => {
            for (i, member) in members.iter().enumerate() {
                flatten(below(&i.to_string()), member, values);
            }
            return;
        }
        Value::Object(members) => {
            for (name, member) in members {
                let house =
                    NAMES.iter().find(|(wire, _)| wire == name).map_or(name.as_str(), |(_, house)| house);
                flatten(below(house), member, values);
            }
            return;
        }
    };
    values.0.insert(path, setting);
}
