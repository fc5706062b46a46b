//! Health checks: the schedule of the checks of all endpoints, and the effect of their results.
//!
//! Decides whether an endpoint is up, from health checks and from the attempts that proxies report. The
//! counter works like HAProxy's `rise` and `fall`: a passed check increments it, a failed check decrements
//! it, it saturates at both ends, and the endpoint is up from `RISE` on. An endpoint whose counter is between
//! its ends is checked more often, one whose counter is 0 less often. Check times are spread at random, so
//! that controllers that started together do not check at the same times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::health_state::{HEALTH_CHECK_TIMEOUT, HealthCheckTimer};
use crate::random::Random;
use crate::state::EndpointState;
use crate::thresholds::TICK_INTERVAL;
use crate::{EndpointId, HealthCheckOutcome};

/// Largest fraction by which a check interval is shortened at random.
const INTERVAL_JITTER: f64 = 0.1;

/// The times at which checks of all endpoints are due or time out.
#[derive(Default)]
pub struct HealthCheckSchedule {
    /// The endpoints by the time at which a check is due or times out. An entry that no longer matches the timer
    /// of its endpoint is ignored when it is due.
    due: BTreeSet<(Duration, EndpointId)>,
}

impl HealthCheckSchedule {
    /// Returns the earliest time at which a check is due or times out.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(time, _)| *time)
    }

    /// Schedules the first check of an endpoint, or of its new process, within one tick. `allowed` is false
    /// if endpoints may not be checked.
    pub fn schedule_first(
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

    /// Records the checks that have timed out and returns the endpoints whose next check starts now.
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
            if state.health_check.timed_out_at(time) {
                self.finish(now, state, -1, random);
                continue;
            }
            let is_due = state.health_check.started_at.is_none() && state.health_check.next_at == time;
            if is_due && !state.is_not_ready() {
                state.health_check.started_at = Some(now);
                self.due.insert((now + HEALTH_CHECK_TIMEOUT, endpoint));
                started.push(endpoint);
            }
        }
        started
    }

    /// Records the outcome of a check that took `elapsed`. It counts if it belongs to the check in progress.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        state: &mut EndpointState,
        outcome: HealthCheckOutcome,
        elapsed: Duration,
        random: &mut Random,
    ) {
        let results = state.record_load(now, outcome);
        if state.health_check.accepts(now, elapsed) {
            self.finish(now, state, results, random);
        }
    }

    /// Ends the check in progress, if there is one: counts its results and schedules the next check.
    fn finish(&mut self, now: Duration, state: &mut EndpointState, results: i32, random: &mut Random) {
        let Some(started) = state.health_check.started_at.take() else { return };
        state.health.record(results);
        let interval = state.health.check_interval().mul_f64(1.0 - INTERVAL_JITTER * random.fraction());
        state.health_check.next_at = now.max(started + interval);
        self.due.insert((state.health_check.next_at, state.record.endpoint));
    }
}

impl EndpointState {
    /// Returns true if the endpoint is up by its health counter.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.health.is_up()
    }

    /// Records the reported load, and returns the number of results that the outcome counts for.
    fn record_load(&mut self, now: Duration, outcome: HealthCheckOutcome) -> i32 {
        match outcome {
            HealthCheckOutcome::Passed(load) => {
                self.load = load;
                i32::from(now >= self.outlier_until)
            }
            // The endpoint is at capacity; its last reported load would suggest headroom.
            HealthCheckOutcome::Rejected => {
                self.load = self.load.map(|_| 1.0);
                0
            }
            HealthCheckOutcome::AddressChanged => 0,
            HealthCheckOutcome::Failed | HealthCheckOutcome::Refused => -1,
        }
    }
}
