//! lockcroft decides, for a fleet of plain proxies, which servers each class of visits may use
//! and at what weight. All decisions are in [`logic`]; this crate knows no wire and no clock.

mod chance;
mod ledger;
pub mod logic;
mod settings;

pub use ledger::{ClassAdmission, EndpointState, RoutingTable, Snapshot};
pub use logic::Controller;
pub use settings::{ClassSettings, FleetSettings, RuleSettings, Settings, SolverSettings};

use std::time::Duration;

/// Servers, proxies, zones and classes are small indices, given out by whoever hosts the pilot.
pub type EndpointId = usize;
pub type ProxyId = usize;
pub type ZoneId = usize;
pub type MachineTypeId = usize;
pub type ClassId = usize;
/// A table that proxies share; the pilot numbers its own.
pub type TableId = usize;

/// What the list of servers says of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub status: EndpointStatus,
    /// The listed weight; 1 where the list gives none.
    pub weight: f64,
    /// How long ago its process started; `None` if that was long ago.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    #[default]
    Ready,
    Draining,
    Removed,
}

/// How one probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckOutcome {
    /// Answered, with the share of its cores in use if the server tells.
    Passed(Option<f64>),
    /// Answered with an error, or not in time: the server may still be working.
    Failed,
    /// Nothing listens there, or the connection broke.
    Refused,
    /// Turned away, which says nothing of the server's health.
    Rejected,
    /// It ended at an address that the server has left since, which says nothing at all.
    AddressChanged,
}

/// One decision, to be carried out by the host before it asks for the next. All decisions given
/// out at one time travel together, as one message to each proxy concerned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Look at a server and tell [`Controller::health_check_finished`].
    CheckHealth(EndpointId),
    /// Give a server this weight in a table; 0 takes it out.
    SetWeight { table: TableId, endpoint: EndpointId, weight: f64 },
    /// Put a proxy on a table, for these classes.
    AssignTable { table: TableId, classes: Vec<ClassId>, proxy: ProxyId },
    /// Keep every joined proxy from a server, whatever tables it holds, or end that.
    Eject { endpoint: EndpointId },
    /// End an ejection.
    Restore { endpoint: EndpointId },
    /// Let in this share of a class's visits at a table, and say whether proxies try once more after proof
    /// that a try never ran.
    SetAdmission { table: TableId, class: ClassId, fraction: f64, retry: bool },
    /// Tell the people on call, of one server or in general.
    RaiseEvent { endpoint: Option<EndpointId>, text: String },
}
