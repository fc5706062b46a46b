//! A controller with a small simulated fleet (two classes, two zones, some endpoints) and a printed trace of
//! its actions.

use std::fmt::Write;
use std::time::Duration;

use lockcroft::{
    Action, ClassSettings, Controller, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome,
    Settings,
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a ready endpoint; even numbers are in zone 0, odd numbers in zone 1.
pub fn ready(endpoint: EndpointId) -> EndpointRecord {
    EndpointRecord { endpoint, zone: endpoint % 2, weight: 1.0, ..EndpointRecord::default() }
}

/// The record of an endpoint with this status.
pub fn with_status(endpoint: EndpointId, status: EndpointStatus) -> EndpointRecord {
    EndpointRecord { status, ..ready(endpoint) }
}

/// The record of an endpoint whose process started this many milliseconds ago.
pub fn started(endpoint: EndpointId, millis_ago: u64) -> EndpointRecord {
    EndpointRecord { age: Some(ms(millis_ago)), ..ready(endpoint) }
}

/// A controller with simulated time, endpoints and proxies.
pub struct TestFleet {
    pub controller: Controller,
    pub now: Duration,
    /// The outcome of the next health checks of each endpoint.
    pub health: Vec<HealthCheckOutcome>,
    /// True if the trace contains health checks.
    pub print_health_checks: bool,
    pub trace: String,
    /// The duration of a health check in milliseconds.
    pub check_duration_ms: u64,
}

impl TestFleet {
    pub fn new(endpoints: usize) -> Self {
        TestFleet::with(endpoints, |_| {})
    }

    /// A fleet whose first class may use only the endpoints of the first zone.
    pub fn with_restricted_class(endpoints: usize) -> Self {
        TestFleet::with(endpoints, |settings| settings.classes[0].only_zones = Some(vec![0]))
    }

    /// A fleet whose endpoints may not be health-checked.
    pub fn without_health_checks(endpoints: usize) -> Self {
        TestFleet::with(endpoints, |settings| settings.health_checks_allowed = false)
    }

    /// A fleet with the default test settings, changed by `change`.
    pub fn with(endpoints: usize, change: impl FnOnce(&mut Settings)) -> Self {
        let class = |name: &str, latency_objective, value| ClassSettings {
            name: Some(name.into()),
            latency_objective: ms(latency_objective),
            value,
            ..ClassSettings::default()
        };
        let mut settings = Settings {
            zones: vec!["north".into(), "south".into()],
            classes: vec![class("look", 1000, 3.0), class("book", 2000, 1.0)],
            health_checks_allowed: true,
            ..Settings::default()
        };
        settings.rules.initial_weight_fraction = 0.2;
        settings.rules.slow_start_window = ms(10_000);
        settings.fleet.report_period = ms(1000);
        settings.fleet.message_delay = ms(200);
        settings.fleet.message_overhead_entries = 4.0;
        settings.fleet.max_entries_per_second = 10_000.0;
        settings.fleet.max_queued_entries = 10_000.0;
        change(&mut settings);
        let mut controller = Controller::new(settings, 7);
        let records: Vec<_> = (0..endpoints).map(ready).collect();
        controller.update_endpoints(ms(0), true, 0, &records);
        let health = vec![HealthCheckOutcome::Passed(None); endpoints];
        TestFleet {
            controller,
            now: ms(0),
            health,
            print_health_checks: false,
            trace: String::new(),
            check_duration_ms: 5,
        }
    }

    /// Adds all due actions to the trace and returns the endpoints whose health check starts.
    fn pull(&mut self) -> Vec<EndpointId> {
        let mut health_checks = Vec::new();
        while let Some(action) = self.controller.next_action(self.now) {
            let at = self.now.as_secs_f64();
            let text = match &action {
                Action::CheckHealth(endpoint) => format!("check endpoint {endpoint}"),
                Action::SetWeight { table, endpoint, weight } => {
                    format!("table {table}: endpoint {endpoint} {weight}")
                }
                Action::AssignTable { table, proxy, .. } => format!("table {table}: assign to proxy {proxy}"),
                Action::Eject { endpoint } => format!("eject {endpoint}"),
                Action::Restore { endpoint } => format!("restore {endpoint}"),
                Action::SetAdmission { class, fraction, retry, .. } => {
                    format!("class {class}: admit {fraction}{}", if *retry { " with retry" } else { "" })
                }
                Action::RaiseEvent { endpoint: Some(endpoint), text } => format!("# {endpoint} {text}"),
                Action::RaiseEvent { endpoint: None, text } => format!("# {text}"),
            };
            if let Action::CheckHealth(endpoint) = action {
                health_checks.push(endpoint);
            }
            if self.print_health_checks || !matches!(action, Action::CheckHealth(_)) {
                writeln!(self.trace, "{at:.1} {text}").expect("writing to a string does not fail");
            }
        }
        health_checks
    }

    /// Runs until this time in milliseconds. Every health check ends after `check_duration_ms` with the
    /// outcome in `health`; one that fails never ends.
    pub fn run_until(&mut self, millis: u64) -> &mut Self {
        let end = ms(millis);
        let mut pending_checks: Vec<(Duration, EndpointId)> = Vec::new();
        loop {
            let ends_at = self.now + ms(self.check_duration_ms);
            pending_checks.extend(self.pull().into_iter().map(|endpoint| (ends_at, endpoint)));
            let check = pending_checks.first().map_or(Duration::MAX, |(time, _)| *time);
            let next = self.controller.next_due().min(check);
            if next > end {
                break;
            }
            self.now = next;
            while pending_checks.first().is_some_and(|(time, _)| *time <= next) {
                let (_, endpoint) = pending_checks.remove(0);
                if self.health[endpoint] != HealthCheckOutcome::Failed {
                    self.controller.health_check_finished(
                        next,
                        endpoint,
                        self.health[endpoint],
                        ms(self.check_duration_ms),
                    );
                }
            }
        }
        self.now = end;
        self
    }

    /// Attaches a proxy without a table: one with an even number in zone 0, others in zone 1.
    pub fn attach(&mut self, proxy: usize) -> &mut Self {
        self.controller.attach_proxy(self.now, proxy, proxy % 2, 1.0, true);
        self
    }

    /// Updates these records of the endpoint list.
    pub fn update_list(&mut self, entries: &[EndpointRecord]) -> &mut Self {
        self.controller.update_endpoints(self.now, false, 1, entries);
        self
    }

    /// Runs until this time in milliseconds and reports once per second, for each endpoint, the number of
    /// attempts, the number of failed ones and the mean latency in milliseconds.
    pub fn report_until(&mut self, millis: u64, reported: &[(u32, u32, u64)]) -> &mut Self {
        while self.now + ms(1000) <= ms(millis) {
            let next = self.now + ms(1000);
            self.run_until(next.as_millis() as u64);
            for (endpoint, (attempts, failed, latency)) in reported.iter().enumerate() {
                self.controller.record_attempts(next, endpoint, *attempts, *failed, ms(*latency));
            }
            for class in 0..2 {
                self.controller.record_requests(0, class, 20);
            }
        }
        self.run_until(millis)
    }

    /// Clears the trace and discards all due actions; health checks that start here get no answer.
    pub fn clear_trace(&mut self) -> &mut Self {
        self.pull();
        self.trace.clear();
        self
    }

    /// The lines of the trace that contain one of these patterns.
    pub fn lines_with(&mut self, patterns: &[&str]) -> String {
        self.pull();
        let lines = self.trace.lines().filter(|line| patterns.iter().any(|word| line.contains(word)));
        lines.fold(String::new(), |all, line| all + line + "\n")
    }
}
