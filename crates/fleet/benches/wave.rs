//! Time of one wave in the helm alone, without sockets: the lines of a start, and of a zone that is
//! lost, at 640 servers and 848 proxies. Run: cargo bench -p lockcroft-fleet

use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_config::{DaemonConfig, Document, EndpointEntry, EndpointListConfig, SCHEMA};
use lockcroft_fleet::{Effect, FleetController};
use lockcroft_state_store::RecoveredState;

const SERVERS: usize = 640;
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

fn roster(version: u64, lost: Option<usize>) -> EndpointListConfig {
    let entry = |i: usize| EndpointEntry {
        name: format!("server-{i}"),
        zone: i % 4,
        machine_type: 0,
        address: format!("127.0.0.1:{}", 20_000 + i).parse().expect("an address"),
        status: if Some(i % 4) == lost { EndpointStatus::Removed } else { EndpointStatus::Ready },
        weight: 1.0,
        started_at: None,
    };
    EndpointListConfig { version, entries: (0..SERVERS).map(entry).collect() }
}

/// Carries effects out in no time at all: probes pass, orders are answered as done.
fn settle(helm: &mut FleetController, now: Duration, effects: Vec<Effect>) -> (usize, usize) {
    let (mut commands, mut bytes) = (0, 0);
    for effect in effects {
        match effect {
            Effect::Probe { server, .. } => {
                helm.probed(now, server, HealthCheckOutcome::Passed(None), Duration::ZERO)
            }
            Effect::Dial { proxy, stream, .. } => helm.connected(now, proxy, stream),
            Effect::Write { proxy, stream, text } => {
                bytes += text.len();
                for command in text.split([';', '\n']).map(str::trim).filter(|command| !command.is_empty()) {
                    commands += 1;
                    let answer = match command.split(' ').next() {
                        Some("add") => "New server registered.\n",
                        Some("del") => "Server deleted.\n",
                        Some("show") if command.starts_with("show servers") => {
                            "1\n# be_name srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_check_health srv_port\n"
                        }
                        _ => "",
                    };
                    helm.answered(now, proxy, stream, answer);
                }
            }
            Effect::Close { .. } | Effect::Solve(_) | Effect::Publish(_) | Effect::Remember(_) => {}
        }
    }
    (commands, bytes)
}

/// What it costs the thread that decides to tell what is to be kept: each call of a quiet fleet with a zone that is lost,
/// and all of them for a second of it.
fn keeping(memory: bool) {
    let document = Document::new(Path::new("bench.xml"), settings(), SCHEMA).expect("sound");
    let post = DaemonConfig::read(&document).expect("sound");
    let mut helm = FleetController::new(&post, 0);
    if memory {
        helm.remember(RecoveredState::default());
    }
    helm.listed(Duration::ZERO, SystemTime::now(), roster(0, None));
    let (mut now, mut lost, mut times) = (Duration::ZERO, false, Vec::new());
    let (from, until) = (Duration::from_secs(8), Duration::from_secs(28));
    while now < until {
        if now > Duration::from_secs(18) && !std::mem::replace(&mut lost, true) {
            helm.listed(now, SystemTime::now(), roster(1, Some(1)));
        }
        let begun = Instant::now();
        let effects = helm.decide(now);
        if now > from {
            times.push(begun.elapsed());
        }
        settle(&mut helm, now, effects);
        now = helm.next_due().max(now + Duration::from_millis(1));
    }
    let sum: Duration = times.iter().sum();
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "memory {memory}: {} calls, p50 {:.1?}, p90 {:.1?}, p99 {:.1?}, {:.2?} for a second",
        times.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        sum / 20
    );
}

fn main() {
    for _ in 0..2 {
        keeping(false);
        keeping(true);
    }
    for round in 1..=5 {
        let document = Document::new(Path::new("bench.xml"), settings(), SCHEMA).expect("sound");
        let post = DaemonConfig::read(&document).expect("sound");
        let mut helm = FleetController::new(&post, 0);
        helm.listed(Duration::ZERO, SystemTime::now(), roster(0, None));
        let mut now = Duration::ZERO;
        let mut wave = |name: &str, helm: &mut FleetController, until: Duration| {
            let (mut most, mut sums) = (Duration::ZERO, (0, 0));
            while now < until {
                let begun = Instant::now();
                let effects = helm.decide(now);
                let took = begun.elapsed();
                let (commands, bytes) = settle(helm, now, effects);
                if commands > sums.0 {
                    (most, sums) = (took, (commands, bytes));
                }
                now = helm.next_due().max(now + Duration::from_millis(1));
            }
            let (commands, bytes) = sums;
            println!(
                "round {round}: {name}: {commands} commands, {bytes} bytes decided and written in {most:.1?}"
            );
        };
        wave("join", &mut helm, Duration::from_millis(100));
        wave("start", &mut helm, Duration::from_secs(7));
        helm.listed(Duration::from_secs(7), SystemTime::now(), roster(1, Some(1)));
        wave("zone lost", &mut helm, Duration::from_secs(8));
    }
}
