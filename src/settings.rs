//! What an operator states at the start: the deployment, its limits and its rules, as typed values.
//!
//! A host reads them once from its own form (JSON or XML) and fills in the defaults given here. Fractions are
//! from 0 to 1, rates are per second, and a limit that is not stated is infinite.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{MachineTypeId, ZoneId};

/// Everything that decisions and their hosts read of an operator's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Names of the zones; a [`ZoneId`] is an index into this list.
    pub zones: Vec<String>,
    /// Names of the machine types; a [`MachineTypeId`] is an index into this list.
    pub machine_types: Vec<String>,
    /// The request classes; a [`crate::ClassId`] is an index into this list.
    pub classes: Vec<ClassSettings>,
    /// Controller instances that share the fleet's proxies between them, at least 1.
    pub controllers: f64,
    /// Whether endpoints may be health-checked.
    pub health_checks_allowed: bool,
    /// Whether endpoints report their load with the answer to a health check.
    pub load_on_health_checks: bool,
    /// How long a host gathers events before it asks for actions, where the operator states it.
    pub decision_interval: Option<Duration>,
    /// The proxies and the channel to them.
    pub fleet: FleetSettings,
    /// What the fleet has to keep.
    pub rules: RuleSettings,
    /// Weights worked out ahead.
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
    /// The name that proxies and reports use.
    pub name: Option<String>,
    /// A request answered within this time has its full value.
    pub latency_objective: Duration,
    /// A client gives up after this time.
    pub client_timeout: Option<Duration>,
    /// What a request is worth if it meets the latency objective.
    pub value: f64,
    /// The part of the value that is left after the objective and before the client's timeout.
    pub late_value_fraction: f64,
    /// `safe`, `keyed` or `unsafe`: whether a request may run twice.
    pub effect: Option<String>,
    /// Processor time of one request.
    pub work: Option<Duration>,
    /// The only zones whose endpoints may serve the class; none: all.
    pub only_zones: Option<Vec<ZoneId>>,
    /// The only machine types that may serve the class; none: all.
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
    /// Proxies of all controllers together.
    pub proxies: Option<f64>,
    /// How often proxies report what they met.
    pub report_period: Duration,
    /// How long a message travels to a proxy.
    pub message_delay: Duration,
    /// What one message costs in the channel beside its entries, in entries.
    pub message_overhead_entries: f64,
    /// Messages that one proxy may get within [`FleetSettings::message_window`].
    pub max_messages: f64,
    /// The time over which messages to a proxy are counted.
    pub message_window: Duration,
    /// Table entries that the channel sends a second.
    pub max_entries_per_second: f64,
    /// Table entries that may wait in the channel.
    pub max_queued_entries: f64,
    /// Connections that every endpoint accepts at least.
    pub min_endpoint_connections: f64,
    /// Failed attempts in a row after which a proxy ejects an endpoint on its own.
    pub proxy_ejection_threshold: Option<f64>,
    /// Whether a proxy keeps ejections when it attaches to another controller.
    pub keeps_ejections: bool,
    /// The highest weight in an endpoint list.
    pub max_weight: f64,
    /// Ranges that keys are cut into; 0 where tables name endpoints.
    pub key_ranges: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            proxies: None,
            report_period: Duration::ZERO,
            message_delay: Duration::ZERO,
            message_overhead_entries: 0.0,
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

/// The rules that the fleet has to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// A proxy may be without any endpoint for so long.
    pub max_time_without_endpoints: Duration,
    /// A draining endpoint may get requests for so long.
    pub drain_grace: Option<Duration>,
    /// Whether only draining, and not removal from the list, forbids requests to an endpoint.
    pub ignore_removals: bool,
    /// The fraction of its weight that a process can do when it has just started.
    pub initial_weight_fraction: f64,
    /// The time after which a started process can do all of its weight.
    pub slow_start_window: Duration,
    /// A process that is warming up is overloaded at this multiple of what it can do by then,
    pub warming_overload_factor: f64,
    /// measured over this time.
    pub warming_overload_window: Duration,
    /// Whether endpoints always have their listed weight or none.
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

/// Weights that are worked out ahead by a solver.
#[derive(Clone, Debug, PartialEq)]
pub struct SolverSettings {
    /// How often a plan is made; none: never.
    pub interval: Option<Duration>,
    /// Cores of an endpoint whose machine type states none.
    pub cores: f64,
    /// Cores of an endpoint, for the machine types that state them.
    pub cores_by_machine_type: BTreeMap<MachineTypeId, f64>,
    /// What a request that crosses zones costs, in units of value.
    pub crossing_cost: f64,
    /// Whether each zone has tables of its own.
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
