//! The content of a snapshot as rows of text, for `files show` and `files diff`. Each row is understandable without
//! the others.

use lockcroft_table_format::SnapshotContent;

/// Returns the rows of the table entries, then of the assignments of each group of proxies, then of ejected endpoints.
pub fn rows(content: &SnapshotContent) -> Vec<String> {
    let mut rows = table_rows(content);
    rows.extend(assignment_rows(content));
    rows.extend(content.ejected.iter().map(|endpoint| format!("withdrawn {endpoint}")));
    rows
}

fn table_rows(content: &SnapshotContent) -> Vec<String> {
    let mut rows = Vec::new();
    for (number, table) in &content.tables {
        for (endpoint, entry) in &table.entries {
            rows.push(format!("t{number} {endpoint} {} weight {}", entry.address, entry.weight));
        }
    }
    rows
}

fn assignment_rows(content: &SnapshotContent) -> Vec<String> {
    let mut rows = Vec::new();
    for group in content.groups.values() {
        let proxies = group.proxies.iter().cloned().collect::<Vec<_>>().join(",");
        for (class, assignment) in &group.assignments {
            let table = assignment.table;
            let admission_rate = f64::from(assignment.admission_per_mille) / 1e3;
            let retries = if assignment.allows_retries { ", second tries" } else { "" };
            rows.push(format!("{class} t{table} let in {admission_rate}{retries} at {proxies}"));
        }
    }
    rows
}
