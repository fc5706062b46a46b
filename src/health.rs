//! Health checks: the saturating rise/fall counter of each endpoint, and when each is checked next.
//!
//! Decides whether an endpoint is up, from health checks and from what proxies report of it. The counter is
//! that of HAProxy's `rise` and `fall`: one passed check counts up, one failed check counts down, both ends
//! saturate, and the endpoint is up from `RISE` on. Endpoints in between are checked more often, those that
//! are surely down less often. Check times are spread at random, so that controllers that started together do
//! not check in step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::health_state::{HEALTH_CHECK_TIMEOUT, HealthCheckTimer};
use crate::random::Random;
use crate::state::EndpointState;
use crate::thresholds::TICK_INTERVAL;
use crate::{EndpointId, HealthCheckOutcome};

/// An interval is shortened at random by up to this fraction.
const INTERVAL_JITTER: f64 = 0.1;

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
        if state.health_check.accepts(now, elapsed) {
            self.finish(now, state, results, random);
        }
    }

    /// Ends the check under way, if there is one: its results count, and the next check is planned.
    fn finish(&mut self, now: Duration, state: &mut EndpointState, results: i32, random: &mut Random) {
        let Some(started) = state.health_check.started_at.take() else { return };
        state.health.record(results);
        let interval = state.health.check_interval().mul_f64(1.0 - INTERVAL_JITTER * random.fraction());
        state.health_check.next_at = now.max(started + interval);
        self.due.insert((state.health_check.next_at, state.record.endpoint));
    }
}

impl EndpointState {
    /// Whether the endpoint is up by its health counter.
    #[must_use]
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
