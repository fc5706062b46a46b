//! One instance of the controller, with a function for each kind of event and one that writes its actions. Times in the
//! protocol are of the simulator's clock; the times of the controller are relative to the start of the instance.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use lockcroft::{Controller, EndpointRecord};
use lockcroft_host::{NameIndex, NameInterner, parse_settings};

use crate::error::EventError;
use crate::event_reader::EventReader;
use crate::wire;

/// The event that an instance raises once if its settings require key ranges.
const KEY_RANGES_UNSUPPORTED: &str = "key ranges are not supported, the instance stays idle";

/// A controller with its state in the protocol: names, the clock at its start, and the timer.
pub struct Instance {
    controller: Controller,
    /// The simulator's clock at the start of the instance.
    started_at: Duration,
    /// The time when the earliest timer that is set expires, by the simulator's clock.
    timer: Option<Duration>,
    /// Names of endpoints by the numbers that the controller uses.
    endpoints: NameInterner,
    /// Names of zones, machine types and classes.
    names: NameIndex,
    /// The reason why the instance writes no actions; `None` while it works.
    idle: Option<Idle>,
}

/// The reason why an instance is idle, and the message about it.
struct Idle {
    reason: IdleReason,
    /// The message, until it is written.
    unreported_message: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum IdleReason {
    /// The settings require a feature that the controller does not support.
    Unsupported,
    /// The controller has panicked.
    Failed,
}

impl Idle {
    fn new(reason: IdleReason, message: String) -> Self {
        Idle { reason, unreported_message: Some(message).filter(|message| !message.is_empty()) }
    }
}

impl Instance {
    /// Starts an instance with the seed and the settings in the remaining fields of its first event.
    ///
    /// # Errors
    /// Returns an error if the seed or the settings are invalid.
    pub fn start(event: &mut EventReader, clock: Duration) -> Result<Self, EventError> {
        let seed = event.number("seed")?;
        let settings = parse_settings(event.text("settings")?)?;
        let has_key_ranges = settings.fleet.key_ranges > 0.0;
        let idle = has_key_ranges.then(|| Idle::new(IdleReason::Unsupported, KEY_RANGES_UNSUPPORTED.into()));
        Ok(Instance {
            names: NameIndex::new(&settings),
            started_at: clock,
            timer: None,
            endpoints: NameInterner::default(),
            idle,
            controller: Controller::new(settings, seed),
        })
    }

    /// Handles a report of the attempts of proxies at an endpoint.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_attempt_report(
        &mut self,
        clock: Duration,
        event: &mut EventReader,
    ) -> Result<(), EventError> {
        let attempts = event.number("tries")?;
        let mean_latency = event.time("mean time")?;
        let failed = event.number("failed tries")?;
        event.word("zone")?;
        event.time("period")?;
        let endpoint = self.endpoints.intern(event.word("server")?);
        event.word("load report")?;
        let now = self.now(clock);
        self.call_controller(|controller| {
            controller.record_attempts(now, endpoint, attempts, failed, mean_latency)
        });
        Ok(())
    }

    /// Handles a report of the requests of a class that a proxy received.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_request_report(&mut self, event: &mut EventReader) -> Result<(), EventError> {
        event.number::<u64>("unanswered")?;
        event.time("period")?;
        let class = self.names.class(event.word("class")?)?;
        let proxy = event.number("proxy")?;
        let requests = event.number("visits")?;
        self.call_controller(|controller| controller.record_requests(proxy, class, requests));
        Ok(())
    }

    /// Handles the result of a health check.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_health_check_result(
        &mut self,
        clock: Duration,
        event: &mut EventReader,
    ) -> Result<(), EventError> {
        let endpoint = self.endpoints.intern(event.word("server")?);
        let verdict = event.word("verdict")?;
        let duration = event.time("time")?;
        let load = event.load("load report")?;
        let outcome = wire::health_check_outcome(verdict, load)?;
        let now = self.now(clock);
        self.call_controller(|controller| controller.health_check_finished(now, endpoint, outcome, duration));
        Ok(())
    }

    /// Handles the attachment of a proxy.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_proxy_attached(
        &mut self,
        clock: Duration,
        event: &mut EventReader,
    ) -> Result<(), EventError> {
        let without_table = event.flag("fresh")?;
        let proxy = event.number("proxy")?;
        let request_rate = event.amount("rate")?;
        let zone = self.names.zone(event.word("zone")?)?;
        let now = self.now(clock);
        self.call_controller(|controller| {
            controller.attach_proxy(now, proxy, zone, request_rate, without_table)
        });
        Ok(())
    }

    /// Handles the detachment of a proxy.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_proxy_detached(&mut self, event: &mut EventReader) -> Result<(), EventError> {
        let proxy = event.number("proxy")?;
        self.call_controller(|controller| controller.detach_proxy(proxy));
        Ok(())
    }

    /// Handles the expiry of a timer. Several timers may be set, because a decision that is due before the set timer
    /// sets another one.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn handle_timer(&mut self, clock: Duration, event: &mut EventReader) -> Result<(), EventError> {
        event.number::<u64>("tag")?;
        self.timer = self.timer.filter(|timer| *timer > clock);
        Ok(())
    }

    /// Reads one entry of an endpoint list.
    ///
    /// # Errors
    /// Returns an error if a field is invalid.
    pub fn read_list_entry(
        &mut self,
        clock: Duration,
        event: &mut EventReader,
    ) -> Result<EndpointRecord, EventError> {
        let endpoint = self.endpoints.intern(event.word("server")?);
        let zone = self.names.zone(event.word("zone")?)?;
        let machine_type = self.names.machine_type(event.word("kind")?)?;
        event.number::<i64>("cell")?;
        let status = wire::endpoint_status(event.word("state")?)?;
        let weight = event.amount("weight")?;
        let started_at = event.optional_time("start")?.filter(|started_at| !started_at.is_zero());
        event.end()?;
        let age = started_at.map(|started_at| clock.saturating_sub(started_at));
        Ok(EndpointRecord { endpoint, zone, machine_type, status, weight, age })
    }

    /// Passes an endpoint list to the controller. If `is_complete`, the list has all endpoints, otherwise only changed
    /// ones.
    pub fn update_endpoints(
        &mut self,
        clock: Duration,
        is_complete: bool,
        version: u64,
        records: &[EndpointRecord],
    ) {
        let now = self.now(clock);
        self.call_controller(|controller| controller.update_endpoints(now, is_complete, version, records));
    }

    /// Writes all actions of the controller that are due, and sets a timer for the next decision unless an earlier one
    /// is set. An idle instance writes only the reason, once.
    pub fn write_actions(&mut self, number: u32, clock: Duration, reply: &mut String) {
        let now = self.now(clock);
        while self.idle.is_none() {
            let Some(Some(action)) = self.call_controller(|controller| controller.next_action(now)) else {
                break;
            };
            wire::write_action(reply, number, &action, &self.endpoints);
        }
        if let Some(idle) = &mut self.idle {
            idle.report(number, reply);
            return;
        }
        let Some(due) = self.call_controller(|controller| controller.next_due()) else { return };
        let due = (due + self.started_at).max(clock);
        if self.timer.is_none_or(|timer| due < timer) {
            self.timer = Some(due);
            wire::write_timer(reply, number, due - clock);
        }
    }

    /// Returns the time since the start of the instance.
    fn now(&self, clock: Duration) -> Duration {
        clock.saturating_sub(self.started_at)
    }

    /// Calls the controller. If it panics, marks this instance as failed and returns `None`, so that other instances
    /// continue.
    fn call_controller<T>(&mut self, call: impl FnOnce(&mut Controller) -> T) -> Option<T> {
        let result = catch_unwind(AssertUnwindSafe(|| call(&mut self.controller)));
        if let Err(panic) = &result {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no panic message");
            self.idle = Some(Idle::new(IdleReason::Failed, message.replace('\n', " ")));
        }
        result.ok()
    }
}

impl Idle {
    /// Writes the reason why the instance is idle, unless it was already written.
    fn report(&mut self, number: u32, reply: &mut String) {
        let Some(message) = self.unreported_message.take() else { return };
        match self.reason {
            IdleReason::Unsupported => wire::write_event(reply, number, &message),
            IdleReason::Failed => wire::write_failure(reply, number, &message),
        }
    }
}
