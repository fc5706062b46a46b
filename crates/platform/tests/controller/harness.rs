//! A test harness that runs a control plane with two classes and four endpoints in simulated time, and traces its
//! effects.

use std::fmt::Write;
use std::time::Duration;

use lockcroft::{EndpointId, HealthCheckOutcome, ProxyId};
use lockcroft_platform::{Config, ConnectionId, ControlPlane, Effect};
use serde_json::{Value, json};

/// The time at the start of a test, in Unix milliseconds.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

pub fn config() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 60}, "known": null,
        "settings": {
            "zones": ["a", "b"], "kinds": ["std"], "fleet_size": 1, "policy_limits": {"probes": true},
            "report": {"how": "on_probe"},
            "classes": [
                {"name": "look", "target_us": 600_000, "deadline_us": 2_000_000, "worth": 3.0},
                {"name": "book", "target_us": 500_000, "deadline_us": 1_200_000, "worth": 1.0},
            ],
            "rules": {"cold_from": 0.25, "cold_us": 10_000_000, "drain_grace_us": 1_500_000},
            "specifics": {"agents": 8, "egress_per_s": 5000.0, "queue_cap": 5000.0, "cycle_us": 1_000_000,
                "propagation_us": 200_000, "overhead": 4.0, "counted_over_us": 10_000_000, "reloads_max": 30,
                "min_conn_cap": 400.0},
        },
    })
}

pub fn entry(name: &str, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": format!("127.0.0.1:{}", 100 + name.len()), "zone": "a", "type": "std",
        "group": 1, "status": status, "weight": 1.0, "since_ms": since_ms})
}

pub fn list(index: u64, is_complete: bool, entries: &[Value]) -> Value {
    json!({"index": index, "snapshot": is_complete, "endpoints": entries})
}

pub struct Harness {
    pub control_plane: ControlPlane,
    pub now: Duration,
    /// One line per message that was written, closed connection and rejected endpoint list.
    pub trace: String,
    /// Connections whose peers read nothing, so that writes never complete.
    pub stalled: Vec<ConnectionId>,
    /// True if health checks finish with an address that the endpoint no longer has.
    pub checks_former_address: bool,
    /// The endpoint whose health checks are refused.
    pub refusing: Option<EndpointId>,
}

impl Harness {
    /// Creates a harness with four endpoints that started long ago.
    pub fn new() -> Self {
        let mut harness = Harness::without_endpoints();
        let entries = ["s-a", "s-bb", "s-ccc", "s-dddd"].map(|name| entry(name, "up", 0));
        harness.update_list(&list(0, true, &entries));
        harness
    }

    pub fn without_endpoints() -> Self {
        let config = Config::parse(&config().to_string()).expect("valid configuration");
        Harness {
            control_plane: ControlPlane::new(&config),
            now: Duration::ZERO,
            trace: String::new(),
            stalled: Vec::new(),
            refusing: None,
            checks_former_address: false,
        }
    }

    pub fn update_list(&mut self, value: &Value) {
        let unix_ms = START_UNIX_MS + self.now.as_millis() as u64;
        if let Err(error) = self.control_plane.update_endpoints(self.now, unix_ms, value) {
            let _ = writeln!(self.trace, "{:.1} rejected: {error}", self.now.as_secs_f64());
        }
    }

    pub fn accept(&mut self, connection: ConnectionId) -> &mut Self {
        self.control_plane.connection_accepted(self.now, connection);
        self
    }

    pub fn receive(&mut self, connection: ConnectionId, line: &str) -> &mut Self {
        self.control_plane.line_received(self.now, connection, line.as_bytes());
        let effects = self.control_plane.take_effects();
        self.carry_out(effects);
        self
    }

    pub fn attach(&mut self, connection: ConnectionId, proxy: ProxyId, without_table: bool) -> &mut Self {
        let line = json!({"t": "attach", "node": proxy, "locality": "a", "w": 5.0, "cold": without_table});
        self.accept(connection).receive(connection, &line.to_string())
    }

    /// Advances to this time in steps of 50 ms, and returns the trace since the last call.
    pub fn run_to(&mut self, seconds: f64) -> String {
        while self.now.as_secs_f64() < seconds {
            self.now += Duration::from_millis(50);
            let effects = self.control_plane.decide(self.now);
            self.carry_out(effects);
        }
        std::mem::take(&mut self.trace)
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let at = self.now.as_secs_f64();
        for effect in effects {
            match effect {
                Effect::Write { connection, text } => {
                    let _ = text
                        .lines()
                        .try_for_each(|line| writeln!(self.trace, "{at:.1} {connection} < {line}"));
                    if !self.stalled.contains(&connection) {
                        self.control_plane.write_completed(connection);
                    }
                }
                Effect::Close { connection } => {
                    let _ = writeln!(self.trace, "{at:.1} {connection} closed");
                }
                Effect::FinalRead { connection } => {
                    self.control_plane.final_read_completed(connection);
                    let effects = self.control_plane.take_effects();
                    self.carry_out(effects);
                }
                Effect::Abort { connection } => {
                    let _ = writeln!(self.trace, "{at:.1} {connection} aborted");
                }
                Effect::CheckHealth { endpoint, address } => {
                    let refuses = self.refusing == Some(endpoint);
                    let address =
                        if self.checks_former_address { ([127, 0, 0, 8], 8).into() } else { address };
                    let outcome = if refuses {
                        HealthCheckOutcome::Refused
                    } else {
                        HealthCheckOutcome::Passed(Some(0.5))
                    };
                    self.control_plane.health_check_finished(
                        self.now,
                        endpoint,
                        address,
                        outcome,
                        Duration::ZERO,
                    );
                }
            }
        }
    }
}
