//! The limits that the rules are checked against.

use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::SlowStart;

/// The limits of the rules, taken from the controller's settings.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The names of all request classes.
    pub classes: Vec<String>,
    /// The names of the classes of which no request may be executed twice: those with an effect other than `safe`.
    pub execute_once: Vec<String>,
    /// The longest time for which a class may have no usable endpoint at a proxy.
    pub max_time_without_endpoints: Duration,
    /// The drain grace period, within which an endpoint may still get requests after the list update.
    pub drain_grace: Duration,
    /// True if endpoints that were removed from the list may get requests; draining ones may not.
    pub ignore_removals: bool,
    /// The warm-up of endpoints and the load that they survive during it.
    pub slow_start: SlowStart,
    /// The maximum number of commands that are sent and not answered yet, at all proxies together.
    pub max_queued_entries: f64,
    /// The maximum number of messages to one proxy within the window.
    pub max_messages: f64,
    /// The sliding window over which messages are counted.
    pub message_window: Duration,
    /// True if proxies choose evenly by weight, unless updates or failures prevent it. Otherwise the fractions of
    /// entries are not checked.
    pub even_balancing: bool,
}

impl Limits {
    /// Returns the limits of these settings, for proxies that balance evenly.
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
