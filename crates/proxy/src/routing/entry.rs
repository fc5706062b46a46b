//! One entry of a table: an endpoint with its weight, its administrative state and the results of the proxy's own
//! attempts. Consecutive failures cause local outlier ejection, as in Envoy's `consecutive_5xx` detection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::attempt_counter::AttemptCounter;
use super::limits::LoadBalancingLimits;
use crate::attempts::AttemptOutcome;

/// The window of the mean latency: it decays exponentially over about this many attempts, as HAProxy's `rtime` is
/// averaged over its last 1024 requests.
const MEAN_WINDOW_ATTEMPTS: f64 = 1024.0;

/// An entry of a table.
#[derive(Clone, Debug)]
pub struct TableEntry {
    /// The endpoint's name.
    pub name: Rc<str>,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// The weight that was set last, from 0 to 256.
    pub weight: u32,
    /// The weight with which the entry was added; weights in percent are relative to it.
    pub initial_weight: u32,
    /// True if the entry is in maintenance: it gets no requests, whatever its weight, and may be deleted.
    pub in_maintenance: bool,
    /// True if the entry is draining: it gets no new requests, whatever its weight.
    pub draining: bool,
    consecutive_failures: u32,
    /// The end of the last local ejection, as time since the start of the proxy.
    ejected_until: Duration,
    pub(super) counter: AttemptCounter,
    /// The number of attempts that ended with an outcome; abandoned ones are not included.
    pub attempts: u64,
    /// The number of attempts for which no connection was established.
    pub connect_errors: u64,
    /// The number of attempts whose connection broke or that timed out.
    pub response_errors: u64,
    /// The number of attempts answered with a status of 500 or above, including rejections.
    pub responses_5xx: u64,
    /// The sum of the latencies of successful attempts, in milliseconds.
    pub total_latency_ms: f64,
    /// The exponentially decayed mean latency of successful attempts, in milliseconds.
    pub mean_latency_ms: f64,
}

impl TableEntry {
    /// Returns an entry without any attempts so far.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr, weight: u32, in_maintenance: bool) -> Self {
        TableEntry {
            name: name.into(),
            address,
            weight,
            initial_weight: weight,
            in_maintenance,
            draining: false,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            counter: AttemptCounter::default(),
            attempts: 0,
            connect_errors: 0,
            response_errors: 0,
            responses_5xx: 0,
            total_latency_ms: 0.0,
            mean_latency_ms: 0.0,
        }
    }

    /// Returns true if its weight and administrative state allow requests, whether or not the proxy has ejected it.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.effective_weight() > 0
    }

    /// Returns the number of attempts that have not ended yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.counter.in_flight()
    }

    /// Returns the number of attempts abandoned by their clients, which count neither as success nor as failure of
    /// the endpoint.
    #[must_use]
    pub fn abandoned(&self) -> u64 {
        self.counter.abandoned()
    }

    /// Returns true if the entry is in maintenance or draining.
    #[must_use]
    pub fn is_not_ready(&self) -> bool {
        self.in_maintenance || self.draining
    }

    /// Returns the weight for load balancing: 0 if the entry is in maintenance or draining.
    pub(super) fn effective_weight(&self) -> u32 {
        if self.is_not_ready() { 0 } else { self.weight }
    }

    /// Returns true if the proxy itself has ejected the endpoint (local outlier ejection) at this time.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    /// Copies the settings made by commands from a copy of this entry; the results of attempts are kept.
    pub(super) fn copy_configuration(&mut self, staged: &TableEntry) {
        self.address = staged.address;
        self.weight = staged.weight;
        self.initial_weight = staged.initial_weight;
        self.in_maintenance = staged.in_maintenance;
        self.draining = staged.draining;
    }

    /// Counts the outcome of an attempt, and ejects the endpoint after too many consecutive failures.
    pub(super) fn record(
        &mut self,
        now: Duration,
        outcome: AttemptOutcome,
        latency: Duration,
        limits: &LoadBalancingLimits,
    ) {
        self.attempts += 1;
        match outcome {
            AttemptOutcome::ConnectFailed => self.connect_errors += 1,
            AttemptOutcome::ConnectionBroken | AttemptOutcome::TimedOut => self.response_errors += 1,
            AttemptOutcome::Rejected => self.responses_5xx += 1,
            AttemptOutcome::Answered(status) if status >= 500 => self.responses_5xx += 1,
            AttemptOutcome::Answered(_) => self.record_latency(latency),
        }
        self.consecutive_failures = if outcome.is_failure() { self.consecutive_failures + 1 } else { 0 };
        if limits.ejection_threshold > 0 && self.consecutive_failures >= limits.ejection_threshold {
            self.consecutive_failures = 0;
            self.ejected_until = now + limits.ejection_time;
        }
    }

    /// Adds the latency of a successful attempt to the sum and the mean.
    fn record_latency(&mut self, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1e3;
        self.total_latency_ms += latency_ms;
        let window = (self.attempts as f64).min(MEAN_WINDOW_ATTEMPTS);
        self.mean_latency_ms += (latency_ms - self.mean_latency_ms) / window;
    }
}
