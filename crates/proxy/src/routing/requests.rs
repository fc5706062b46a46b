//! What a request asks of the routing state: admission, an endpoint for each attempt, and the record of how
//! the attempt ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_runtime_api::tables::class_variable_name;

use super::attempt_counter::AttemptCounter;
use super::backend::{EntryChoice, EntryFilter};
use super::entry::TableEntry;
use super::state::RoutingState;
use crate::attempts::AttemptOutcome;

/// Admission rates are set in thousandths.
const ADMIT_ALL: i64 = 1000;

/// Prefix of the variable that holds the admission rate of a class.
pub(crate) const ADMISSION_VARIABLE: &str = "level";

/// Prefix of the variable that allows one retry after proof of non-execution.
pub(crate) const RETRY_VARIABLE: &str = "again";

/// The endpoint that was chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// The backend by which it was chosen.
    pub backend: String,
    /// The endpoint's name.
    pub endpoint: String,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Where the attempt counts as in flight.
    counter: AttemptCounter,
}

impl ChosenEndpoint {
    /// Counts the attempt as abandoned: its client is gone, and what came of it is not known. Needs no routing
    /// state, as an attempt may be dropped at any moment.
    pub fn abandon(&self) {
        self.counter.abandon();
    }
}

/// The result of choosing an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The attempt goes to this endpoint.
    Endpoint(ChosenEndpoint),
    /// There are endpoints, but each has as many attempts in flight as it may have.
    Saturated,
    /// The class has no endpoint that takes requests now.
    NoEndpoint,
}

impl RoutingState {
    /// Counts a request and says whether the admission rate of its class admits it.
    ///
    /// The draw, from 0 up to 1, is a property of the client, so that one who comes again is treated alike.
    pub fn admit(&mut self, class: &str, draw: f64) -> bool {
        let rate = self.class_variable(ADMISSION_VARIABLE, class).unwrap_or(ADMIT_ALL);
        let admitted = draw * 1000.0 < rate as f64;
        if let Some(counters) = self.class_counters.get_mut(class) {
            counters.requests += 1;
            counters.shed += u64::from(!admitted);
        }
        admitted
    }

    /// Whether requests of the class may be retried after proof of non-execution.
    #[must_use]
    pub fn retries_enabled(&self, class: &str) -> bool {
        self.class_variable(RETRY_VARIABLE, class) == Some(1)
    }

    fn class_variable(&self, prefix: &str, class: &str) -> Option<i64> {
        self.variables.get(&class_variable_name(prefix, class)).copied()
    }

    /// Chooses the endpoint for the next attempt: one that is open, not ejected here, below its limit of
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

    /// Records how an attempt ended; enough failures in a row eject the endpoint here.
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
        // An entry that was removed while the attempt was in flight has no counters any more, and a later one
        // of the same name is another endpoint.
        if entry.counter != chosen.counter {
            return;
        }
        entry.record(now, outcome, latency, &self.limits);
    }

    /// Whether the table of a class leaves it any open endpoint, ejected here or not.
    #[must_use]
    pub fn has_open_endpoint(&self, class: &str) -> bool {
        let backend = self.class_map.get(class).and_then(|name| self.backends.get(name));
        backend.is_some_and(|backend| backend.entries().iter().any(TableEntry::is_open))
    }
}
