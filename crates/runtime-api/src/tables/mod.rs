//! The tables that HAProxy prints in columns, written and read: `show stat` and `show servers state`. With
//! them go the names of variables by class, and the digest of a proxy's tables, which both sides compute.

mod digest;
mod error;
mod server_state;
mod stat;

pub use digest::Digest;
pub use error::TableError;
pub use server_state::{FORCED_DRAIN, FORCED_MAINT, ServerStateRow, read_server_states, write_server_states};
pub use stat::{STAT_COLUMNS, StatRow, read_stat, write_stat};

/// The name of a proxy's variable about a class, as `proc.level_look_up` for `level` and `look-up`. Names of
/// variables have no dashes in HAProxy.
#[must_use]
pub fn class_variable_name(prefix: &str, class: &str) -> String {
    format!("proc.{prefix}_{}", class.replace('-', "_"))
}
