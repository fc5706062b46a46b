//! Writers and parsers for HAProxy's tables `show stat` and `show servers state`, the names of per-class variables, and
//! the digest by which a controller and a proxy compare their state.

mod digest;
mod error;
mod server_state;
mod stat;

pub use digest::Digest;
pub use error::TableError;
pub use server_state::{FORCED_DRAIN, FORCED_MAINT, ServerStateRow, read_server_states, write_server_states};
pub use stat::{STAT_COLUMNS, StatRow, read_stat, write_stat};

/// Returns the name of a proxy's variable for a class: `proc.level_look_up` for the prefix `level` and the class
/// `look-up`. Dashes become underscores, because names of variables in HAProxy have no dashes.
#[must_use]
pub fn class_variable_name(prefix: &str, class: &str) -> String {
    format!("proc.{prefix}_{}", class.replace('-', "_"))
}
