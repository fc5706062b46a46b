//! Time of one update batch in the fleet controller alone, without sockets, for 640 endpoints and 848 proxies: the
//! tables of a start, and the loss of a zone. Run with `cargo bench -p lockcroft-fleet`.

use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_config::{DaemonConfig, Document, EndpointEntry, EndpointListConfig, SCHEMA};
use lockcroft_fleet::{Effect, FleetController};
use lockcroft_state_store::RecoveredState;

const ENDPOINTS: usize = 640;
const PROXIES: usize = 848;

fn settings() -> String {
    let mut proxies = String::new();
    for i in 0..PROXIES {
        let (zone, port) = (["a", "b", "c", "d"][i % 4], 10_000 + i);
        let _ = write!(proxies, "<proxy name=\"r{i}\" zone=\"{zone}\" address=\"127.0.0.1:{port}\"/>");
    }
    format!(
        r#"<lockcroft><pilot seed="3" answer-within="60s"/>
        <zones><zone name="a"/><zone name="b"/><zone name="c"/><zone name="d"/></zones>
        <kinds><kind name="std"/></kinds>
        <classes><class name="look" contract-time="1s" patience="2s" earnings="1"/></classes>
        <fleet report-period="60s" message-delay="10ms" message-head-lines="4" channel-lines-per-s="50000"
          queue-most-lines="75000" connections-least="200"/>
        <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
        <proxies>{proxies}</proxies><roster/></lockcroft>"#
    )
}

fn endpoint_list(version: u64, lost: Option<usize>) -> EndpointListConfig {
    let entry = |i: usize| EndpointEntry {
        name: format!("server-{i}"),
        zone: i % 4,
        machine_type: 0,
        address: format!("127.0.0.1:{}", 20_000 + i).parse().expect("valid address"),
        status: if Some(i % 4) == lost { EndpointStatus::Removed } else { EndpointStatus::Ready },
        weight: 1.0,
        started_at: None,
    };
    EndpointListConfig { version, entries: (0..ENDPOINTS).map(entry).collect() }
}

/// Executes effects immediately: health checks pass and commands succeed. Returns the number of commands and their
/// bytes.
fn execute(fleet: &mut FleetController, now: Duration, effects: Vec<Effect>) -> (usize, usize) {
    let (mut commands, mut bytes) = (0, 0);
    for effect in effects {
        match effect {
            Effect::CheckHealth { endpoint, .. } => {
                fleet.health_check_finished(now, endpoint, HealthCheckOutcome::Passed(None), Duration::ZERO)
            }
            Effect::Connect { proxy, connection, .. } => fleet.connected(now, proxy, connection),
            Effect::Write { proxy, connection, text } => {
                bytes += text.len();
                for command in text.split([';', '\n']).map(str::trim).filter(|command| !command.is_empty()) {
                    commands += 1;
                    let response = match command.split(' ').next() {
                        Some("add") => "New server registered.\n",
                        Some("del") => "Server deleted.\n",
                        Some("show") if command.starts_with("show servers") => {
                            "1\n# be_name srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_check_health srv_port\n"
                        }
                        _ => "",
                    };
                    fleet.response_received(now, proxy, connection, response);
                }
            }
            Effect::Close { .. } | Effect::Solve(_) | Effect::PublishSnapshot(_) | Effect::SaveState(_) => {}
        }
    }
    (commands, bytes)
}

/// Measures the cost of recording state on the controller's thread: the time of each call of `run_actions`, and of all
/// calls in a second, over 20 s of a fleet that loses a zone halfway.
fn time_recording(has_recorder: bool) {
    let document = Document::new(Path::new("bench.xml"), settings(), SCHEMA).expect("valid document");
    let config = DaemonConfig::read(&document).expect("valid settings");
    let mut fleet = FleetController::new(&config, 0);
    if has_recorder {
        fleet.restore_state(RecoveredState::default());
    }
    fleet.update_endpoint_list(Duration::ZERO, SystemTime::now(), endpoint_list(0, None));
    let (mut now, mut lost, mut times) = (Duration::ZERO, false, Vec::new());
    let (start, end) = (Duration::from_secs(8), Duration::from_secs(28));
    while now < end {
        if now > Duration::from_secs(18) && !std::mem::replace(&mut lost, true) {
            fleet.update_endpoint_list(now, SystemTime::now(), endpoint_list(1, Some(1)));
        }
        let started = Instant::now();
        let effects = fleet.run_actions(now);
        if now > start {
            times.push(started.elapsed());
        }
        execute(&mut fleet, now, effects);
        now = fleet.next_due().max(now + Duration::from_millis(1));
    }
    let sum: Duration = times.iter().sum();
    times.sort();
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!(
        "recording {has_recorder}: {} calls, p50 {:.1?}, p90 {:.1?}, p99 {:.1?}, {:.2?} per second",
        times.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        sum / 20
    );
}

fn main() {
    for _ in 0..2 {
        time_recording(false);
        time_recording(true);
    }
    for round in 1..=5 {
        let document = Document::new(Path::new("bench.xml"), settings(), SCHEMA).expect("valid document");
        let config = DaemonConfig::read(&document).expect("valid settings");
        let mut fleet = FleetController::new(&config, 0);
        fleet.update_endpoint_list(Duration::ZERO, SystemTime::now(), endpoint_list(0, None));
        let mut now = Duration::ZERO;
        let mut time_batch = |name: &str, fleet: &mut FleetController, until: Duration| {
            let (mut longest, mut largest) = (Duration::ZERO, (0, 0));
            while now < until {
                let started = Instant::now();
                let effects = fleet.run_actions(now);
                let elapsed = started.elapsed();
                let (commands, bytes) = execute(fleet, now, effects);
                if commands > largest.0 {
                    (longest, largest) = (elapsed, (commands, bytes));
                }
                now = fleet.next_due().max(now + Duration::from_millis(1));
            }
            let (commands, bytes) = largest;
            println!(
                "round {round}: {name}: {commands} commands, {bytes} bytes decided and written in {longest:.1?}"
            );
        };
        time_batch("attach", &mut fleet, Duration::from_millis(100));
        time_batch("start", &mut fleet, Duration::from_secs(7));
        fleet.update_endpoint_list(Duration::from_secs(7), SystemTime::now(), endpoint_list(1, Some(1)));
        time_batch("zone lost", &mut fleet, Duration::from_secs(8));
    }
}
