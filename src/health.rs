//! Health checks: the saturating rise/fall counter of each endpoint, and when each is checked next.
//!
//! Decides whether an endpoint is up, from health checks and from what proxies report of it. The counter is that
//! of HAProxy's `rise` and `fall`: one passed check counts up, one failed check counts down, both ends saturate,
//! and the endpoint is up from [`RISE`] on. Endpoints in between are checked more often, those that are
//! surely down less often. Check times are spread at random, so that controllers that started together do
//! not check in step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::random::Random;
use crate::state::EndpointState;
use crate::thresholds::TICK_INTERVAL;
use crate::{EndpointId, HealthCheckOutcome};

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
/// An interval is shortened at random by up to this fraction.
const INTERVAL_JITTER: f64 = 0.1;

/// The rise/fall counter of one endpoint; unknown until the first result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthCounter(Option<u32>);

impl HealthCounter {
    /// The counter of an endpoint that has passed all checks.
    pub fn saturated() -> Self {
        HealthCounter(Some(MAX_COUNT))
    }

    /// From 0, surely down, to the maximum, surely up; `None` before the first result.
    pub fn value(self) -> Option<u32> {
        self.0
    }

    /// Whether there was a result.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// Whether the endpoint is up.
    pub fn is_up(self) -> bool {
        self.0.is_some_and(|count| count >= RISE)
    }

    /// Whether the last checks have all passed.
    pub fn is_saturated(self) -> bool {
        self.0 == Some(MAX_COUNT)
    }

    /// Counts this many results at once, passed ones if positive and failed ones if negative. The first result
    /// decides directly.
    pub fn record(&mut self, results: i32) {
        self.0 = match self.0 {
            None if results == 0 => None,
            None => Some(if results > 0 { MAX_COUNT } else { 0 }),
            Some(count) => Some(count.saturating_add_signed(results).min(MAX_COUNT)),
        };
    }

    fn check_interval(self) -> Duration {
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
    pub fn is_new(&self) -> bool {
        self.next_at == Duration::MAX
    }

    fn timed_out_at(&self, time: Duration) -> bool {
        self.started_at.is_some_and(|started| started + HEALTH_CHECK_TIMEOUT == time)
    }

    /// Whether a result that took `elapsed` belongs to the check under way and came before its timeout. An
    /// earlier check's result comes too late to count: its timeout has counted already.
    fn accepts(&self, now: Duration, elapsed: Duration) -> bool {
        self.started_at
            .is_some_and(|started| started + elapsed <= now && now < started + HEALTH_CHECK_TIMEOUT)
    }
}

/// The times at which checks are due or time out, over all endpoints.
#[derive(Default)]
pub struct HealthCheckSchedule {
    /// An entry that no longer fits its endpoint's timer is passed over when its time comes.
    due: BTreeSet<(Duration, EndpointId)>,
}

impl HealthCheckSchedule {
    /// The earliest time at which something is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(time, _)| *time)
    }

    /// Plans the first check of an endpoint, or of its new process, within one tick.
    pub fn plan_first(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        timer: &mut HealthCheckTimer,
        allowed: bool,
        random: &mut Random,
    ) {
        timer.next_at = now + TICK_INTERVAL.mul_f64(1.0 - random.fraction());
        if allowed {
            self.due.insert((timer.next_at, endpoint));
        }
    }

    /// Lets checks time out and gives the endpoints whose next check starts now.
    pub fn start_due(
        &mut self,
        now: Duration,
        endpoints: &mut BTreeMap<EndpointId, EndpointState>,
        random: &mut Random,
    ) -> Vec<EndpointId> {
        let mut started = Vec::new();
        while let Some((time, endpoint)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, endpoint));
            let Some(state) = endpoints.get_mut(&endpoint) else { continue };
            if state.check.timed_out_at(time) {
                self.finish(now, state, -1, random);
                continue;
            }
            let is_due = state.check.started_at.is_none() && state.check.next_at == time;
            if is_due && !state.is_not_ready() {
                state.check.started_at = Some(now);
                self.due.insert((now + HEALTH_CHECK_TIMEOUT, endpoint));
                started.push(endpoint);
            }
        }
        started
    }

    /// Takes in the result of a check. It counts if it belongs to the check under way.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        state: &mut EndpointState,
        outcome: HealthCheckOutcome,
        elapsed: Duration,
        random: &mut Random,
    ) {
        let results = state.take_outcome(now, outcome);
        if state.check.accepts(now, elapsed) {
            self.finish(now, state, results, random);
        }
    }

    /// Ends the check under way, if there is one: its results count, and the next check is planned.
    fn finish(&mut self, now: Duration, state: &mut EndpointState, results: i32, random: &mut Random) {
        let Some(started) = state.check.started_at.take() else { return };
        state.health.record(results);
        let interval = state.health.check_interval().mul_f64(1.0 - INTERVAL_JITTER * random.fraction());
        state.check.next_at = now.max(started + interval);
        self.due.insert((state.check.next_at, state.record.endpoint));
    }
}

impl EndpointState {
    /// Whether the endpoint is up by its health counter.
    pub fn is_up(&self) -> bool {
        self.health.is_up()
    }

    /// Takes the reported load in, and gives the results that the outcome counts for.
    fn take_outcome(&mut self, now: Duration, outcome: HealthCheckOutcome) -> i32 {
        match outcome {
            HealthCheckOutcome::Passed(load) => {
                self.load = load;
                i32::from(now >= self.outlier_until)
            }
            // It is too full to answer: the load that it reported before would look like headroom.
            HealthCheckOutcome::Rejected => {
                self.load = self.load.map(|_| 1.0);
                0
            }
            HealthCheckOutcome::AddressChanged => 0,
            HealthCheckOutcome::Failed | HealthCheckOutcome::Refused => -1,
        }
    }
}
