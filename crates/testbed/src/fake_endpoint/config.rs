//! Configuration and fault modes of a fake endpoint.

use std::collections::HashMap;

use crate::slow_start::SlowStart;

/// The configuration of a fake endpoint.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// The name under which its traffic is recorded.
    pub name: String,
    /// The number of requests that it executes concurrently.
    pub cores: usize,
    /// The speed of each core. At 1, a request takes as long as its stated work.
    pub speed: f64,
    /// The number of requests that may wait for a core. Further requests are rejected before they are executed.
    pub max_queued: usize,
    /// The work of rejecting one request, in seconds of one core at speed 1.
    pub rejection_work_s: f64,
    /// The work of one request by class, in seconds of one core at speed 1. Other classes need no work.
    pub class_work_s: HashMap<String, f64>,
    /// The warm-up after a restart.
    pub slow_start: SlowStart,
}

/// The way in which an endpoint handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum FaultMode {
    /// Executes and answers them.
    #[default]
    Healthy,
    /// Accepts requests and never answers; health checks pass.
    Hang,
    /// Answers immediately with status 500.
    Errors,
    /// Rejects requests with status 503 before they are executed.
    Reject,
    /// Executes requests slower by this factor.
    Slow(f64),
    /// The process has ended: connections are closed and new ones refused.
    Down,
}

impl EndpointConfig {
    /// Returns the capacity of a warm process, in cores at speed 1.
    pub(super) fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}
