//! A small stage for a pilot: terms of two classes, two zones, four servers, and a printed trace.

use std::fmt::Write;
use std::time::Duration;

use lockcroft::{
    Action, ClassSettings, Controller, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome,
    Settings,
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn ready(server: EndpointId) -> EndpointRecord {
    EndpointRecord { endpoint: server, zone: server % 2, weight: 1.0, ..EndpointRecord::default() }
}

pub fn state(server: EndpointId, state: EndpointStatus) -> EndpointRecord {
    EndpointRecord { status: state, ..ready(server) }
}

pub fn started(server: EndpointId, millis_ago: u64) -> EndpointRecord {
    EndpointRecord { age: Some(ms(millis_ago)), ..ready(server) }
}

pub struct Stage {
    pub pilot: Controller,
    pub now: Duration,
    /// How the next probes of a server end.
    pub health: Vec<HealthCheckOutcome>,
    /// Probes are left out of the trace unless wanted.
    pub print_probes: bool,
    pub trace: String,
    /// How long a probe takes, in milliseconds.
    pub answers_after: u64,
}

impl Stage {
    pub fn new(servers: usize) -> Self {
        Stage::with(servers, |_| {})
    }

    /// The first class may use the servers of the first zone only.
    pub fn narrow(servers: usize) -> Self {
        Stage::with(servers, |settings| settings.classes[0].only_zones = Some(vec![0]))
    }

    /// No server may be probed.
    pub fn unprobed(servers: usize) -> Self {
        Stage::with(servers, |settings| settings.health_checks_allowed = false)
    }

    /// The usual settings with some changes.
    pub fn with(servers: usize, change: impl FnOnce(&mut Settings)) -> Self {
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
        let mut pilot = Controller::new(settings, 7);
        let listings: Vec<_> = (0..servers).map(ready).collect();
        pilot.update_endpoints(ms(0), true, 0, &listings);
        let health = vec![HealthCheckOutcome::Passed(None); servers];
        Stage { pilot, now: ms(0), health, print_probes: false, trace: String::new(), answers_after: 5 }
    }

    /// Pulls decisions until there is none; every probe ends a little later as its server's health says,
    /// a failed one by not ending at all.
    fn pull(&mut self) -> Vec<EndpointId> {
        let mut probes = Vec::new();
        while let Some(decision) = self.pilot.next_action(self.now) {
            let at = self.now.as_secs_f64();
            let text = match &decision {
                Action::CheckHealth(server) => format!("probe {server}"),
                Action::SetWeight { table, endpoint: server, weight } => {
                    format!("table {table}: server {server} {weight}")
                }
                Action::AssignTable { table, proxy, .. } => format!("table {table}: bind proxy {proxy}"),
                Action::Eject { endpoint } => format!("withdraw {endpoint} true"),
                Action::Restore { endpoint } => format!("withdraw {endpoint} false"),
                Action::SetAdmission { class, fraction: share, retry: second_try, .. } => {
                    format!("class {class}: admit {share}{}", if *second_try { " twice" } else { "" })
                }
                Action::RaiseEvent { endpoint: Some(server), text } => format!("# {server} {text}"),
                Action::RaiseEvent { endpoint: None, text } => format!("# {text}"),
            };
            if let Action::CheckHealth(server) = decision {
                probes.push(server);
            }
            if self.print_probes || !matches!(decision, Action::CheckHealth(_)) {
                writeln!(self.trace, "{at:.1} {text}").expect("a string takes all");
            }
        }
        probes
    }

    pub fn run_to(&mut self, millis: u64) -> &mut Self {
        let end = ms(millis);
        let mut ends: Vec<(Duration, EndpointId)> = Vec::new();
        loop {
            let sent = self.now + ms(self.answers_after);
            ends.extend(self.pull().into_iter().map(|server| (sent, server)));
            let probe = ends.first().map_or(Duration::MAX, |(time, _)| *time);
            let next = self.pilot.next_due().min(probe);
            if next > end {
                break;
            }
            self.now = next;
            while ends.first().is_some_and(|(time, _)| *time <= next) {
                let (_, server) = ends.remove(0);
                if self.health[server] != HealthCheckOutcome::Failed {
                    self.pilot.health_check_finished(
                        next,
                        server,
                        self.health[server],
                        ms(self.answers_after),
                    );
                }
            }
        }
        self.now = end;
        self
    }

    pub fn join(&mut self, proxy: usize) -> &mut Self {
        self.pilot.attach_proxy(proxy, proxy % 2, 1.0, true);
        self
    }

    pub fn list(&mut self, entries: &[EndpointRecord]) -> &mut Self {
        self.pilot.update_endpoints(self.now, false, 1, entries);
        self
    }

    /// Each server is reported once a second until then: tries, failures, mean time.
    pub fn report_to(&mut self, millis: u64, told: &[(u32, u32, u64)]) -> &mut Self {
        while self.now + ms(1000) <= ms(millis) {
            let next = self.now + ms(1000);
            self.run_to(next.as_millis() as u64);
            for (server, (tries, failed, took)) in told.iter().enumerate() {
                self.pilot.record_attempts(next, server, *tries, *failed, ms(*took));
            }
            for class in 0..2 {
                self.pilot.record_requests(0, class, 20);
            }
        }
        self.run_to(millis)
    }

    pub fn quiet(&mut self) -> &mut Self {
        self.pull();
        self.trace.clear();
        self
    }

    /// What is in the trace of these words, one a line.
    pub fn said(&mut self, words: &[&str]) -> String {
        self.pull();
        let lines = self.trace.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.fold(String::new(), |all, line| all + line + "\n")
    }
}
