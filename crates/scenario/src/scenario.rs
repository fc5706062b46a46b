//! The content of a scenario file.

use std::time::Duration;

use crate::faults::FaultInjection;
use crate::proxy_fleet::ProxyFleet;
use crate::variants::{SearchSpace, Variant};

/// A scripted scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The seed of the random load and of the random choice of default tables.
    pub seed: u64,
    /// The log levels of the controller, as in its configuration.
    pub log_levels: String,
    /// The settings of the controller's configuration as XML: its elements from `zones` to `allowed`.
    pub settings: String,
    /// The groups of endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// The settings of the proxies.
    pub proxies: ProxyFleet,
    /// The load of each class.
    pub load: Vec<LoadProfile>,
    /// The fault injections in order of time.
    pub faults: Vec<FaultInjection>,
    /// The variants in which the scenario may be run.
    pub variants: Vec<Variant>,
    /// The listed weights that a search tries.
    pub search_spaces: Vec<SearchSpace>,
}

/// A group of endpoints with the same properties.
#[derive(Clone, Debug)]
pub struct EndpointGroup {
    /// The machine type.
    pub machine_type: String,
    /// The number of endpoints in each zone.
    pub per_zone: usize,
    /// The cores of each endpoint.
    pub cores: usize,
    /// The speed of each core. At 1, a request takes as long as its stated work.
    pub speed: f64,
    /// The weight in the endpoint list.
    pub weight: f64,
    /// The zones of the endpoints; all zones if empty.
    pub zones: Vec<String>,
    /// The number of requests that may wait for a core at each endpoint.
    pub max_queued: usize,
    /// The work of rejecting one request, as the time on a core at speed 1.
    pub rejection_work: Duration,
}

/// The load of a request class.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The name of the class.
    pub class: String,
    /// Requests per second, at all proxies together.
    pub rate: f64,
    /// The work of one request, as the time on a core at speed 1.
    pub work: Duration,
    /// The number of retries that a client sends, each immediately after a failure.
    pub max_client_retries: u32,
}
