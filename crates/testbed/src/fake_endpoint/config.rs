//! How a fake endpoint is built, and how it fails.

use std::collections::HashMap;

use crate::slow_start::SlowStart;

/// How an endpoint is built.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// The name under which its traffic is recorded.
    pub name: String,
    /// How many requests it works on at the same time.
    pub cores: usize,
    /// How fast each core is; at 1 a request takes as long as its stated work.
    pub speed: f64,
    /// Requests that may wait for a core; more are rejected before they are executed.
    pub max_queued: usize,
    /// Work that a rejected request costs, in seconds.
    pub rejection_work_s: f64,
    /// Work of a request by class, in seconds.
    pub class_work_s: HashMap<String, f64>,
    /// How it warms up after a start.
    pub slow_start: SlowStart,
}

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum FaultMode {
    /// As it should.
    #[default]
    Healthy,
    /// Takes requests and answers none; its health checks pass.
    Hang,
    /// Answers 500 at once.
    Errors,
    /// Rejects requests before they are executed.
    Reject,
    /// So many times slower.
    Slow(f64),
    /// The process is gone: nothing listens.
    Down,
}

impl EndpointConfig {
    /// Of a warm process, in cores at speed 1.
    pub(super) fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}
