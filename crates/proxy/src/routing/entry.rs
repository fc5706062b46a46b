//! One entry of a table: an endpoint with its weight, its administrative state and what the proxy's own
//! attempts showed of it. From failures in a row follows local outlier ejection, as Envoy's
//! `consecutive_5xx` detection has it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::attempt_counter::AttemptCounter;
use super::limits::LoadBalancingLimits;
use crate::attempts::AttemptOutcome;

/// The mean latency is an exponential mean over about this many attempts, as in HAProxy's `rtime`.
const MEAN_WINDOW_ATTEMPTS: f64 = 1024.0;

/// An entry of a table.
#[derive(Clone, Debug)]
pub struct TableEntry {
    /// The endpoint's name.
    pub name: Rc<str>,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// From 0 to 256, as it was set last.
    pub weight: u32,
    /// The weight with which the entry was added; percentages refer to it.
    pub initial_weight: u32,
    /// In maintenance: takes no requests, whatever its weight, and may be deleted.
    pub in_maintenance: bool,
    /// Draining: takes no new requests, whatever its weight.
    pub draining: bool,
    consecutive_failures: u32,
    ejected_until: Duration,
    pub(super) counter: AttemptCounter,
    /// Attempts that ended with an outcome.
    pub attempts: u64,
    /// Attempts that ended without a connection.
    pub connect_errors: u64,
    /// Attempts that broke or ran into the time limit.
    pub response_errors: u64,
    /// Attempts answered with a status from 500 on, rejections included.
    pub responses_5xx: u64,
    /// Sum of the latencies of successful attempts, in milliseconds.
    pub total_latency_ms: f64,
    /// Recent mean latency of successful attempts, in milliseconds.
    pub mean_latency_ms: f64,
}

impl TableEntry {
    /// An entry without any attempts so far.
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

    /// Whether the controller lets it take requests; local ejection is not considered.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.effective_weight() > 0
    }

    /// Attempts that have not ended yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.counter.in_flight()
    }

    /// Attempts that were abandoned by their clients: neither a success nor a failure of the endpoint.
    #[must_use]
    pub fn abandoned(&self) -> u64 {
        self.counter.abandoned()
    }

    /// Whether it is in maintenance or draining.
    #[must_use]
    pub fn is_not_ready(&self) -> bool {
        self.in_maintenance || self.draining
    }

    /// The weight by which it is chosen: 0 where it takes no requests.
    pub(super) fn effective_weight(&self) -> u32 {
        if self.is_not_ready() { 0 } else { self.weight }
    }

    /// Whether the proxy itself keeps requests away from it at this time.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    /// Takes over what commands set on a copy of this entry; what attempts did here stays.
    pub(super) fn copy_configuration(&mut self, staged: &TableEntry) {
        self.address = staged.address;
        self.weight = staged.weight;
        self.initial_weight = staged.initial_weight;
        self.in_maintenance = staged.in_maintenance;
        self.draining = staged.draining;
    }

    /// Counts the outcome of an attempt, and ejects the endpoint after too many failures in a row.
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

    fn record_latency(&mut self, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1e3;
        self.total_latency_ms += latency_ms;
        let window = (self.attempts as f64).min(MEAN_WINDOW_ATTEMPTS);
        self.mean_latency_ms += (latency_ms - self.mean_latency_ms) / window;
    }
}
