//! lockcroft decides, for a fleet of plain proxies, which endpoints each class of requests may use and at
//! what weight.
//!
//! This crate holds all decisions and knows no wire, no I/O and no clock: every input states the time since
//! the instance started. Start reading at [`Controller`]; each mechanism has a module of its own, whose first
//! paragraph says what it decides and from what:
//!
//! - `health`, `health_state`: the rise/fall counter and the schedule of health checks,
//! - `outlier`: what proxies meet at an endpoint counts for its health,
//! - `weight_reduction`: endpoints slower than their subset get less weight,
//! - `slow_start`: weight after a start,
//! - `load_shedding`: admission by class,
//! - `weights`: the desired weights, a pure function of the above,
//! - `subsets`: how a large fleet is cut, and spillover,
//! - `publish`: which updates are due and in which order,
//! - `rate_limit`: when the channel has capacity for them,
//! - `startup_hold`: nothing is published until health checks have converged.

#![warn(missing_docs)]

mod attempt_stats;
mod controller;
mod health;
mod health_state;
mod load_shedding;
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

/// An endpoint: a small index, given out by the host, as are those of proxies, zones, machine types and
/// classes.
pub type EndpointId = usize;
/// A proxy.
pub type ProxyId = usize;
/// A zone: an index into [`Settings::zones`].
pub type ZoneId = usize;
/// A machine type: an index into [`Settings::machine_types`].
pub type MachineTypeId = usize;
/// A class of requests: an index into [`Settings::classes`].
pub type ClassId = usize;
/// A table that proxies share; the controller numbers its own.
pub type TableId = usize;

/// What the endpoint list says of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// What kind of machine it runs on.
    pub machine_type: MachineTypeId,
    /// Whether it may be used.
    pub status: EndpointStatus,
    /// The listed weight; 1 where the list gives none.
    pub weight: f64,
    /// How long ago its process started; `None` if that was long ago.
    pub age: Option<Duration>,
}

/// Whether a listed endpoint may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may be used.
    #[default]
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is not on the list any more.
    Removed,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckOutcome {
    /// Answered, with the fraction of its cores in use if the endpoint reports it.
    Passed(Option<f64>),
    /// Answered with an error, or not in time: the endpoint may still be working.
    Failed,
    /// Nothing listens there, or the connection broke.
    Refused,
    /// Rejected as one request too many, which says nothing about the endpoint's health.
    Rejected,
    /// It ended at an address that the endpoint has left since, which says nothing at all.
    AddressChanged,
}

/// What was known of an endpoint before a start, with times relative to now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveredEndpoint {
    /// Its record as listed now, or as it was if it is not listed any more.
    pub record: EndpointRecord,
    /// Its load-based weight factor.
    pub weight_factor: f64,
    /// Its slow start, if that is not over.
    pub slow_start: Option<RecoveredSlowStart>,
    /// It stays an outlier for this time.
    pub outlier_remaining: Duration,
}

/// A slow start that was under way before a start of the controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveredSlowStart {
    /// How long ago the endpoint's process started.
    pub age: Duration,
    /// How long until it can do all of its weight.
    pub remaining: Duration,
}

/// One action, to be carried out by the host before it asks for the next. All actions given out at one time
/// travel together, as one message to each proxy concerned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Check the health of an endpoint and call [`Controller::health_check_finished`].
    CheckHealth(EndpointId),
    /// Give an endpoint this weight in a table; 0 takes it out.
    SetWeight {
        /// The table to change.
        table: TableId,
        /// The endpoint whose entry changes.
        endpoint: EndpointId,
        /// Its new weight.
        weight: f64,
    },
    /// Put a proxy on a table, for these classes.
    AssignTable {
        /// The table to use.
        table: TableId,
        /// The classes that use it.
        classes: Vec<ClassId>,
        /// The proxy that gets it.
        proxy: ProxyId,
    },
    /// Keep every attached proxy from an endpoint, whatever tables it holds.
    Eject {
        /// The endpoint to eject.
        endpoint: EndpointId,
    },
    /// End an ejection.
    Restore {
        /// The endpoint that may be used again.
        endpoint: EndpointId,
    },
    /// Admit this fraction of a class's requests at a table.
    SetAdmission {
        /// The table that the class uses.
        table: TableId,
        /// The class.
        class: ClassId,
        /// The fraction to admit, from 0 to 1.
        fraction: f64,
        /// Whether proxies may retry once after proof that an attempt was not executed.
        retry: bool,
    },
    /// Tell the people on call, of one endpoint or in general.
    RaiseEvent {
        /// The endpoint that it is about.
        endpoint: Option<EndpointId>,
        /// What happened.
        text: String,
    },
}
