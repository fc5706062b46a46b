//! The fields of a message, whose values stay JSON text until one is used. Parsing a message therefore takes little
//! memory beside its text, whatever a client has put into it.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::value::RawValue;

/// The names of all fields of messages from proxies and collectors. Others are ignored.
const NAMES: [&str; 14] = [
    "t", "locality", "endpoint", "total", "errors", "rtt", "interval", "metrics", "node", "w", "cold",
    "nonce", "latency", "route",
];
/// The maximum length of a value in an error message, in bytes.
const MAX_SHOWN_BYTES: usize = 200;

/// The fields of one message.
#[derive(Debug, Default)]
pub struct MessageFields<'a> {
    /// The values of the fields in [`NAMES`]; of a repeated field, the last one.
    values: [Option<&'a RawValue>; NAMES.len()],
}

impl<'a> MessageFields<'a> {
    /// Returns the value of a field, or `None` if it is missing, null or of another type.
    pub fn get<T: Deserialize<'a>>(&self, name: &str) -> Option<T> {
        serde_json::from_str(self.raw(name)?).ok()
    }

    /// Returns true if a field is missing or null.
    pub fn is_null(&self, name: &str) -> bool {
        self.raw(name).is_none_or(|value| value == "null")
    }

    /// Returns true if the value of a field is an object.
    pub fn is_object(&self, name: &str) -> bool {
        self.raw(name).is_some_and(|value| value.starts_with('{'))
    }

    /// Returns the value of a field for an error message; `null` if it is missing.
    pub fn shown(&self, name: &str) -> String {
        abbreviated(self.raw(name).unwrap_or("null"))
    }

    fn raw(&self, name: &str) -> Option<&'a str> {
        let index = NAMES.iter().position(|known| *known == name)?;
        self.values[index].map(RawValue::get)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for MessageFields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = MessageFields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<Self::Value, M::Error> {
        let mut fields = MessageFields::default();
        while let Some(name) = map.next_key::<String>()? {
            match NAMES.iter().position(|known| *known == name) {
                Some(index) => fields.values[index] = Some(map.next_value()?),
                None => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(fields)
    }
}

/// Returns the start of a text, for an error message.
pub fn abbreviated(text: &str) -> String {
    if text.len() <= MAX_SHOWN_BYTES {
        return text.into();
    }
    format!("{}…", &text[..text.floor_char_boundary(MAX_SHOWN_BYTES)])
}
