//! Collection of the counters of proxies for the decisions and the solver's planner.

use std::time::Duration;

use lockcroft::ProxyId;
use lockcroft_runtime_api::tables::read_stat;
use tracing::debug;

use crate::error::SessionError;
use crate::fleet_controller::{FleetController, Timer};
use crate::proxy_counters::CounterDelta;

impl FleetController {
    /// Handles the response to `show stat`, and schedules the next reading.
    ///
    /// # Errors
    /// Returns an error if the response is not a table of counters.
    pub(crate) fn record_statistics(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        response: &str,
    ) -> Result<(), SessionError> {
        let rows = read_stat(response).map_err(|error| SessionError::MalformedTable(error.to_string()))?;
        let session = &mut self.sessions[proxy];
        let deltas = session.counters.update(&rows);
        let connection = session.connection;
        let due = now + self.report_period;
        self.timers.insert((due, Timer::CollectStatistics { proxy, connection }));
        for delta in deltas {
            self.record_delta(now, proxy, delta);
        }
        Ok(())
    }

    fn record_delta(&mut self, now: Duration, proxy: ProxyId, delta: CounterDelta) {
        let config = &self.sessions[proxy].config;
        match delta {
            CounterDelta::Endpoint { name, attempts, failed, mean_latency } => {
                let endpoint = self.endpoints.intern(&name);
                let counters = self.endpoint_counters.entry(endpoint).or_default();
                counters.attempts += u64::from(attempts);
                counters.failed += u64::from(failed);
                counters.latency_sum_ms += mean_latency.as_secs_f64() * 1e3 * f64::from(attempts - failed);
                debug!(target: "lockcroft::input", wave = self.batch, proxy = config.name, endpoint = name,
                    attempts, failed, ms = mean_latency.as_millis() as u64, "received attempt counters");
                if let Some(planner) = &mut self.planner {
                    planner.record_attempts(endpoint, attempts, failed, mean_latency);
                }
                self.controller.record_attempts(now, endpoint, attempts, failed, mean_latency);
            }
            CounterDelta::Class { name, requests } => {
                // A frontend that is not a configured class is of no concern to the controller.
                let Ok(class) = self.names.class(&name) else { return };
                self.request_counts[class] += u64::from(requests);
                if let Some(planner) = &mut self.planner {
                    planner.record_requests(config.zone, class, requests);
                }
                self.controller.record_requests(proxy, class, requests);
            }
        }
    }
}
