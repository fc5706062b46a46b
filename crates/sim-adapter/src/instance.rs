//! One instance of the controller: a function for each kind of event that it takes, and the actions that it answers
//! with. Times on the wire are those of the simulator's clock; the controller counts from the instance's start.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use lockcroft::{Controller, EndpointRecord};
use lockcroft_host::{NameIndex, NameInterner, parse_settings};

use crate::error::EventError;
use crate::event_reader::EventReader;
use crate::wire;

/// Said once by an instance whose settings ask for key ranges.
const KEY_RANGES_UNSUPPORTED: &str = "the keys are in slices, for which lockcroft lays no tables yet: idle";

/// One controller and what belongs to the wire alone: names, the clock at its start, its timer.
pub struct Instance {
    controller: Controller,
    /// The simulator's clock at the start of the instance.
    started_at: Duration,
    /// When the earliest timer that is set comes due, by the simulator's clock.
    timer: Option<Duration>,
    endpoints: NameInterner,
    names: NameIndex,
    /// Why the instance does nothing any more.
    idle: Option<Idle>,
}

/// Why an instance is idle; it says so once.
struct Idle {
    reason: IdleReason,
    /// What is still to be said.
    unreported: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum IdleReason {
    /// Its settings ask for what the controller does not support.
    Unsupported,
    /// The controller has panicked.
    Failed,
}

impl Idle {
    fn new(reason: IdleReason, message: String) -> Self {
        Idle { reason, unreported: Some(message).filter(|message| !message.is_empty()) }
    }
}

impl Instance {
    /// Starts an instance from the rest of its first event.
    ///
    /// # Errors
    /// The seed or the settings can't be read.
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

    /// What proxies met at an endpoint.
    pub fn attempt_report(&mut self, clock: Duration, event: &mut EventReader) -> Result<(), EventError> {
        let attempts = event.number("tries")?;
        let mean_latency = event.time("mean time")?;
        let failed = event.number("failed tries")?;
        event.word("zone")?;
        event.time("period")?;
        let endpoint = self.endpoints.intern(event.word("server")?);
        event.word("load report")?;
        let now = self.now(clock);
        self.guard(|controller| controller.record_attempts(now, endpoint, attempts, failed, mean_latency));
        Ok(())
    }

    /// How many requests of a class came to a proxy.
    pub fn request_report(&mut self, event: &mut EventReader) -> Result<(), EventError> {
        event.number::<u64>("unanswered")?;
        event.time("period")?;
        let class = self.names.class(event.word("class")?)?;
        let proxy = event.number("proxy")?;
        let requests = event.number("visits")?;
        self.guard(|controller| controller.record_requests(proxy, class, requests));
        Ok(())
    }

    /// A health check ended.
    pub fn health_check_result(
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
        self.guard(|controller| controller.health_check_finished(now, endpoint, outcome, duration));
        Ok(())
    }

    /// A proxy attached.
    pub fn proxy_attached(&mut self, clock: Duration, event: &mut EventReader) -> Result<(), EventError> {
        let without_table = event.flag("fresh")?;
        let proxy = event.number("proxy")?;
        let request_rate = event.amount("rate")?;
        let zone = self.names.zone(event.word("zone")?)?;
        let now = self.now(clock);
        self.guard(|controller| controller.attach_proxy(now, proxy, zone, request_rate, without_table));
        Ok(())
    }

    /// A proxy detached.
    pub fn proxy_detached(&mut self, event: &mut EventReader) -> Result<(), EventError> {
        let proxy = event.number("proxy")?;
        self.guard(|controller| controller.detach_proxy(proxy));
        Ok(())
    }

    /// A timer came due. There may be several, as each decision that is due earlier sets one more.
    pub fn timer_due(&mut self, clock: Duration, event: &mut EventReader) -> Result<(), EventError> {
        event.number::<u64>("tag")?;
        self.timer = self.timer.filter(|timer| *timer > clock);
        Ok(())
    }

    /// Reads one entry of an endpoint list.
    ///
    /// # Errors
    /// The entry can't be used.
    pub fn list_entry(
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

    /// Hands a list on whose entries were read.
    pub fn update_endpoints(
        &mut self,
        clock: Duration,
        is_complete: bool,
        version: u64,
        records: &[EndpointRecord],
    ) {
        let now = self.now(clock);
        self.guard(|controller| controller.update_endpoints(now, is_complete, version, records));
    }

    /// Writes all actions that the controller has by now, and sets a timer for the next.
    pub fn write_actions(&mut self, number: u32, clock: Duration, reply: &mut String) {
        let now = self.now(clock);
        while self.idle.is_none() {
            let Some(Some(action)) = self.guard(|controller| controller.next_action(now)) else { break };
            wire::write_action(reply, number, &action, &self.endpoints);
        }
        if let Some(idle) = &mut self.idle {
            idle.report(number, reply);
            return;
        }
        let Some(due) = self.guard(|controller| controller.next_due()) else { return };
        let due = (due + self.started_at).max(clock);
        if self.timer.is_none_or(|timer| due < timer) {
            self.timer = Some(due);
            wire::write_timer(reply, number, due - clock);
        }
    }

    /// The time since the start of the instance.
    fn now(&self, clock: Duration) -> Duration {
        clock.saturating_sub(self.started_at)
    }

    /// Calls the controller; if that panics, this instance has failed and no other.
    fn guard<T>(&mut self, call: impl FnOnce(&mut Controller) -> T) -> Option<T> {
        let result = catch_unwind(AssertUnwindSafe(|| call(&mut self.controller)));
        if let Err(panic) = &result {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no reason given");
            self.idle = Some(Idle::new(IdleReason::Failed, message.replace('\n', " ")));
        }
        result.ok()
    }
}

impl Idle {
    /// Says why the instance is idle, the first time.
    fn report(&mut self, number: u32, reply: &mut String) {
        let Some(message) = self.unreported.take() else { return };
        match self.reason {
            IdleReason::Unsupported => wire::write_event(reply, number, &message),
            IdleReason::Failed => wire::write_failure(reply, number, &message),
        }
    }
}
