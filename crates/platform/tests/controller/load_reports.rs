//! Parsing of load reports of endpoints.

use lockcroft_platform::parse_load_report;

#[test]
fn the_load_is_parsed_under_both_names() {
    for (report, expected) in [
        ("busy=0", Some(0.0)),
        ("inflight=7,queue=2,util=0.61", Some(0.61)),
        ("rif=7, busy=0.97\n", Some(0.97)),
        ("busy=-1", None),
        ("busy=NaN", None),
        ("busy=", None),
        ("busybody=1", None),
        ("", None),
    ] {
        assert_eq!(parse_load_report(report), expected, "{report:?}");
    }
}
