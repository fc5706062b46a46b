//! Tests that elements and attributes of scenario files are read into their fields.

use std::time::Duration;

use lockcroft_proxy::LoadBalancingPolicy;
use lockcroft_scenario::{FaultKind, Scenario, TableSource};

const SCENARIO: &str = r#"<day length="90s" seed="7" log="debug">
  <terms><zones><zone name="a"/></zones></terms>
  <endpoints kind="k" per-zone="2" cores="3" speed="1.5" weight="0.5" zones="a b" queue="9" turn-away-work="2ms"/>
  <endpoints kind="l" per-zone="1" cores="1"/>
  <relays per-zone="4" standing="5" shuns-for="3s" try-most="800ms" way="pair" front="mixed" second-share="0.25"
    outstanding-most="6" waiting-most="7"/>
  <visits class="c" rate="30" work="20ms" comes-again="2"/>
  <trouble at="8s" for="3s" kind="slow" servers="e f" zone="z" relay="r" times="4" after-commands="3" notice="2s" command="show info"/>
  <trouble at="1s" kind="hang"/>
</day>"#;

#[test]
fn attributes_are_read_into_their_fields() {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    assert_eq!(
        (scenario.duration, scenario.seed, scenario.log_levels.as_str()),
        (Duration::from_secs(90), 7, "debug")
    );
    assert_eq!(scenario.settings, "<zones><zone name=\"a\"/></zones>\n");
    let explicit = &scenario.endpoints[0];
    assert_eq!(
        (explicit.machine_type.as_str(), explicit.per_zone, explicit.cores, explicit.speed),
        ("k", 2, 3, 1.5)
    );
    assert_eq!(
        (explicit.weight, explicit.max_queued, explicit.rejection_work),
        (0.5, 9, Duration::from_millis(2))
    );
    assert_eq!(explicit.zones, ["a", "b"]);
    let with_defaults = &scenario.endpoints[1];
    assert_eq!(
        (with_defaults.speed, with_defaults.weight, with_defaults.max_queued, with_defaults.rejection_work),
        (1.0, 1.0, 64, Duration::ZERO)
    );
    let proxies = &scenario.proxies;
    assert_eq!(
        (proxies.per_zone, proxies.default_table_entries, proxies.table_source),
        (4, 5, TableSource::Mixed)
    );
    assert_eq!(
        (proxies.ejection_time, proxies.attempt_timeout),
        (Some(Duration::from_secs(3)), Some(Duration::from_millis(800)))
    );
    assert!(
        matches!(proxies.policy, Some(policy) if policy != LoadBalancingPolicy::SmoothWeightedRoundRobin)
    );
    assert_eq!(
        (proxies.retry_ratio, proxies.max_in_flight, proxies.max_queued_requests),
        (Some(0.25), Some(6), Some(7))
    );
    let load = &scenario.load[0];
    assert_eq!(
        (load.class.as_str(), load.rate, load.work, load.max_client_retries),
        ("c", 30.0, Duration::from_millis(20), 2)
    );
}

#[test]
fn faults_are_sorted_by_time() {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    let [first, second] = &scenario.faults[..] else { panic!("two faults") };
    assert_eq!((first.at, first.duration, first.kind), (Duration::from_secs(1), None, FaultKind::Hang));
    assert_eq!((first.factor, first.after_commands, first.notice_delay), (1.0, 1, Duration::from_secs(1)));
    assert_eq!(
        (second.at, second.duration, second.kind),
        (Duration::from_secs(8), Some(Duration::from_secs(3)), FaultKind::Slow)
    );
    assert_eq!((second.factor, second.after_commands, second.notice_delay), (4.0, 3, Duration::from_secs(2)));
    assert_eq!(
        (&second.endpoints[..], second.zone.as_deref()),
        (&["e".to_string(), "f".to_string()][..], Some("z"))
    );
    assert_eq!((second.proxy.as_deref(), second.command.as_str()), (Some("r"), "show info"));
}

/// The words are printed while a scenario runs.
#[test]
fn fault_kinds_are_read_and_printed_by_their_words() {
    let words = [
        ("hang", "Hang"),
        ("errors", "Errors"),
        ("slow", "Slow"),
        ("refuse", "Refuse"),
        ("lose", "Lose"),
        ("drain", "Drain"),
        ("lie", "Lie"),
        ("stall-relay", "StallRelay"),
        ("break-relay", "BreakRelay"),
        ("restart-relay", "RestartRelay"),
        ("kill-pilot", "KillPilot"),
        ("load", "Load"),
        ("ask", "Ask"),
    ];
    for (kind, word) in words {
        let text = SCENARIO.replace("kind=\"hang\"", &format!("kind=\"{kind}\""));
        let scenario = Scenario::parse(&text).expect("a valid scenario");
        assert_eq!(scenario.faults[0].kind.to_string(), word);
    }
}
