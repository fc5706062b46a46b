//! State of a controller daemon around its decisions: the endpoint list with operator overrides, the sessions and
//! acknowledged state of the proxies, their counters, table snapshots and solver plans.
//!
//! [`FleetController`] drives [`lockcroft::Controller`]. Inputs are method calls; work on sockets, files and other
//! threads is returned as [`Effect`]s. The crate does no I/O, reads no clock, and makes no decisions about
//! endpoints, weights or requests.
//!
//! [`FleetController::run_actions`] is the entry point for readers. `sessions` handles connections and responses;
//! `proxy_ledger` computes the difference between the desired and the acknowledged state of a proxy.

#![warn(missing_docs)]

mod actions;
mod applied_entry;
mod applied_state;
mod capacity_model;
mod demand_estimate;
mod desired_changes;
mod effect;
mod endpoint_list;
mod error;
mod event_log;
mod file_distribution;
mod fleet_controller;
mod inputs;
mod ledger_change;
mod planned_class;
mod planner;
mod proxy_counters;
mod proxy_ledger;
mod proxy_session;
mod publication;
mod sessions;
mod snapshot_content;
mod state_recorder;
mod state_recovery;
mod state_store_status;
mod statistics;
mod update_context;
mod update_in_flight;
mod updates;
mod views;
mod weight_scale;

pub use effect::Effect;
pub use endpoint_list::{EndpointList, OperatorOverride};
pub use error::{OperatorError, PublishError, SessionError};
pub use event_log::EventLog;
pub use fleet_controller::FleetController;
pub use planner::SolverTask;
pub use proxy_counters::{CounterDelta, Counters};
pub use proxy_session::SessionPhase;
pub use publication::{AppliedVersion, Publication, RejectedVersion, SnapshotReport};
pub use state_store_status::StateStoreStatus;
pub use weight_scale::WeightScale;
