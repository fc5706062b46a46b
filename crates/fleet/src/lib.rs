//! What a running controller knows beside its decisions: the endpoint list with the operators' overrides, what
//! each proxy has acknowledged, and the counters of proxies turned into reports. [`FleetController`] hosts the
//! decisions of [`lockcroft::Controller`]: inputs go in as calls, and an [`Effect`] comes out for each thing that
//! is to be carried out on a socket or a file. There is no I/O and no clock here, and nothing about endpoints,
//! weights or requests is decided here.
//!
//! Start reading at [`FleetController::run_actions`]; `sessions` holds the way of a response, `proxy_ledger` the
//! difference between the desired and the acknowledged state of a proxy.

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
pub use publication::{AppliedReport, AppliedVersion, Publication, RejectedVersion};
pub use state_store_status::StateStoreStatus;
pub use weight_scale::WeightScale;
