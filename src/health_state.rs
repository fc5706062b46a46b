//! The health of one endpoint: its rise/fall counter and the timer of its health check. [`crate::Controller`]
//! updates both by the rules in `health` and `outlier`.

use std::time::Duration;

/// Counter value from which an endpoint is up.
pub const RISE: u32 = 2;
/// Number of failed checks after which an endpoint with a saturated counter is down.
pub const FALL: u32 = 3;
const MAX_COUNT: u32 = RISE + FALL - 1;

/// Time after which a health check without an answer has failed.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const INTERVAL_UP: Duration = Duration::from_millis(1000);
const INTERVAL_CHANGING: Duration = Duration::from_millis(500);
const INTERVAL_DOWN: Duration = Duration::from_millis(2000);

/// The rise/fall counter of one endpoint. Its value is unknown until the first result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthCounter(Option<u32>);

impl HealthCounter {
    /// Returns the counter of an endpoint that has passed all checks.
    #[must_use]
    pub fn saturated() -> Self {
        HealthCounter(Some(MAX_COUNT))
    }

    /// Returns the value, from 0 to the maximum of 4; `None` before the first result.
    #[must_use]
    pub fn value(self) -> Option<u32> {
        self.0
    }

    /// Returns true if there was a result.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// Returns true if the endpoint is up.
    #[must_use]
    pub fn is_up(self) -> bool {
        self.0.is_some_and(|count| count >= RISE)
    }

    /// Returns true if the counter is at its maximum.
    #[must_use]
    pub fn is_saturated(self) -> bool {
        self.0 == Some(MAX_COUNT)
    }

    /// Counts this many results of the same outcome: passed ones if positive, failed ones if negative. The
    /// first result sets the counter to its maximum or to 0.
    pub fn record(&mut self, results: i32) {
        self.0 = match self.0 {
            None if results == 0 => None,
            None => Some(if results > 0 { MAX_COUNT } else { 0 }),
            Some(count) => Some(count.saturating_add_signed(results).min(MAX_COUNT)),
        };
    }

    /// Returns the time between two checks: shorter while the counter is neither 0 nor saturated.
    pub(crate) fn check_interval(self) -> Duration {
        match self.0 {
            Some(0) => INTERVAL_DOWN,
            Some(MAX_COUNT) => INTERVAL_UP,
            _ => INTERVAL_CHANGING,
        }
    }
}

/// The health check timer of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckTimer {
    /// The time at which the next check is due; `Duration::MAX` until the first one is scheduled.
    pub next_at: Duration,
    /// The start time of the check in progress, if there is one.
    pub started_at: Option<Duration>,
}

impl Default for HealthCheckTimer {
    fn default() -> Self {
        HealthCheckTimer { next_at: Duration::MAX, started_at: None }
    }
}

impl HealthCheckTimer {
    /// Returns true if no check was ever scheduled.
    #[must_use]
    pub fn is_unscheduled(&self) -> bool {
        self.next_at == Duration::MAX
    }

    /// Returns true if the check in progress times out at exactly this time.
    pub(crate) fn timed_out_at(&self, time: Duration) -> bool {
        self.started_at.is_some_and(|started| started + HEALTH_CHECK_TIMEOUT == time)
    }

    /// Returns true if a result that took `elapsed` belongs to the check in progress and arrived before its
    /// timeout. The result of an earlier check does not count, as its timeout has been counted already.
    pub(crate) fn accepts(&self, now: Duration, elapsed: Duration) -> bool {
        self.started_at
            .is_some_and(|started| started + elapsed <= now && now < started + HEALTH_CHECK_TIMEOUT)
    }
}
