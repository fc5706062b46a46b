//! Configuration files: the mapping of attributes to settings, and the errors for invalid files.

use std::path::Path;

use expect_test::{Expect, expect};
use lockcroft_config::{DaemonConfig, Document, SCHEMA};

const VALID: &str = r#"<lockcroft>
  <pilot name="p1" seed="9"/>
  <runtime><listen address="unix:/tmp/p1.sock" level="admin"/></runtime>
  <zones><zone name="north"/><zone name="south"/></zones>
  <kinds><kind name="std"/></kinds>
  <classes>
    <class name="look-up" contract-time="600ms" patience="2s" earnings="3" only-zones="south"/>
  </classes>
  <fleet report-period="1s" channel-lines-per-s="8000" queue-most-lines="12000" messages-span="10s"/>
  <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  <proxies><proxy name="r1" zone="north" address="127.0.0.1:4001" visits-per-s="6.5"/></proxies>
  <roster>
    <server name="e1" zone="north" kind="std" address="127.0.0.1:5001"/>
  </roster>
</lockcroft>
"#;

fn read(text: &str) -> Result<DaemonConfig, String> {
    let document = Document::new(Path::new("pilot.xml"), text.into(), SCHEMA);
    document.and_then(|document| DaemonConfig::read(&document)).map_err(|errors| errors.to_string())
}

#[test]
fn attributes_are_read_into_the_settings() {
    let config = read(VALID).expect("a valid configuration");
    assert_eq!((config.name.as_str(), config.seed, config.proxies[0].request_rate), ("p1", 9, 6.5));
    let settings = &config.settings;
    for (name, setting, expected) in [
        ("report-period", settings.fleet.report_period.as_secs_f64(), 1.0),
        ("queue-most-lines", settings.fleet.max_queued_entries, 12_000.0),
        ("proxies", settings.fleet.proxies.unwrap_or(0.0), 1.0),
        ("contract-time", settings.classes[0].latency_objective.as_secs_f64(), 0.6),
        ("earnings", settings.classes[0].value, 3.0),
        ("cold-share", settings.rules.initial_weight_fraction, 0.25),
        ("unserved-most", settings.rules.max_time_without_endpoints.as_secs_f64(), 2.0),
    ] {
        assert_eq!(setting, expected, "{name}");
    }
    assert_eq!(settings.classes[0].only_zones, Some(vec![1]));
    assert!(settings.health_checks_allowed);
}

/// Replaces a part of the valid configuration and compares the errors.
fn assert_errors(from: &str, to: &str, expected: Expect) {
    assert!(VALID.contains(from), "{from}");
    expected.assert_eq(&read(&VALID.replace(from, to)).expect_err("an invalid configuration"));
}

#[test]
fn errors_state_the_location_the_message_and_the_allowed_values() {
    assert_errors(
        r#""600ms""#,
        r#""600""#,
        expect![
            "pilot.xml:7: /lockcroft/classes/class: attribute contract-time: \"600\" does not fit; allowed: a time with its unit (us, ms, s, min, h), such as 500ms"
        ],
    );
    assert_errors(
        "<pilot name",
        "<pilot nmae",
        expect![
            "pilot.xml:2: /lockcroft/pilot: Attribute 'nmae' is not allowed for this element; allowed: attributes name, seed, answer-within, redial-least, redial-most"
        ],
    );
    assert_errors(
        "level=\"admin\"",
        "level=\"root\"",
        expect![
            "pilot.xml:3: /lockcroft/runtime/listen: attribute level: \"root\" does not fit; allowed: one of user, operator, admin"
        ],
    );
    assert_errors(
        "<kinds><kind name=\"std\"/></kinds>",
        "<kinds><sort/></kinds>",
        expect![[r#"
        pilot.xml:5: /lockcroft/kinds: Element 'sort' is not allowed at this position in the content model; allowed: elements kind
        pilot.xml:5: /lockcroft/kinds: Element 'kinds' content model is incomplete: expected more child elements; allowed: elements kind"#]],
    );
    assert_errors(
        "cold-share=\"0.25\"",
        "cold-share=\"1.5\"",
        expect![
            "pilot.xml:10: /lockcroft/rules: attribute cold-share: \"1.5\" does not fit; allowed: a fraction above 0 and up to 1"
        ],
    );
    assert_errors(
        " drain-grace=\"2s\"",
        "",
        expect![
            "pilot.xml:10: /lockcroft/rules: Required attribute 'drain-grace' is missing; allowed: attributes unserved-most, drain-grace, cold-share, warm-within, cold-multiple, cold-span, only-draining-binds, fixed-weights"
        ],
    );
    assert_errors(
        "</lockcroft>",
        "",
        expect!["pilot.xml:1: not well-formed: the root node was opened but never closed"],
    );
    assert_errors(
        "only-zones=\"south\"",
        "only-zones=\"west\"",
        expect![
            "pilot.xml:7: /lockcroft/classes/class: only-zones: \"west\" is not listed; allowed: north, south"
        ],
    );
    assert_errors(
        "patience=\"2s\"",
        "patience=\"500ms\"",
        expect![
            "pilot.xml:7: /lockcroft/classes/class: contract-time 600ms is longer than patience 500ms; allowed: contract-time up to patience"
        ],
    );
    assert_errors(
        "zone=\"north\" kind",
        "zone=\"nort\" kind",
        expect!["pilot.xml:13: /lockcroft/roster/server: unknown zone \"nort\"; allowed: north, south"],
    );
    assert_errors(
        "5001\"/>",
        "5001\" weight=\"2\"/>",
        expect![
            "pilot.xml:13: /lockcroft/roster/server: weight 2 is too large; allowed: up to 1, the fleet's weight-most"
        ],
    );
    assert_errors(
        "5001\"/>",
        "5001\" started=\"2026-12-01T08:00:00+02:00\"/>",
        expect![
            "pilot.xml:13: /lockcroft/roster/server: started: timestamp format is invalid; allowed: a time in UTC such as 2026-12-01T08:30:00Z"
        ],
    );
    assert_errors(
        "127.0.0.1:4001",
        "127.0.0.1:99999",
        expect![
            "pilot.xml:11: /lockcroft/proxies/proxy: \"127.0.0.1:99999\" is neither unix:PATH nor IP:PORT"
        ],
    );
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let duplicate_zone = VALID.replace("<zone name=\"south\"/>", "<zone name=\"north\"/>");
    let errors = read(&duplicate_zone).expect_err("an invalid configuration");
    assert_eq!(errors.lines().count(), 2, "{errors}");
    assert!(
        errors.contains("north is listed twice") && errors.contains("\"south\" is not listed"),
        "{errors}"
    );
}
