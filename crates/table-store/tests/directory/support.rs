//! Shared helpers: snapshot contents that can be recognized, keys, writers and readers.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use lockcroft_table_format::{Key, KeyRing, ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
use lockcroft_table_store::{ProxySnapshot, RetentionPolicy, SnapshotReader, SnapshotWriter};

pub const RETENTION: RetentionPolicy = RetentionPolicy { max_snapshots: 4, keep_earlier_epochs: false };

pub fn keys() -> KeyRing {
    KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")])
}

/// Returns two tables of this many entries, with one proxy assigned to each. All weights, admission rates and the
/// ejected endpoint are derived from the stamp, so that a mixture of two snapshots can be detected.
pub fn content(stamp: u32, entry_count: usize) -> SnapshotContent {
    let entry = |i: usize| {
        let address = format!("127.0.0.1:{}", 1000 + i).parse().expect("valid address");
        (format!("e{i}"), TableEntry { address, weight: 1 + stamp % 256 })
    };
    let table = || Table { entries: (0..entry_count).map(entry).collect() };
    let group = |number: u32| ProxyGroup {
        proxies: BTreeSet::from([format!("r{number}")]),
        assignments: BTreeMap::from([(
            "look".into(),
            ProxyAssignment { table: number, admission_per_mille: stamp % 1001, allows_retries: true },
        )]),
    };
    SnapshotContent {
        tables: (0..2).map(|number| (number, table())).collect(),
        groups: (0..2).map(|number| (number, group(number))).collect(),
        ejected: BTreeSet::from([format!("w{stamp}")]),
    }
}

pub fn writer(directory: &Path) -> SnapshotWriter {
    SnapshotWriter::acquire_epoch(directory, "p1", keys()).expect("the directory exists")
}

pub fn reader(directory: &Path, proxy: &str) -> SnapshotReader {
    SnapshotReader::new(directory, proxy, keys(), None)
}

/// Returns the stamp of a snapshot after checking that its entire content is derived from this stamp.
pub fn stamp(snapshot: &ProxySnapshot) -> u32 {
    let ejected = snapshot.ejected.first().expect("one endpoint is ejected");
    let stamp: u32 = ejected[1..].parse().expect("a number");
    let assignment = &snapshot.assignments["look"];
    assert_eq!(assignment.admission_per_mille, stamp % 1001, "admission rates of another snapshot");
    let weights = snapshot.tables[&assignment.table].entries.values().map(|entry| entry.weight);
    assert!(weights.into_iter().all(|weight| weight == 1 + stamp % 256), "weights of another snapshot");
    stamp
}

/// Scans once; returns the stamp of the last snapshot to apply, and the rejection reasons of others.
pub fn scan(reader: &mut SnapshotReader) -> (Option<u32>, Vec<String>) {
    let result = reader.scan().expect("the directory exists");
    (result.to_apply.last().map(stamp), result.rejected.into_iter().map(|rejected| rejected.reason).collect())
}
