//! Short days on real sockets, each with the faults that it is meant for. Judged by the rules'
//! limits, not by times.

use std::path::Path;

use lockcroft_scenario::{Report, Scenario, play};
use lockcroft_testbed::TrafficEvent;

use crate::help::PROGRAM;

fn day(seconds: u32, troubles: &str) -> (Report, String) {
    day_through("commands", seconds, troubles)
}

fn day_through(front: &str, seconds: u32, troubles: &str) -> (Report, String) {
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
        <relays front="{front}" per-zone="2" standing="3" shuns-for="3s" try-most="1500ms"/>
        <visits class="look" rate="30" work="30ms"/>
        <visits class="book" rate="15" work="40ms"/>
        {troubles}
        </day>"#
    );
    let day = Scenario::parse(&text).expect("a sound day");
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = runtime.expect("a runtime").block_on(play(&day, Path::new(PROGRAM), folder.path(), |_| {}));
    let report = played.expect("the day was played");
    let log = std::fs::read_to_string(folder.path().join("pilot.log")).unwrap_or_default();
    assert!(report.kept() && report.exit == Some(0), "{report}\nexit {:?}\n{log}", report.exit);
    (report, log)
}

fn some(report: &Report, wanted: impl Fn(&TrafficEvent) -> bool) -> bool {
    report.records.iter().any(|record| wanted(&record.what))
}

/// All orders of a day: relay, command, answer.
fn orders(report: &Report) -> impl DoubleEndedIterator<Item = (&String, &String, &String)> {
    report.records.iter().flat_map(|record| match &record.what {
        TrafficEvent::Set { relay, orders } => orders.iter().map(|(c, a)| (relay, c, a)).collect(),
        _ => Vec::new(),
    })
}

/// A relay stops half way through a batch while a server drains in the midst of it; the others go on.
#[test]
fn a_stalled_relay_and_a_drain_in_mid_batch() {
    let (report, log) = day(
        14,
        r#"<trouble at="7s" for="4s" kind="stall-relay" relay="r-a-1" after-commands="1"/>
           <trouble at="7.2s" kind="drain" servers="a-1 b-2"/>"#,
    );
    assert!(
        some(&report, |what| matches!(what, TrafficEvent::Stalled { on: true, .. })),
        "the stall took place"
    );
    // The relay comes to the right tables once it goes on.
    let last = |relay: &str| {
        let of = |(at, command, answer): &(&String, &String, &String)| {
            *at == relay && answer.is_empty() && command.contains("b-2 weight")
        };
        orders(&report).rfind(of).map(|(_, command, _)| command.clone())
    };
    assert_eq!(last("r-a-1"), Some("set server t0/b-2 weight 0".into()));
    assert_eq!(last("r-b-1"), Some("set server t0/b-2 weight 0".into()));
    // From the list to the proxy's answer by the number of the wave.
    let listed =
        log.lines().filter(|line| line.contains("lockcroft::input: listed")).nth(1).expect("listed twice");
    let wave = listed.split_whitespace().find(|word| word.starts_with("wave=")).expect("a wave");
    for said in [
        "lockcroft::action: t0: b-2 weighs 0",
        "lockcroft::update: sent",
        "lockcroft::acknowledgement: answered",
    ] {
        let of_wave = |line: &&str| line.contains(said) && line.split_whitespace().any(|word| word == wave);
        assert!(log.lines().any(|line| of_wave(&line)), "{said} of {wave}\n{log}");
    }
}

/// A stream breaks after orders were carried out and before they were answered: none of them takes
/// effect a second time. Another relay starts anew and gets all it lost.
#[test]
fn broken_between_order_and_answer() {
    let (report, _) = day(
        13,
        r#"<trouble at="1s" kind="break-relay" relay="r-b-2" after-commands="3"/>
           <trouble at="8s" kind="restart-relay" relay="r-a-2"/>"#,
    );
    let broke = report.records.iter().position(
        |record| matches!(&record.what, TrafficEvent::Stream { relay, open: false } if relay == "r-b-2"),
    );
    assert!(broke.is_some(), "the stream broke");
    let mut added = std::collections::BTreeMap::new();
    for (relay, command, answer) in orders(&report) {
        assert!(!answer.starts_with("Already"), "{relay}: {command}");
        if relay == "r-b-2" && command.starts_with("add server") {
            *added.entry(command.clone()).or_insert(0) += 1;
        }
    }
    assert!(added.len() == 6 && added.values().all(|times| *times == 1), "{added:?}");
    let bound =
        orders(&report).filter(|(relay, command, _)| *relay == "r-a-2" && command.starts_with("set map"));
    assert_eq!(bound.count(), 4, "two classes, before and after the restart");
}

/// The pilot is killed; while it is away a zone dies, and comes back cold after it returned.
#[test]
fn a_killed_pilot_and_a_lost_zone() {
    let (report, _) = day(
        24,
        r#"<trouble at="7s" for="2s" kind="kill-pilot"/>
           <trouble at="8s" for="6s" kind="lose" zone="b" notice="1500ms"/>
           <trouble at="11s" for="4s" kind="lie" servers="a-1"/>"#,
    );
    assert!(some(&report, |what| matches!(what, TrafficEvent::Started { .. })), "they came back");
    assert!(!some(&report, |what| matches!(what, TrafficEvent::Fell { .. })));
    assert!(report.score.whole > 0.7, "{report}");
}

/// A server takes visits and answers none, while its health call goes on; the rest is overloaded.
#[test]
fn a_hung_server_and_an_overload() {
    let (report, _) = day(
        20,
        r#"<trouble at="7s" for="8s" kind="hang" servers="a-2"/>
           <trouble at="11s" for="6s" kind="load" times="5"/>"#,
    );
    let sent = |from: u64, to: u64| {
        let here = report.records.iter().filter(|record| (from..to).contains(&record.at.as_secs()));
        here.filter(
            |record| matches!(&record.what, TrafficEvent::Arrived { endpoint, .. } if endpoint == "a-2"),
        )
        .count()
    };
    assert!(sent(5, 7) > 5, "it had its share");
    assert!(sent(11, 15) < sent(7, 11).max(10), "and lost it: {} then {}", sent(7, 11), sent(11, 15));
}

/// Half of the relays read files. A server dies while the pilot is killed, which starts again with the next epoch; one that
/// reads is started anew, and another server drains.
#[test]
fn a_fleet_of_both_fronts_through_a_killed_pilot() {
    let (report, log) = day_through(
        "mixed",
        20,
        r#"<trouble at="7s" for="2s" kind="kill-pilot"/>
           <trouble at="7.5s" for="4s" kind="lose" servers="a-2" notice="1s"/>
           <trouble at="8s" kind="restart-relay" relay="r-a-2"/>
           <trouble at="16s" kind="drain" servers="b-3"/>"#,
    );
    let laid = |wanted: &str| {
        let count = |record: &&lockcroft_testbed::TrafficRecord| matches!(&record.what, TrafficEvent::Laid { relay, .. } if relay == wanted);
        report.records.iter().filter(count).count()
    };
    assert!(laid("r-a-2") >= 4 && laid("r-b-2") >= 4, "{} and {}\n{log}", laid("r-a-2"), laid("r-b-2"));
    assert_eq!((laid("r-a-1"), laid("r-b-1")), (0, 0), "those are ordered");
    assert!(
        !orders(&report).any(|(relay, order, _)| relay.ends_with("-2") && order.contains("server")),
        "nobody who reads is ordered"
    );
    assert!(
        log.contains("epoch of files taken epoch=1") && log.contains("epoch of files taken epoch=2"),
        "{log}"
    );
}
