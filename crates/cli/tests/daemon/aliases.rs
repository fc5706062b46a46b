//! Verbs that were renamed still work under their old names, with the same output.

use crate::controller_fixture::run;

/// Returns the exit code, standard output and standard error of the program with these arguments.
fn outcome(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = run(arguments);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// An unknown variant makes the program exit after it has read the complete file, before it runs the scenario.
#[test]
fn scenario_and_its_alias_rehearse_produce_the_same_output() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/mixed-fleet.xml");
    let scenario = outcome(&["scenario", file, "--way", "no such way"]);
    assert_eq!(scenario, outcome(&["rehearse", file, "--way", "no such way"]));
    assert_eq!(scenario.0, Some(2));
    assert!(scenario.2.contains("unknown way \"no such way\"; allowed: "), "{}", scenario.2);
    for option in ["--json", "--summary", "--keep", "--way", "--ways", "--search", "--at-once", "--rows"] {
        assert!(outcome(&["rehearse", "--help"]).1.contains(&format!("{option} ")), "{option}");
    }
    assert_eq!(outcome(&["scenario", "--help"]), outcome(&["rehearse", "--help"]));
}

#[test]
fn state_and_its_alias_memory_produce_the_same_output() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().display().to_string();
    let empty = outcome(&["state", "show", &path]);
    assert_eq!(empty, (Some(1), String::new(), format!("lockcroft: {path}: contains no persisted state\n")));
    assert_eq!(empty, outcome(&["memory", "show", &path]));

    // Files that an earlier version of the program wrote.
    let fixture = concat!(env!("CARGO_MANIFEST_DIR"), "/../state-store/tests/format-1");
    for command in ["show", "verify"] {
        let state = outcome(&["state", command, fixture, "--json"]);
        assert_eq!(state, outcome(&["memory", command, fixture, "--json"]));
        assert_eq!(state.0, Some(0), "{state:?}");
        assert!(state.1.starts_with('{'), "{state:?}");
    }
    assert_eq!(outcome(&["state", "--help"]), outcome(&["memory", "--help"]));
}

const SHORT_SCENARIO: &str = r#"<day length="1s">
  <terms>
    <zones><zone name="a"/></zones>
    <kinds><kind name="std"/></kinds>
    <classes><class name="look" contract-time="400ms" patience="500ms" earnings="1"/></classes>
    <fleet report-period="500ms" channel-lines-per-s="8000" queue-most-lines="12000"/>
    <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  </terms>
  <endpoints kind="std" per-zone="1" cores="1"/>
  <relays per-zone="1"/>
  <visits class="look" rate="5" work="1ms"/>
</day>"#;

/// Compares the keys of the reports, the rules and their limits; times and counts differ between runs.
#[test]
fn both_verbs_run_a_scenario_and_check_the_same_rules() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).display().to_string();
    std::fs::write(path("short.xml"), SHORT_SCENARIO).expect("written");
    let run_scenario = |verb: &str| {
        let report = path(verb);
        let (code, text, progress) = outcome(&[verb, &path("short.xml"), "--json", &report]);
        assert_eq!(code, Some(0), "{text}{progress}");
        assert!(text.ends_with("rules kept\n"), "{text}");
        let report: serde_json::Value =
            serde_json::from_str(&std::fs::read_to_string(report).expect("written")).expect("JSON");
        let keys: Vec<String> = report.as_object().expect("an object").keys().cloned().collect();
        let verdicts = report["verdicts"].as_array().expect("a list").iter();
        let rules: Vec<String> = verdicts
            .map(|verdict| format!("{} {} {}", verdict["rule"], verdict["of"], verdict["limit"]))
            .collect();
        (keys, rules)
    };
    let scenario = run_scenario("scenario");
    assert_eq!(scenario.1.len(), 9, "{scenario:?}");
    assert_eq!(scenario, run_scenario("rehearse"));
}
