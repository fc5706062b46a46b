//! Contents to write, keys, and a folder.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use lockcroft_table_format::{Key, KeyRing, ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
use lockcroft_table_store::{AppliedSnapshot, RetentionPolicy, SnapshotReader, SnapshotWriter};

pub const KEEP: RetentionPolicy = RetentionPolicy { generations: 4, earlier_epochs: false };

pub fn keys() -> KeyRing {
    KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")])
}

/// Two tables of so many lines, whose weights all say the stamp, and a proxy on each.
pub fn content(stamp: u32, lines: usize) -> SnapshotContent {
    let line = |i: usize| {
        let address = format!("127.0.0.1:{}", 1000 + i).parse().expect("an address");
        (format!("e{i}"), TableEntry { address, weight: 1 + stamp % 256 })
    };
    let table = || Table { lines: (0..lines).map(line).collect() };
    let group = |number: u32| ProxyGroup {
        proxies: BTreeSet::from([format!("r{number}")]),
        bound: BTreeMap::from([(
            "look".into(),
            ProxyAssignment { table: number, level: stamp % 1001, again: true },
        )]),
    };
    SnapshotContent {
        tables: (0..2).map(|number| (number, table())).collect(),
        groups: (0..2).map(|number| (number, group(number))).collect(),
        withdrawn: BTreeSet::from([format!("w{stamp}")]),
    }
}

pub fn writer(folder: &Path) -> SnapshotWriter {
    SnapshotWriter::take(folder, "p1", keys()).expect("the folder is there")
}

pub fn reader(folder: &Path, proxy: &str) -> SnapshotReader {
    SnapshotReader::new(folder, proxy, keys(), None)
}

/// The stamp of what was laid; all that it says has to be of one generation.
pub fn stamp(mine: &AppliedSnapshot) -> u32 {
    let withdrawn = mine.withdrawn.first().expect("one is withdrawn");
    let stamp: u32 = withdrawn[1..].parse().expect("a stamp");
    let bound = &mine.bound["look"];
    assert_eq!(bound.level, stamp % 1001, "levels of another generation");
    let weights = mine.tables[&bound.table].lines.values().map(|line| line.weight);
    assert!(weights.into_iter().all(|weight| weight == 1 + stamp % 256), "lines of another generation");
    stamp
}

/// What a look lays last, and why it refuses what it refuses.
pub fn look(reader: &mut SnapshotReader) -> (Option<u32>, Vec<String>) {
    let looked = reader.look().expect("the folder is there");
    (looked.lay.last().map(stamp), looked.refused.into_iter().map(|refused| refused.why).collect())
}
