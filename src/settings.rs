//! The settings of a deployment as typed values: its classes, its limits and its rules.
//!
//! A host reads them once at its start from its own format (JSON or XML) and fills in the defaults given
//! here. Fractions are from 0 to 1, rates are per second, and limits are infinite by default.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{MachineTypeId, ZoneId};

/// All settings that a controller and its host read.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Names of the zones; a [`ZoneId`] is an index into this list.
    pub zones: Vec<String>,
    /// Names of the machine types; a [`MachineTypeId`] is an index into this list.
    pub machine_types: Vec<String>,
    /// The request classes; a [`crate::ClassId`] is an index into this list.
    pub classes: Vec<ClassSettings>,
    /// The number of controller instances that share the proxies of the fleet, at least 1.
    pub controllers: f64,
    /// True if endpoints may be health-checked.
    pub health_checks_allowed: bool,
    /// True if endpoints report their load with the answer to a health check.
    pub load_on_health_checks: bool,
    /// The time for which a host collects inputs before it asks for actions; `None` leaves it to the host.
    pub decision_interval: Option<Duration>,
    /// Sizes and limits of the proxies and of the channel to them.
    pub fleet: FleetSettings,
    /// The rules that the fleet has to comply with.
    pub rules: RuleSettings,
    /// The solver, which calculates weights in advance.
    pub solver: SolverSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zones: Vec::new(),
            machine_types: Vec::new(),
            classes: Vec::new(),
            controllers: 1.0,
            health_checks_allowed: false,
            load_on_health_checks: false,
            decision_interval: None,
            fleet: FleetSettings::default(),
            rules: RuleSettings::default(),
            solver: SolverSettings::default(),
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The name that proxies and reports use; `None` if the class has none.
    pub name: Option<String>,
    /// The time within which an answered request has its full value.
    pub latency_objective: Duration,
    /// The time after which a client gives up; `None` if it is not known.
    pub client_timeout: Option<Duration>,
    /// The value of a request that meets the latency objective.
    pub value: f64,
    /// The fraction of the value that remains between the latency objective and the client timeout.
    pub late_value_fraction: f64,
    /// `safe`, `keyed` or `unsafe`: determines if a request may be executed twice.
    pub effect: Option<String>,
    /// The processor time of one request.
    pub work: Option<Duration>,
    /// The only zones whose endpoints may serve the class; `None` allows all.
    pub only_zones: Option<Vec<ZoneId>>,
    /// The only machine types that may serve the class; `None` allows all.
    pub only_machine_types: Option<Vec<MachineTypeId>>,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            name: None,
            latency_objective: Duration::ZERO,
            client_timeout: None,
            value: 1.0,
            late_value_fraction: 0.0,
            effect: None,
            work: None,
            only_zones: None,
            only_machine_types: None,
        }
    }
}

/// Sizes and limits of the fleet of proxies and of the channel to them.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The number of proxies of all controllers together.
    pub proxies: Option<f64>,
    /// The time between two reports of a proxy.
    pub report_period: Duration,
    /// The delay of a message to a proxy.
    pub message_delay: Duration,
    /// The cost of one message in the channel, beside its entries, as a number of entries.
    pub message_overhead_entries: f64,
    /// The number of entries that a message with a complete table has in addition, to request its
    /// acknowledgement.
    pub acknowledgement_entries: usize,
    /// The number of messages that one proxy may get within [`FleetSettings::message_window`].
    pub max_messages: f64,
    /// The time window in which the messages to a proxy are counted.
    pub message_window: Duration,
    /// The number of table entries that the channel sends per second.
    pub max_entries_per_second: f64,
    /// The number of table entries that may wait in the channel.
    pub max_queued_entries: f64,
    /// The smallest number of connections that any endpoint accepts.
    pub min_endpoint_connections: f64,
    /// The number of consecutive failed attempts after which a proxy ejects an endpoint on its own; `None` or
    /// 0 if it never does.
    pub proxy_ejection_threshold: Option<f64>,
    /// True if a proxy keeps ejections when it attaches to another controller.
    pub keeps_ejections: bool,
    /// The highest weight in an endpoint list.
    pub max_weight: f64,
    /// The number of ranges that keys are divided into; 0 if tables contain endpoints instead of key ranges.
    pub key_ranges: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            proxies: None,
            report_period: Duration::ZERO,
            message_delay: Duration::ZERO,
            message_overhead_entries: 0.0,
            acknowledgement_entries: 0,
            max_messages: f64::INFINITY,
            message_window: Duration::ZERO,
            max_entries_per_second: f64::INFINITY,
            max_queued_entries: f64::INFINITY,
            min_endpoint_connections: f64::INFINITY,
            proxy_ejection_threshold: None,
            keeps_ejections: false,
            max_weight: 1.0,
            key_ranges: 0.0,
        }
    }
}

/// The rules that the fleet has to comply with.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// The longest time for which a proxy may be without any endpoint.
    pub max_time_without_endpoints: Duration,
    /// The drain grace period: the time for which a draining endpoint may still get requests; `None` if there
    /// is no limit.
    pub drain_grace: Option<Duration>,
    /// True if an endpoint that is removed from the list stays in use, so that only draining forbids requests
    /// to it.
    pub ignore_removals: bool,
    /// The fraction of its weight that a process can serve when it has just started.
    pub initial_weight_fraction: f64,
    /// The time after which a started process can serve its full weight.
    pub slow_start_window: Duration,
    /// The multiple of its current capacity at which a process that is warming up counts as overloaded.
    pub warming_overload_factor: f64,
    /// The time over which this overload is measured.
    pub warming_overload_window: Duration,
    /// True if endpoints always have their listed weight or none.
    pub fixed_weights: bool,
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            max_time_without_endpoints: Duration::ZERO,
            drain_grace: None,
            ignore_removals: false,
            initial_weight_fraction: 1.0,
            slow_start_window: Duration::ZERO,
            warming_overload_factor: f64::INFINITY,
            warming_overload_window: Duration::ZERO,
            fixed_weights: false,
        }
    }
}

/// Settings of the solver, which calculates weights in advance.
#[derive(Clone, Debug, PartialEq)]
pub struct SolverSettings {
    /// The time between two plans; `None` disables the solver.
    pub interval: Option<Duration>,
    /// The number of cores of an endpoint whose machine type is not in `cores_by_machine_type`.
    pub cores: f64,
    /// The number of cores of an endpoint, by machine type.
    pub cores_by_machine_type: BTreeMap<MachineTypeId, f64>,
    /// The cost of a request that crosses zones, in units of value.
    pub crossing_cost: f64,
    /// True if each zone has its own tables.
    pub by_zone: bool,
}

impl Default for SolverSettings {
    fn default() -> Self {
        SolverSettings {
            interval: None,
            cores: 1.0,
            cores_by_machine_type: BTreeMap::new(),
            crossing_cost: 0.0,
            by_zone: false,
        }
    }
}
