//! What a proxy decides by itself, and limits that the runtime API sets.

use std::time::Duration;

use crate::choose::LoadBalancingPolicy;

/// The name of the backend that holds a proxy's default table, in use until a controller assigns another.
pub const DEFAULT_TABLE: &str = "standing";

/// The greatest weight of an entry, as in HAProxy.
pub const MAX_WEIGHT: u32 = 256;

/// How a proxy balances load by itself, whatever its tables say.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancingLimits {
    /// How it chooses among the entries of a table.
    pub policy: LoadBalancingPolicy,
    /// Attempts that may be in flight at one endpoint; 0: any number.
    pub max_in_flight: usize,
    /// Local outlier ejection: an endpoint is ejected after this many failures in a row; 0: never.
    pub ejection_threshold: u32,
    /// How long an endpoint stays ejected.
    pub ejection_time: Duration,
}
