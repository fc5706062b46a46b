//! The proxies of a scenario.

use std::time::Duration;

use lockcroft_proxy::{LoadBalancingPolicy, ProxyConfig};

/// The proxies; what is not stated stays as a proxy has it by default.
#[derive(Clone, Debug)]
pub struct ProxyFleet {
    /// Proxies in each zone.
    pub per_zone: usize,
    /// Endpoints of its own zone in a proxy's default table.
    pub default_table_entries: usize,
    /// From where proxies get their tables.
    pub table_source: TableSource,
    /// How proxies choose an endpoint.
    pub policy: Option<LoadBalancingPolicy>,
    /// How long a proxy's own outlier ejection lasts.
    pub ejection_time: Option<Duration>,
    /// How long an attempt may take.
    pub attempt_timeout: Option<Duration>,
    /// Retries for each first attempt, at most.
    pub retry_ratio: Option<f64>,
    /// Requests in flight to an endpoint, at most.
    pub max_in_flight: Option<usize>,
    /// Requests that wait for an endpoint, at most.
    pub max_queued_requests: Option<usize>,
}

/// From where a proxy gets its tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableSource {
    /// Commands on its control socket.
    #[default]
    Commands,
    /// A folder of table files.
    Files,
    /// Every second proxy reads files.
    Mixed,
}

impl TableSource {
    /// Whether the proxy of this number, from 0, reads files.
    #[must_use]
    pub fn reads_files(self, number: usize) -> bool {
        self == TableSource::Files || self == TableSource::Mixed && number % 2 == 1
    }
}

impl ProxyFleet {
    /// Puts what is stated here into a proxy's configuration.
    pub fn apply(&self, config: &mut ProxyConfig) {
        config.limits.policy = self.policy.unwrap_or(config.limits.policy);
        config.limits.ejection_time = self.ejection_time.unwrap_or(config.limits.ejection_time);
        config.limits.max_in_flight = self.max_in_flight.unwrap_or(config.limits.max_in_flight);
        config.attempt_timeout = self.attempt_timeout.unwrap_or(config.attempt_timeout);
        config.retry_ratio = self.retry_ratio.unwrap_or(config.retry_ratio);
        config.max_queued_requests = self.max_queued_requests.unwrap_or(config.max_queued_requests);
    }
}
