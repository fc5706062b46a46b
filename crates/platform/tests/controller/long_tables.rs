//! Tables that exceed the maximum length of a line.

use serde_json::Value;

use crate::harness::{Harness, entry, list};

#[test]
fn a_table_too_long_for_a_line_is_sent_in_parts_of_one_message() {
    let mut harness = Harness::without_endpoints();
    let names: Vec<String> = (0..3000).map(|at| format!("s-{at}-{}", "long".repeat(100))).collect();
    let entries: Vec<Value> = names.iter().map(|name| entry(name, "up", 0)).collect();
    harness.update_list(&list(1, true, &entries));
    harness.attach(1, 3, true);
    let trace = harness.run_to(6.0);
    let parts: Vec<Value> = trace
        .lines()
        .filter_map(|line| line.split_once("< "))
        .map(|(_, part)| {
            assert!(part.len() < 1 << 20, "{} bytes in a line", part.len());
            serde_json::from_str(part).expect("a part")
        })
        .collect();
    let entries_sent: usize =
        parts.iter().filter_map(|part| part["endpoints"].as_array()).map(Vec::len).sum();
    assert_eq!(entries_sent, 3000);
    assert!(parts.len() > 1 && parts[0]["full"] == true);
    let (last, others) = parts.split_last().expect("parts");
    assert!(others.iter().all(|part| part["continued"] == true && part["nonce_out"].is_null()));
    assert!(others[1..].iter().all(|part| part["full"].is_null()));
    assert!(last["continued"].is_null() && last["nonce_out"] == 0);
}
