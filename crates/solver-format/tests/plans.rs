//! Reads and writes problem files, and writes solutions as text, JSON and SVG.

use std::path::Path;

use expect_test::expect;
use lockcroft_config::Document;
use lockcroft_solver::solve;
use lockcroft_solver_format::{
    NamedProblem, SCHEMA, problem_xml, solution_json, solution_svg, solution_text,
};

const PROBLEM: &str = include_str!("../../../examples/problem.xml");

fn read(text: &str) -> Result<NamedProblem, String> {
    let document = Document::new(Path::new("problem.xml"), text.into(), SCHEMA);
    document.and_then(|document| NamedProblem::read(&document)).map_err(|errors| errors.to_string())
}

#[test]
fn text_and_json_state_the_shed_requests_and_the_load_of_each_endpoint() {
    let named = read(PROBLEM).expect("valid problem");
    let solution = solve(&named.problem).expect("valid problem");
    expect![[r#"
        objective 1145.18 per second: value 1157.81, less crossing cost 7.72, less latency cost 4.92
        class recent-calls: 100.0% admitted
        class period-history: 55.6% admitted
        class export: 0.0% admitted
        class period-history: 62.2 requests per second shed; needs 5.55 more cores than the 23.00 that it may use; competing classes: recent-calls
        class export: 10.0 requests per second shed; needs 2.29 more cores than the 4.00 that it may use; competing classes: recent-calls, period-history
        endpoint                      cores weight   load   utilized equal weight
        athens-1                       2.00     60   1.75        88%         256%
        athens-2                       8.00    239   7.00        88%          64%
        athens-3                       1.00    119   0.88        88%         512%
        patra-1                        4.00    119   3.50        88%         178%
        patra-2                        8.00    256   7.50        94%          64%
        patra-3                        0.00      0   0.00          -            -
    "#]].assert_eq(&solution_text(&named, &solution).to_string());
    let json = solution_json(&named, &solution);
    assert_eq!(json["dropped"][0]["class"], "period-history");
    assert_eq!(json["tables"].as_array().map(Vec::len), Some(6));
    assert_eq!(json["servers"][4]["weight"], 256);
}

#[test]
fn a_written_problem_is_read_back_unchanged() {
    let named = read(PROBLEM).expect("valid problem");
    assert_eq!(read(&problem_xml(&named)).expect("valid problem"), named);
}

#[test]
fn errors_state_the_line_and_the_allowed_values() {
    let unknown_zone = PROBLEM.replace(
        "<demand zone=\"patra\" visits-per-s=\"10\"/>",
        "<demand zone=\"corinth\" visits-per-s=\"10\"/>",
    );
    let repeated_name = PROBLEM.replace("name=\"patra-2\"", "name=\"patra-1\"");
    let negative_cores = PROBLEM.replace("cores=\"2\"", "cores=\"-2\"");
    let mut errors = String::new();
    for text in [unknown_zone, repeated_name, negative_cores] {
        errors += &(read(&text).expect_err("invalid problem") + "\n");
    }
    expect![[r#"
        problem.xml:21: /problem/classes/class/demand: zone "corinth" is not listed; allowed: athens, patra
        problem.xml:10: /problem/servers/server: patra-1 is listed twice; allowed: each name once
        problem.xml:6: /problem/servers/server: attribute cores: "-2" does not fit; allowed: a number of 0 or more
    "#]].assert_eq(&errors);
}

#[test]
fn the_chart_shows_overload_before_solving_and_none_after() {
    let named = read(PROBLEM).expect("valid problem");
    let solution = solve(&named.problem).expect("valid problem");
    let svg = solution_svg(&named, &solution).expect("drawn");
    let (above, below) = svg.split_once("as solved").expect("two charts");
    let red = |chart: &str| chart.matches("#FF0000").count();
    assert!(red(above) > 0 && red(below) == 0, "{} above, {} below", red(above), red(below));
}
