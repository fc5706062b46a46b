//! Short scenarios on real sockets, each with injected faults. Apart from explicit assertions, they check the limits of
//! the rules.

use std::path::Path;

use lockcroft_scenario::{Report, Scenario, run};
use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::controller_fixture::PROGRAM;

/// Runs a scenario whose proxies all receive their tables as commands.
fn run_scenario(seconds: u32, faults: &str) -> (Report, String) {
    run_scenario_with("commands", seconds, faults)
}

/// Runs a scenario with these faults, asserts that all rules were kept, and returns the report and the controller's log.
fn run_scenario_with(table_source: &str, seconds: u32, faults: &str) -> (Report, String) {
    let text = format!(
        r#"<day length="{seconds}s" seed="5">
        <terms>
          <zones><zone name="a"/><zone name="b"/></zones>
          <kinds><kind name="std"/></kinds>
          <classes>
            <class name="look" contract-time="600ms" patience="2s" earnings="3" effect="safe"/>
            <class name="book" contract-time="1s" patience="2s" earnings="1" effect="unsafe"/>
          </classes>
          <fleet report-period="500ms" message-delay="20ms" message-head-lines="2" messages-most="60" messages-span="10s"
            channel-lines-per-s="4000" queue-most-lines="6000" connections-least="200" shuns-after="5"/>
          <rules unserved-most="2s" drain-grace="3s" cold-share="0.3" warm-within="8s" cold-multiple="3" cold-span="2s"/>
        </terms>
        <endpoints kind="std" per-zone="3" cores="2" queue="40"/>
        <relays front="{table_source}" per-zone="2" standing="3" shuns-for="3s" try-most="1500ms"/>
        <visits class="look" rate="30" work="30ms"/>
        <visits class="book" rate="15" work="40ms"/>
        {faults}
        </day>"#
    );
    let scenario = Scenario::parse(&text).expect("a valid scenario");
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome =
        runtime.expect("a runtime").block_on(run(&scenario, Path::new(PROGRAM), folder.path(), |_| {}));
    let report = outcome.expect("the scenario ran");
    let log = std::fs::read_to_string(folder.path().join("pilot.log")).unwrap_or_default();
    assert!(
        report.all_checks_passed() && report.exit_code == Some(0),
        "{report}\nexit {:?}\n{log}",
        report.exit_code
    );
    (report, log)
}

fn any_event(report: &Report, expected: impl Fn(&TrafficEvent) -> bool) -> bool {
    report.records.iter().any(|record| expected(&record.event))
}

/// Returns the proxy, the command and the answer of each update in a run.
fn updates(report: &Report) -> impl DoubleEndedIterator<Item = (&String, &String, &String)> {
    report.records.iter().flat_map(|record| match &record.event {
        TrafficEvent::UpdateAnswered { proxy, commands } => {
            commands.iter().map(|answered| (proxy, &answered.command, &answered.answer)).collect()
        }
        _ => Vec::new(),
    })
}

/// A proxy stalls within an update batch while two endpoints are drained. It applies the drain once it resumes, as the
/// other proxies do.
#[test]
fn a_drain_reaches_a_proxy_that_stalls_within_an_update_batch() {
    let (report, log) = run_scenario(
        14,
        r#"<trouble at="7s" for="4s" kind="stall-relay" relay="r-a-1" after-commands="1"/>
           <trouble at="7.2s" kind="drain" servers="a-1 b-2"/>"#,
    );
    assert!(
        any_event(&report, |event| matches!(event, TrafficEvent::ControlStreamStalled { stalled: true, .. })),
        "the stall took place"
    );
    // The stalled proxy has the same final weight as another one.
    let last_update = |proxy: &str| {
        let sets_weight = |(receiver, command, answer): &(&String, &String, &String)| {
            *receiver == proxy && answer.is_empty() && command.contains("b-2 weight")
        };
        updates(&report).rfind(sets_weight).map(|(_, command, _)| command.clone())
    };
    assert_eq!(last_update("r-a-1"), Some("set server t0/b-2 weight 0".into()));
    assert_eq!(last_update("r-b-1"), Some("set server t0/b-2 weight 0".into()));
    // The batch number links the log events from the endpoint list to the answer of a proxy.
    let listed = log
        .lines()
        .filter(|line| line.contains("lockcroft::input: updated the endpoint list"))
        .nth(1)
        .expect("two updates of the endpoint list");
    let batch = listed.split_whitespace().find(|word| word.starts_with("wave=")).expect("a batch number");
    for text in [
        "lockcroft::action: t0: b-2 weighs 0",
        "lockcroft::update: sent update",
        "lockcroft::acknowledgement: received acknowledgement",
    ] {
        let of_batch = |line: &&str| line.contains(text) && line.split_whitespace().any(|word| word == batch);
        assert!(log.lines().any(|line| of_batch(&line)), "{text} of {batch}\n{log}");
    }
}

/// A stream breaks after the proxy applied updates and before it answered them: none of them is applied twice. Another
/// proxy restarts without its tables and receives all of them again.
#[test]
fn updates_are_not_repeated_when_a_stream_breaks_before_their_answers() {
    let (report, _) = run_scenario(
        13,
        r#"<trouble at="1s" kind="break-relay" relay="r-b-2" after-commands="3"/>
           <trouble at="8s" kind="restart-relay" relay="r-a-2"/>"#,
    );
    let break_position = report.records.iter().position(
        |record| matches!(&record.event, TrafficEvent::ControlStream { proxy, open: false } if proxy == "r-b-2"),
    );
    assert!(break_position.is_some(), "the stream broke");
    let mut added = std::collections::BTreeMap::new();
    for (proxy, command, answer) in updates(&report) {
        assert!(!answer.starts_with("Already"), "{proxy}: {command}");
        if proxy == "r-b-2" && command.starts_with("add server") {
            *added.entry(command.clone()).or_insert(0) += 1;
        }
    }
    assert!(added.len() == 6 && added.values().all(|times| *times == 1), "{added:?}");
    let assigned =
        updates(&report).filter(|(proxy, command, _)| *proxy == "r-a-2" && command.starts_with("set map"));
    assert_eq!(assigned.count(), 4, "two classes, before and after the restart");
}

/// The controller is killed. Meanwhile a zone fails; it recovers, with slow start, after the controller restarted.
#[test]
fn rules_are_kept_when_a_zone_fails_while_the_controller_is_killed() {
    let (report, _) = run_scenario(
        24,
        r#"<trouble at="7s" for="2s" kind="kill-pilot"/>
           <trouble at="8s" for="6s" kind="lose" zone="b" notice="1500ms"/>
           <trouble at="11s" for="4s" kind="lie" servers="a-1"/>"#,
    );
    assert!(
        any_event(&report, |event| matches!(event, TrafficEvent::EndpointStarted { .. })),
        "endpoints restarted"
    );
    assert!(!any_event(&report, |event| matches!(event, TrafficEvent::EndpointOverloaded { .. })));
    assert!(report.score.goodput > 0.7, "{report}");
}

/// An endpoint accepts requests and answers none, but passes its health checks; then the load exceeds the capacity.
#[test]
fn a_hung_endpoint_loses_its_requests_during_an_overload() {
    let (report, _) = run_scenario(
        20,
        r#"<trouble at="7s" for="8s" kind="hang" servers="a-2"/>
           <trouble at="11s" for="6s" kind="load" times="5"/>"#,
    );
    let arrived = |from: u64, to: u64| {
        let records = report.records.iter().filter(|record| (from..to).contains(&record.at.as_secs()));
        records
            .filter(
            |record| matches!(&record.event, TrafficEvent::RequestArrived { endpoint, .. } if endpoint == "a-2"),
        )
        .count()
    };
    assert!(arrived(5, 7) > 5, "the endpoint received requests before the fault");
    assert!(
        arrived(11, 15) < arrived(7, 11).max(10),
        "requests did not decrease: {} then {}",
        arrived(7, 11),
        arrived(11, 15)
    );
}

/// Half of the proxies read table files. An endpoint fails while the controller is killed; the controller restarts with
/// the next epoch. A proxy that reads files is restarted, and another endpoint is drained.
#[test]
fn rules_are_kept_in_a_mixed_fleet_when_the_controller_is_killed() {
    let (report, log) = run_scenario_with(
        "mixed",
        20,
        r#"<trouble at="7s" for="2s" kind="kill-pilot"/>
           <trouble at="7.5s" for="4s" kind="lose" servers="a-2" notice="1s"/>
           <trouble at="8s" kind="restart-relay" relay="r-a-2"/>
           <trouble at="16s" kind="drain" servers="b-3"/>"#,
    );
    let applied_by = |expected: &str| {
        let count = |record: &&TrafficRecord| matches!(&record.event, TrafficEvent::SnapshotApplied { proxy, .. } if proxy == expected);
        report.records.iter().filter(count).count()
    };
    assert!(
        applied_by("r-a-2") >= 4 && applied_by("r-b-2") >= 4,
        "{} and {}\n{log}",
        applied_by("r-a-2"),
        applied_by("r-b-2")
    );
    assert_eq!((applied_by("r-a-1"), applied_by("r-b-1")), (0, 0), "these receive commands");
    assert!(
        !updates(&report).any(|(proxy, command, _)| proxy.ends_with("-2") && command.contains("server")),
        "proxies that read files receive no server commands"
    );
    assert!(
        log.contains("acquired writer epoch epoch=1") && log.contains("acquired writer epoch epoch=2"),
        "{log}"
    );
}
