//! Settings of the proxies of a scenario.

use std::time::Duration;

use lockcroft_proxy::{LoadBalancingPolicy, ProxyConfig};

/// The settings of all proxies. For `None` a proxy uses its own default.
#[derive(Clone, Debug)]
pub struct ProxyFleet {
    /// The number of proxies in each zone.
    pub per_zone: usize,
    /// The number of endpoints in a proxy's default table, all from the proxy's zone.
    pub default_table_entries: usize,
    /// The source from which proxies get their tables.
    pub table_source: TableSource,
    /// The policy by which proxies choose an endpoint.
    pub policy: Option<LoadBalancingPolicy>,
    /// The duration of a local outlier ejection at a proxy.
    pub ejection_time: Option<Duration>,
    /// The time limit for an attempt.
    pub attempt_timeout: Option<Duration>,
    /// The maximum number of retries per first attempt.
    pub retry_ratio: Option<f64>,
    /// The maximum number of requests in flight to an endpoint.
    pub max_in_flight: Option<usize>,
    /// The maximum number of requests that wait for capacity at an endpoint.
    pub max_queued_requests: Option<usize>,
}

/// The source from which a proxy gets its tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableSource {
    /// Commands on its control socket.
    #[default]
    Commands,
    /// A folder of table files.
    Files,
    /// Table files for every second proxy, commands for the others.
    Mixed,
}

impl TableSource {
    /// Returns true if the proxy of this number, counted from 0, reads table files.
    #[must_use]
    pub fn reads_files(self, number: usize) -> bool {
        self == TableSource::Files || self == TableSource::Mixed && number % 2 == 1
    }
}

impl ProxyFleet {
    /// Overwrites a proxy's configuration with the settings that are given here.
    pub fn apply(&self, config: &mut ProxyConfig) {
        config.limits.policy = self.policy.unwrap_or(config.limits.policy);
        config.limits.ejection_time = self.ejection_time.unwrap_or(config.limits.ejection_time);
        config.limits.max_in_flight = self.max_in_flight.unwrap_or(config.limits.max_in_flight);
        config.attempt_timeout = self.attempt_timeout.unwrap_or(config.attempt_timeout);
        config.retry_ratio = self.retry_ratio.unwrap_or(config.retry_ratio);
        config.max_queued_requests = self.max_queued_requests.unwrap_or(config.max_queued_requests);
    }
}
