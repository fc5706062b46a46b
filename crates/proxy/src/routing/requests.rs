//! Operations of a request on the routing state: admission, choosing an endpoint for each attempt, and recording
//! the outcome of the attempt.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_runtime_api::tables::class_variable_name;

use super::attempt_counter::AttemptCounter;
use super::backend::{EntryChoice, EntryFilter};
use super::entry::TableEntry;
use super::state::RoutingState;
use crate::attempts::AttemptOutcome;

/// The admission rate that admits all requests. Rates are in thousandths.
const ADMIT_ALL: i64 = 1000;

/// Prefix of the variable with the admission rate of a class, in thousandths.
pub(crate) const ADMISSION_VARIABLE: &str = "level";

/// Prefix of the variable that is 1 if requests of a class may be retried once after proof of non-execution.
pub(crate) const RETRY_VARIABLE: &str = "again";

/// The endpoint that was chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// The backend from which it was chosen.
    pub backend: String,
    /// The endpoint's name.
    pub endpoint: String,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// The counter in which the attempt counts as in flight.
    counter: AttemptCounter,
}

impl ChosenEndpoint {
    /// Counts the attempt as abandoned: its client disconnected and its outcome is unknown. Needs no access to the
    /// routing state, as an attempt may be dropped at any time.
    pub fn abandon(&self) {
        self.counter.abandon();
    }
}

/// The result of choosing an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The attempt goes to this endpoint.
    Endpoint(ChosenEndpoint),
    /// There are endpoints, but each of them has the maximum number of attempts in flight.
    Saturated,
    /// The class currently has no endpoint that accepts requests.
    NoEndpoint,
}

impl RoutingState {
    /// Counts a request and returns true if the admission rate of its class admits it.
    ///
    /// `draw`, from 0 up to but not including 1, is derived from the client, so that all requests of a client are
    /// treated alike.
    pub fn admit(&mut self, class: &str, draw: f64) -> bool {
        let rate = self.class_variable(ADMISSION_VARIABLE, class).unwrap_or(ADMIT_ALL);
        let admitted = draw * 1000.0 < rate as f64;
        if let Some(counters) = self.class_counters.get_mut(class) {
            counters.requests += 1;
            counters.shed += u64::from(!admitted);
        }
        admitted
    }

    /// Returns true if requests of the class may be retried after proof of non-execution.
    #[must_use]
    pub fn retries_enabled(&self, class: &str) -> bool {
        self.class_variable(RETRY_VARIABLE, class) == Some(1)
    }

    fn class_variable(&self, prefix: &str, class: &str) -> Option<i64> {
        self.variables.get(&class_variable_name(prefix, class)).copied()
    }

    /// Chooses the endpoint for the next attempt: one that is open, not ejected by the proxy, below its limit of
    /// attempts in flight, and not `excluded`. The attempt counts as in flight until it
    /// [ends](RoutingState::record_outcome) or is [abandoned](ChosenEndpoint::abandon).
    pub fn choose(&mut self, now: Duration, class: &str, excluded: Option<&str>) -> Choice {
        let Some(name) = self.class_map.get(class) else { return Choice::NoEndpoint };
        let Some(backend) = self.backends.get_mut(name) else { return Choice::NoEndpoint };
        let max_in_flight = match self.limits.max_in_flight {
            0 => usize::MAX,
            limit => limit,
        };
        let filter = EntryFilter { now, excluded, max_in_flight };
        match Rc::make_mut(backend).choose(&mut self.rng, &filter) {
            EntryChoice::Entry(entry) => Choice::Endpoint(ChosenEndpoint {
                backend: name.clone(),
                endpoint: entry.name.to_string(),
                address: entry.address,
                counter: entry.counter.clone(),
            }),
            EntryChoice::Saturated => Choice::Saturated,
            EntryChoice::NoEntry => Choice::NoEndpoint,
        }
    }

    /// Records the outcome of an attempt. Consecutive failures may eject the endpoint.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        chosen: &ChosenEndpoint,
        outcome: AttemptOutcome,
        latency: Duration,
    ) {
        chosen.counter.end();
        let Some(backend) = self.backends.get_mut(&chosen.backend) else { return };
        let Some(entry) = Rc::make_mut(backend).entry_mut(&chosen.endpoint) else { return };
        // If the entry was removed while the attempt was in flight, the outcome must not be counted at a later
        // entry of the same name.
        if entry.counter != chosen.counter {
            return;
        }
        entry.record(now, outcome, latency, &self.limits);
    }

    /// Returns true if the table of a class has an open endpoint, whether or not the proxy has ejected it.
    #[must_use]
    pub fn has_open_endpoint(&self, class: &str) -> bool {
        let backend = self.class_map.get(class).and_then(|name| self.backends.get(name));
        backend.is_some_and(|backend| backend.entries().iter().any(TableEntry::is_open))
    }
}
