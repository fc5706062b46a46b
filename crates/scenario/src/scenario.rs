//! A scenario as it is scripted.

use std::time::Duration;

use crate::faults::FaultInjection;
use crate::proxy_fleet::ProxyFleet;
use crate::variants::{SearchSpace, Variant};

/// A scripted scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// From the first request to the last.
    pub duration: Duration,
    /// Of the load and of the default tables.
    pub seed: u64,
    /// The levels of the controller's logs.
    pub log_levels: String,
    /// The part of the controller's configuration from `zones` to `allowed`, as XML.
    pub settings: String,
    /// The endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// The proxies.
    pub proxies: ProxyFleet,
    /// The requests, by class.
    pub load: Vec<LoadProfile>,
    /// In the order of their times.
    pub faults: Vec<FaultInjection>,
    /// Variants in which it may be played.
    pub variants: Vec<Variant>,
    /// Listed weights that a search goes through.
    pub search_spaces: Vec<SearchSpace>,
}

/// Endpoints that are alike.
#[derive(Clone, Debug)]
pub struct EndpointGroup {
    /// Their machine type.
    pub machine_type: String,
    /// How many stand in each zone.
    pub per_zone: usize,
    /// Cores of each.
    pub cores: usize,
    /// How fast a core is; at 1 a request takes as long as its stated work.
    pub speed: f64,
    /// As the list has it.
    pub weight: f64,
    /// Where they stand; none named: in every zone.
    pub zones: Vec<String>,
    /// Requests that may wait for a core.
    pub max_queued: usize,
    /// Work of a rejected request.
    pub rejection_work: Duration,
}

/// The requests of a class.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The class's name.
    pub class: String,
    /// Requests a second, all proxies together.
    pub rate: f64,
    /// Of a core at speed 1.
    pub work: Duration,
    /// How often a client retries at once after a failure.
    pub max_client_retries: u32,
}
