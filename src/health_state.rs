//! The health of one endpoint: its rise/fall counter and the timer of its health check. [`crate::Controller`]
//! moves both by the rules in `health` and `outlier`.

use std::time::Duration;

/// The counter at which an endpoint is up.
pub const RISE: u32 = 2;
/// Failed checks after which a fully healthy endpoint is down.
pub const FALL: u32 = 3;
const MAX_COUNT: u32 = RISE + FALL - 1;

/// A health check without an answer has failed after this time.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const INTERVAL_UP: Duration = Duration::from_millis(1000);
const INTERVAL_CHANGING: Duration = Duration::from_millis(500);
const INTERVAL_DOWN: Duration = Duration::from_millis(2000);

/// The rise/fall counter of one endpoint; unknown until the first result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthCounter(Option<u32>);

impl HealthCounter {
    /// The counter of an endpoint that has passed all checks.
    #[must_use]
    pub fn saturated() -> Self {
        HealthCounter(Some(MAX_COUNT))
    }

    /// From 0, surely down, to the maximum, surely up; `None` before the first result.
    #[must_use]
    pub fn value(self) -> Option<u32> {
        self.0
    }

    /// Whether there was a result.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// Whether the endpoint is up.
    #[must_use]
    pub fn is_up(self) -> bool {
        self.0.is_some_and(|count| count >= RISE)
    }

    /// Whether the last checks have all passed.
    #[must_use]
    pub fn is_saturated(self) -> bool {
        self.0 == Some(MAX_COUNT)
    }

    /// Counts this many results at once, passed ones if positive and failed ones if negative. The first
    /// result decides directly.
    pub fn record(&mut self, results: i32) {
        self.0 = match self.0 {
            None if results == 0 => None,
            None => Some(if results > 0 { MAX_COUNT } else { 0 }),
            Some(count) => Some(count.saturating_add_signed(results).min(MAX_COUNT)),
        };
    }

    pub(crate) fn check_interval(self) -> Duration {
        match self.0 {
            Some(0) => INTERVAL_DOWN,
            Some(MAX_COUNT) => INTERVAL_UP,
            _ => INTERVAL_CHANGING,
        }
    }
}

/// The health check of one endpoint: when the next one is due, and since when one is under way.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckTimer {
    /// When the next check is due; `Duration::MAX` until the first one is planned.
    pub next_at: Duration,
    /// When the check that is under way was started.
    pub started_at: Option<Duration>,
}

impl Default for HealthCheckTimer {
    fn default() -> Self {
        HealthCheckTimer { next_at: Duration::MAX, started_at: None }
    }
}

impl HealthCheckTimer {
    /// Whether no check was ever planned.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.next_at == Duration::MAX
    }

    pub(crate) fn timed_out_at(&self, time: Duration) -> bool {
        self.started_at.is_some_and(|started| started + HEALTH_CHECK_TIMEOUT == time)
    }

    /// Whether a result that took `elapsed` belongs to the check under way and came before its timeout. An
    /// earlier check's result comes too late to count: its timeout has counted already.
    pub(crate) fn accepts(&self, now: Duration, elapsed: Duration) -> bool {
        self.started_at
            .is_some_and(|started| started + elapsed <= now && now < started + HEALTH_CHECK_TIMEOUT)
    }
}
