//! The load balancing settings of a proxy, and names and limits of the runtime API.

use std::time::Duration;

use crate::choose::LoadBalancingPolicy;

/// The name of the backend with the default table of a proxy, which is in use until a controller assigns another.
pub const DEFAULT_TABLE: &str = "standing";

/// The maximum weight of an entry, as in HAProxy.
pub const MAX_WEIGHT: u32 = 256;

/// The load balancing settings of a proxy, which apply to all its tables.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancingLimits {
    /// The policy by which an entry of a table is chosen.
    pub policy: LoadBalancingPolicy,
    /// The maximum number of attempts in flight per table entry; 0 for no limit.
    pub max_in_flight: usize,
    /// The number of consecutive failures after which an endpoint is ejected (local outlier ejection); 0 for never.
    pub ejection_threshold: u32,
    /// The time for which an endpoint stays ejected.
    pub ejection_time: Duration,
}
