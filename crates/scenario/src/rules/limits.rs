//! The limits of the rules.

use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::SlowStart;

/// The limits as the controller's settings state them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// All classes of requests.
    pub classes: Vec<String>,
    /// Classes of which no request may be executed twice: all but those that are safe.
    pub execute_once: Vec<String>,
    /// How long a proxy may lack an endpoint for a class.
    pub max_time_without_endpoints: Duration,
    /// How long after the list reported a drain requests may still reach the endpoint.
    pub drain_grace: Duration,
    /// Endpoints that are gone from the list may get requests.
    pub ignore_removals: bool,
    /// How much a warming endpoint bears.
    pub slow_start: SlowStart,
    /// Commands that wait at all proxies together, at most.
    pub max_queued_entries: f64,
    /// Messages to a proxy within the window, at most.
    pub max_messages: f64,
    /// Over which messages are counted.
    pub message_window: Duration,
    /// Proxies choose evenly by weight, and nothing but updates and failures keeps them from it.
    pub even_balancing: bool,
}

impl Limits {
    /// The limits of these settings, for proxies that balance evenly.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        let unsafe_classes =
            classes.clone().filter(|class| class.effect.as_ref().is_some_and(|effect| effect != "safe"));
        Limits {
            execute_once: unsafe_classes.filter_map(|class| class.name.clone()).collect(),
            classes: classes.filter_map(|class| class.name.clone()).collect(),
            max_time_without_endpoints: settings.rules.max_time_without_endpoints,
            drain_grace: settings.rules.drain_grace.unwrap_or_default(),
            ignore_removals: settings.rules.ignore_removals,
            slow_start: SlowStart {
                initial_fraction: settings.rules.initial_weight_fraction,
                window: settings.rules.slow_start_window,
                overload_factor: settings.rules.warming_overload_factor,
                overload_window: settings.rules.warming_overload_window,
            },
            max_queued_entries: settings.fleet.max_queued_entries,
            max_messages: settings.fleet.max_messages,
            message_window: settings.fleet.message_window,
            even_balancing: true,
        }
    }
}
