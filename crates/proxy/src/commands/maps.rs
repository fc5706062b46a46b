//! Commands on the map `classes`, from request classes to backends, and on its prepared versions. It is the only
//! map.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::error::{CommandError, CommandOutput};
use crate::routing::RoutingState;

type ClassMap = BTreeMap<String, String>;

/// The maximum number of entries of a map. A proxy has at most 64 classes.
pub const MAX_MAP_ENTRIES: usize = 1024;
/// The maximum number of prepared versions. Beyond it, the one that was prepared first is dropped.
pub const MAX_PREPARED_MAPS: usize = 16;

impl RoutingState {
    /// Executes a command of the form `ACTION map [@VERSION] classes …`.
    pub(super) fn map_command(&mut self, words: &[&str], payload: Option<&str>) -> CommandOutput {
        let map_or_version = words.get(2).ok_or(CommandError::MissingMap)?;
        let version = map_or_version.strip_prefix('@').map(|version| version.parse::<u64>().unwrap_or(0));
        let map_and_arguments = if version.is_some() { &words[3..] } else { &words[2..] };
        let Some((&"classes", arguments)) = map_and_arguments.split_first() else {
            return Err(CommandError::UnknownMap);
        };
        match words[0] {
            "prepare" => return Ok(self.prepare_map()),
            "commit" => return self.commit_map(version),
            _ => {}
        }
        let map = match version {
            Some(version) => self.prepared_maps.get_mut(&version).ok_or(CommandError::VersionOutOfRange)?,
            None => &mut self.class_map,
        };
        if words[0] == "show" && arguments.is_empty() {
            return Ok(show_map(map));
        }
        edit_map(map, words[0], arguments, payload)?;
        Ok(String::new())
    }

    fn prepare_map(&mut self) -> String {
        self.last_prepared_version += 1;
        self.prepared_maps.insert(self.last_prepared_version, ClassMap::default());
        if self.prepared_maps.len() > MAX_PREPARED_MAPS {
            self.prepared_maps.pop_first();
        }
        format!("New version created: {}\n", self.last_prepared_version)
    }

    fn commit_map(&mut self, version: Option<u64>) -> CommandOutput {
        let version = version.ok_or(CommandError::MissingVersion)?;
        self.class_map = self.prepared_maps.remove(&version).ok_or(CommandError::VersionOutOfRange)?;
        // Versions that were prepared earlier are older than the one that is now in effect.
        self.prepared_maps.retain(|number, _| *number > version);
        Ok(String::new())
    }
}

fn show_map(map: &ClassMap) -> String {
    let mut text = String::new();
    for (number, (key, value)) in map.iter().enumerate() {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{number:#x} {key} {value}");
    }
    text
}

fn edit_map(
    map: &mut ClassMap,
    action: &str,
    arguments: &[&str],
    payload: Option<&str>,
) -> Result<(), CommandError> {
    match (action, arguments) {
        ("set", [key, value]) => {
            let entry = map.get_mut(*key).ok_or(CommandError::EntryNotFound)?;
            *entry = (*value).into();
        }
        ("add", [key, value]) => add_entry(map, key, value)?,
        ("add", []) => add_payload(map, payload.ok_or(CommandError::MissingKeyAndValue)?)?,
        ("del", [key]) => drop(map.remove(*key).ok_or(CommandError::EntryNotFound)?),
        ("clear", []) => map.clear(),
        _ => return Err(CommandError::MapArguments),
    }
    Ok(())
}

fn add_entry(map: &mut ClassMap, key: &str, value: &str) -> Result<(), CommandError> {
    if map.len() >= MAX_MAP_ENTRIES && !map.contains_key(key) {
        return Err(CommandError::TooMany { what: "map entries", allowed: MAX_MAP_ENTRIES });
    }
    map.insert(key.into(), value.into());
    Ok(())
}

/// Adds an entry for each line of the payload, up to the first malformed line.
fn add_payload(map: &mut ClassMap, payload: &str) -> Result<(), CommandError> {
    for line in payload.lines() {
        let (key, value) = line.split_once(' ').ok_or(CommandError::MissingValue)?;
        add_entry(map, key, value.trim())?;
    }
    Ok(())
}
