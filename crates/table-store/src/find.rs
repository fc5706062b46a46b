//! A generation read whole, by those who are no proxy.

use lockcroft_table_format::{
    FormatError, KeyRing, SnapshotContent, WITHDRAWN, read_group, read_table, read_withdrawn,
};

use crate::layout::{Epoch, StoreLayout, Version};
use crate::reader::{manifest, member};

/// All of a sound generation.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSnapshot {
    pub content: SnapshotContent,
    pub pilot: String,
    /// The key that vouches for it.
    pub key: String,
    /// Of all its files.
    pub bytes: u64,
}

/// # Errors
/// What of it is not sound.
pub fn find(
    layout: &StoreLayout,
    epoch: Epoch,
    version: Version,
    keys: &KeyRing,
) -> Result<LoadedSnapshot, String> {
    let folder = layout.generation(epoch, version);
    let (opened, mut sum) = manifest(layout, epoch, version, keys)?;
    let said = |wrong: FormatError| wrong.to_string();
    let mut content = SnapshotContent::default();
    for name in opened.members.keys() {
        let bytes = member(&folder, &opened, name)?;
        sum += bytes.len() as u64;
        if name == WITHDRAWN {
            content.withdrawn = read_withdrawn(&bytes).map_err(said)?;
        } else if let Some(number) = name.strip_prefix("group-").and_then(|number| number.parse().ok()) {
            content.groups.insert(number, read_group(name, &bytes).map_err(said)?);
        } else if name.starts_with("table-") {
            let (number, table) = read_table(name, &bytes).map_err(said)?;
            content.tables.insert(number, table);
        }
    }
    Ok(LoadedSnapshot { content, pilot: opened.pilot, key: opened.key, bytes: sum })
}
