//! What an operator states at the start, by name.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    Number(f64),
    Flag(bool),
    Text(String),
}

/// A plain map of names to values. Names of nested values are joined by dots, and the members of
/// lists are numbered from 0: `classes.0.patience_us`. What was not stated is simply not there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings(pub BTreeMap<String, SettingValue>);

impl Settings {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => Some(*value),
            _ => None,
        }
    }

    /// A time, stated in microseconds under a name that ends in `_us`.
    pub fn time(&self, name: &str) -> Option<Duration> {
        let micros = self.number(name).filter(|micros| *micros >= 0.0)?;
        Some(Duration::from_micros(micros as u64))
    }

    /// A span of time; zero where none is stated.
    pub fn span(&self, name: &str) -> Duration {
        self.time(name).unwrap_or_default()
    }

    /// A limit; none where it is not stated, or stated as 0.
    pub fn limit(&self, name: &str) -> f64 {
        self.number(name).filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY)
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(SettingValue::Text(value)) => Some(value),
            _ => None,
        }
    }

    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name) == Some(&SettingValue::Flag(true))
    }

    /// How many members the list of this name has.
    pub fn count(&self, name: &str) -> usize {
        (0..).take_while(|i| self.has_below(&format!("{name}.{i}"))).count()
    }

    /// The texts of a list.
    pub fn texts(&self, name: &str) -> Vec<&str> {
        (0..).map_while(|i| self.text(&format!("{name}.{i}"))).collect()
    }

    /// Where the texts of one list stand in another; `None` if the list is not there.
    pub fn positions(&self, list: &str, among: &str) -> Option<Vec<usize>> {
        let (some, all) = (self.texts(list), self.texts(among));
        let found = some.iter().filter_map(|one| all.iter().position(|name| name == one)).collect();
        (!some.is_empty()).then_some(found)
    }

    fn has_below(&self, prefix: &str) -> bool {
        let next = self.0.range(prefix.to_string()..).next();
        next.is_some_and(|(name, _)| {
            name.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }
}
