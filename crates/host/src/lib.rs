//! Code shared by the processes that embed a [`lockcroft::Controller`] (the simulator's adapter, the daemon and the
//! platform process): the indices that the controller uses for names, the reading of settings, and the published
//! tables.

#![warn(missing_docs)]

mod names;
mod published;
mod setting_values;
mod settings;

pub use names::{NameIndex, NameInterner, UnknownName};
pub use published::{Admission, PublishedTable, PublishedTables};
pub use setting_values::{SettingValue, SettingValues};
pub use settings::{SettingsError, parse_settings, setting_values};
