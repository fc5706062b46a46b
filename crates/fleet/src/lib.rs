//! What a running pilot knows beside its decisions: the list of servers with the operator's words,
//! what each proxy holds and has answered, counters turned into reports. [`FleetController`] hosts the
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
pub use events::EventLog;
pub use files::{AppliedReport, Publication, PublishError};
pub use helm::{Effect, FleetController};
pub use kept::StateRecovery;
pub use list::{EndpointList, OperatorOverride};
pub use planner::SolverTask;
pub use reports::{CounterDelta, Counters};
pub use scale::WeightScale;
