//! What every host of a [`lockcroft::Controller`] shares (the simulator's adapter, the daemon and the platform):
//! names and the indices that decisions use for them, the names of settings, and the published tables.

#![warn(missing_docs)]

mod names;
mod published;
mod setting_values;
mod settings;

pub use names::{NameIndex, NameInterner, UnknownName};
pub use published::{Admission, PublishedTable, PublishedTables};
pub use setting_values::{SettingValue, SettingValues};
pub use settings::{SettingsError, parse_settings, setting_values};
