//! What a running pilot knows beside its decisions: the list of servers with the operator's words,
//! what each proxy holds and has answered, counters turned into reports. [`Helm`] hosts the
//! decisions: inputs go in as calls, effects come out to be carried out on sockets. There is no I/O
//! and no clock here, and nothing about servers, weights or visits is decided.

mod berth;
mod book;
mod events;
mod files;
mod helm;
mod kept;
mod list;
mod notes;
mod planner;
mod reports;
mod scale;
mod views;

pub use berth::Stage;
pub use events::Events;
pub use files::{Publication, Report, Unwritten};
pub use helm::{Effect, Helm};
pub use kept::Kept;
pub use list::{List, Word};
pub use planner::Task;
pub use reports::{Counters, Told};
pub use scale::Scale;
