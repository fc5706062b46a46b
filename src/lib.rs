//! lockcroft decides, for a fleet of proxies, which endpoints each class of requests may use, at what
//! weights, and which fraction of the requests is admitted.
//!
//! This crate contains all decisions and performs no I/O: it uses no wire format and reads no clock. Every
//! time passed in is the time since the controller instance started. [`Controller`] is the entry point; each
//! mechanism has its own module, whose documentation states its inputs and its decisions:
//!
//! - `health`, `health_state`: the rise/fall counter and the schedule of health checks,
//! - `outlier`: outlier detection from the attempts that proxies report,
//! - `weight_reduction`: less weight for endpoints that are slower than their subset,
//! - `slow_start`: reduced weight after an endpoint has started,
//! - `load_shedding`: admission rates by class,
//! - `weights`: the desired weights, a pure function of the above,
//! - `subsets`: the division of a large fleet into subsets, and spillover between them,
//! - `publish`: the updates that are due, and their order,
//! - `earlier_ejections`: the endpoints that proxies may have ejected by order of an earlier controller,
//! - `rate_limit`: the capacity of the channel for these updates,
//! - `message_pacing`: which updates wait to share a message,
//! - `startup_hold`: nothing is published until health checks have converged.

#![warn(missing_docs)]

mod attempt_stats;
mod controller;
mod earlier_ejections;
mod health;
mod health_state;
mod load_shedding;
mod message_pacing;
mod outlier;
mod proxies;
mod publish;
mod random;
mod rate_limit;
mod settings;
mod slow_start;
mod startup_hold;
mod state;
mod subsets;
mod thresholds;
mod weight_reduction;
mod weights;

pub use controller::{Controller, ControllerState};
pub use health_state::{HEALTH_CHECK_TIMEOUT, HealthCheckTimer, HealthCounter};
pub use load_shedding::ClassAdmission;
pub use settings::{ClassSettings, FleetSettings, RuleSettings, Settings, SolverSettings};
pub use state::{EndpointState, Restriction, RoutingTable};

use std::time::Duration;

/// An endpoint: a small index that the host assigns, like those of proxies, zones, machine types and classes.
pub type EndpointId = usize;
/// A proxy: a small index that the host assigns.
pub type ProxyId = usize;
/// A zone: an index into [`Settings::zones`].
pub type ZoneId = usize;
/// A machine type: an index into [`Settings::machine_types`].
pub type MachineTypeId = usize;
/// A class of requests: an index into [`Settings::classes`].
pub type ClassId = usize;
/// A table that proxies share: an index that the controller assigns.
pub type TableId = usize;

/// The record of one endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The type of the machine that it runs on.
    pub machine_type: MachineTypeId,
    /// Its listed status.
    pub status: EndpointStatus,
    /// The listed weight; 1 if the list contains none.
    pub weight: f64,
    /// The time since its process started; `None` if it started before the slow-start window.
    pub age: Option<Duration>,
}

/// The listed status of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint may be used.
    #[default]
    Ready,
    /// The endpoint completes its current requests and must get no new ones.
    Draining,
    /// The endpoint is no longer on the list.
    Removed,
}

/// The outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckOutcome {
    /// The endpoint answered, with the fraction of its cores in use if it reports one.
    Passed(Option<f64>),
    /// The endpoint answered with an error, or not in time; it may still be serving requests.
    Failed,
    /// The connection was refused or broke.
    Refused,
    /// The endpoint rejected the check because it is at capacity, which says nothing about its health.
    Rejected,
    /// The address of the endpoint has changed since the check started; the result is ignored.
    AddressChanged,
}

/// The persisted state of an endpoint, recovered when the controller starts. Times are relative to now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveredEndpoint {
    /// Its current record, or its last one with the status `Removed` if it is no longer listed.
    pub record: EndpointRecord,
    /// Its weight factor, which follows from measured latency.
    pub weight_factor: f64,
    /// Its slow start, if that is still in progress.
    pub slow_start: Option<RecoveredSlowStart>,
    /// The remaining time for which it counts as an outlier.
    pub outlier_remaining: Duration,
}

/// A slow start of an endpoint that was in progress when the controller started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveredSlowStart {
    /// The time since the endpoint's process started.
    pub age: Duration,
    /// The time until the endpoint can serve its full weight.
    pub remaining: Duration,
}

/// An action that the host carries out before it asks for the next one. All actions returned at the same time
/// form one batch, which is sent as one message to each proxy concerned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Check the health of an endpoint and call [`Controller::health_check_finished`].
    CheckHealth(EndpointId),
    /// Set the weight of an endpoint in a table; 0 removes its entry.
    SetWeight {
        /// The table to change.
        table: TableId,
        /// The endpoint whose entry changes.
        endpoint: EndpointId,
        /// Its new weight.
        weight: f64,
    },
    /// Assign a table to a proxy for these classes.
    AssignTable {
        /// The table to assign.
        table: TableId,
        /// The classes that use it.
        classes: Vec<ClassId>,
        /// The proxy that the table is assigned to.
        proxy: ProxyId,
    },
    /// Eject an endpoint at every attached proxy: it gets no requests, whatever the weights in the tables.
    Eject {
        /// The endpoint to eject.
        endpoint: EndpointId,
    },
    /// End the ejection of an endpoint.
    Restore {
        /// The endpoint that may be used again.
        endpoint: EndpointId,
    },
    /// Set the admission rate of a class at a table.
    SetAdmission {
        /// The table that the class uses.
        table: TableId,
        /// The class.
        class: ClassId,
        /// The fraction to admit, from 0 to 1.
        fraction: f64,
        /// True if proxies may retry a request once when it is certain that the attempt was not executed.
        retry: bool,
    },
    /// Notify the operators of an event.
    RaiseEvent {
        /// The endpoint concerned, if there is one.
        endpoint: Option<EndpointId>,
        /// A description of the event.
        text: String,
    },
}
