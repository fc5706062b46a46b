//! A day in several ways.

use lockcroft_scenario::{Scenario, search};

const DAY: &str = r#"<day length="5s">
  <terms><kinds><kind name="old"/><kind name="new" cores="4"/></kinds><rules cold-share="0.25"/><solver every="2s"/></terms>
  <endpoints kind="old" per-zone="1" cores="1"/><endpoints kind="new" per-zone="1" cores="4" zones="a b"/>
  <relays per-zone="1"/><visits class="look" rate="1" work="1ms"/>
  <way name="plain" without="solver" set="rules/fixed-weights=true kinds/new/cores=8 kinds/old/cores=1 rules/cold-share=" weights="old=0.5"/>
  <search kind="old" weights="0.25 0.5"/><search kind="new" weights="1 2 3"/>
</day>"#;

#[test]
fn a_way_changes_what_it_names_and_nothing_else() {
    let day = Scenario::parse(DAY).expect("a sound day");
    let plain = day.in_way(&day.ways[0]).expect("all that it names is there");
    let terms: String = plain.terms.split_whitespace().collect::<Vec<_>>().join(" ");
    let expected = r#"<kinds><kind cores="1" name="old"/><kind name="new" cores="8"/></kinds> <rules fixed-weights="true" />"#;
    assert_eq!(terms, expected);
    assert_eq!(plain.endpoints.iter().map(|like| like.weight).collect::<Vec<_>>(), [0.5, 1.0]);
    assert_eq!(day.endpoints[1].zones, ["a", "b"]);
    assert!(day.terms.contains("<solver"), "the day itself stays");
}

#[test]
fn a_search_tries_every_choice() {
    let day = Scenario::parse(DAY).expect("a sound day");
    let names: Vec<String> = search(&day.tries).into_iter().map(|way| way.name).collect();
    let all = [
        "old=0.25 new=1",
        "old=0.25 new=2",
        "old=0.25 new=3",
        "old=0.5 new=1",
        "old=0.5 new=2",
        "old=0.5 new=3",
    ];
    assert_eq!(names, all);
}

#[test]
fn a_way_that_names_what_is_not_there_says_so() {
    let mut day = Scenario::parse(DAY).expect("a sound day");
    day.ways[0].without = vec!["limits".into()];
    assert_eq!(day.in_way(&day.ways[0]).unwrap_err(), "way \"plain\": the terms have no limits ");
    let wrong = Scenario::parse(&DAY.replace("old=0.5\"", "old=no\"")).unwrap_err().to_string();
    assert!(wrong.contains("\"old=no\"") && wrong.contains("kind=weight"), "{wrong}");
}
