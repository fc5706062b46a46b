//! Tests of variants of a scenario and of the variants of a search.

use lockcroft_scenario::{Scenario, search_variants};

const SCENARIO: &str = r#"<day length="5s">
  <terms><kinds><kind name="old"/><kind name="new" cores="4"/></kinds><rules cold-share="0.25"/><solver every="2s"/></terms>
  <endpoints kind="old" per-zone="1" cores="1"/><endpoints kind="new" per-zone="1" cores="4" zones="a b"/>
  <relays per-zone="1"/><visits class="look" rate="1" work="1ms"/>
  <way name="plain" without="solver" set="rules/fixed-weights=true kinds/new/cores=8 kinds/old/cores=1 rules/cold-share=" weights="old=0.5"/>
  <search kind="old" weights="0.25 0.5"/><search kind="new" weights="1 2 3"/>
</day>"#;

#[test]
fn a_variant_changes_only_the_settings_that_it_names() {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    let plain = scenario.with_variant(&scenario.variants[0]).expect("all elements and machine types exist");
    let settings: String = plain.settings.split_whitespace().collect::<Vec<_>>().join(" ");
    let expected = r#"<kinds><kind cores="1" name="old"/><kind name="new" cores="8"/></kinds> <rules fixed-weights="true" />"#;
    assert_eq!(settings, expected);
    assert_eq!(plain.endpoints.iter().map(|group| group.weight).collect::<Vec<_>>(), [0.5, 1.0]);
    assert_eq!(scenario.endpoints[1].zones, ["a", "b"]);
    assert!(scenario.settings.contains("<solver"), "the scenario itself is unchanged");
}

#[test]
fn a_search_has_a_variant_for_each_combination_of_weights() {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    let names: Vec<String> =
        search_variants(&scenario.search_spaces).into_iter().map(|variant| variant.name).collect();
    let expected = [
        "old=0.25 new=1",
        "old=0.25 new=2",
        "old=0.25 new=3",
        "old=0.5 new=1",
        "old=0.5 new=2",
        "old=0.5 new=3",
    ];
    assert_eq!(names, expected);
}

#[test]
fn a_variant_with_an_unknown_element_or_an_invalid_weight_is_rejected() {
    let mut scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    scenario.variants[0].without = vec!["limits".into()];
    let error = scenario.with_variant(&scenario.variants[0]).unwrap_err().to_string();
    assert_eq!(error, "variant \"plain\": the settings have no element limits ");
    let error = Scenario::parse(&SCENARIO.replace("old=0.5\"", "old=no\"")).unwrap_err().to_string();
    assert!(error.contains("\"old=no\"") && error.contains("kind=weight"), "{error}");
}
