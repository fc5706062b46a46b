//! Measures the time to write, read and acknowledge a snapshot, on the disk of the given directory or, by default, of
//! the system's temporary directory. Run with `cargo bench -p lockcroft-table-store -- /srv/tables`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use lockcroft_table_format::{
    Key, KeyRing, ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry, proto,
};
use lockcroft_table_store::{RetentionPolicy, SnapshotReader, SnapshotWriter, write_status};

const RETENTION: RetentionPolicy = RetentionPolicy { max_snapshots: 4, keep_earlier_epochs: false };

/// Returns `tables` tables of `entries` entries each, with `proxies` proxies assigned to each table.
fn content(tables: u32, entries: usize, proxies: u32, weight: u32) -> SnapshotContent {
    let entry = |table: u32| {
        move |i: usize| {
            let address =
                format!("10.{}.{}.{}:8101", table % 256, i / 256, i % 256).parse().expect("valid address");
            (format!("server-{table}-{i}"), TableEntry { address, weight })
        }
    };
    let table = |number: u32| (number, Table { entries: (0..entries).map(entry(number)).collect() });
    let group = |number: u32| {
        let assignment = ProxyAssignment { table: number, admission_per_mille: 1000, allows_retries: true };
        let assignments = ["look", "book"].map(|class| (class.to_string(), assignment)).into();
        let names: BTreeSet<String> = (0..proxies).map(|i| format!("r-{number}-{i}")).collect();
        (number, ProxyGroup { proxies: names, assignments })
    };
    SnapshotContent {
        tables: (0..tables).map(table).collect(),
        groups: (0..tables).map(group).collect::<BTreeMap<_, _>>(),
        ejected: BTreeSet::new(),
    }
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!("  {name:44} p50 {:>9.1?}  p99 {:>9.1?}", quantile(0.5), quantile(0.99));
}

fn main() {
    let base = std::env::args().nth(1).filter(|argument| !argument.starts_with('-')).map(PathBuf::from);
    let base = base.unwrap_or_else(std::env::temp_dir);
    for (tables, entries, proxies) in [(1, 15, 20), (42, 15, 20), (1, 600, 20), (1, 10_000, 20)] {
        let directory = tempfile::tempdir_in(&base).expect("temporary directory");
        let keys = || KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")]);
        let mut writer =
            SnapshotWriter::acquire_epoch(directory.path(), "p", keys()).expect("epoch acquired");
        let mut readers: Vec<SnapshotReader> = (0..8)
            .map(|i| SnapshotReader::new(directory.path(), &format!("r-{}-{i}", tables - 1), keys(), None))
            .collect();
        println!("{tables} tables of {entries} entries, {proxies} proxies on each");
        let (mut writes, mut first, mut updates, mut idle, mut statuses) =
            (vec![], vec![], vec![], vec![], vec![]);
        let mut bytes = 0;
        for round in 0..40_u32 {
            let content = content(tables, entries, proxies, 1 + round % 256);
            let timed = |into: &mut Vec<Duration>, work: &mut dyn FnMut()| {
                let started = Instant::now();
                work();
                into.push(started.elapsed());
            };
            timed(&mut writes, &mut || bytes = writer.write(&content, RETENTION).expect("written").bytes);
            for (number, reader) in readers.iter_mut().enumerate() {
                let into = if round == 0 { &mut first } else { &mut updates };
                timed(into, &mut || assert_eq!(reader.scan().expect("scanned").to_apply.len(), 1));
                timed(&mut idle, &mut || drop(reader.scan().expect("scanned")));
                let status = proto::Status::for_proxy(&format!("r{number}"));
                timed(&mut statuses, &mut || write_status(directory.path(), &status).expect("written"));
            }
        }
        println!("  bytes written with every table changed       {bytes}");
        print_times("write, flush and publish a snapshot", writes);
        print_times("first scan of a reader", first);
        print_times("scan that finds a new snapshot", updates);
        print_times("scan that finds nothing new", idle);
        print_times("write a status file", statuses);
    }
}
