//! The store against one JSON file that is rewritten whole: loading a fleet's state, and persisting one second of changes.
//! `cargo bench -p lockcroft-state-store`

use std::fs::{self, File};
use std::io::Write;
use std::time::{Duration, Instant};

use lockcroft_state_store::{
    DirectoryStorage, Entry, EntryKey, EntryValue, RecordedEndpoint, RecoverySettings, Store, StoreIdentity,
    load, recover_state,
};
use serde_json::{Value, json};

const ENDPOINTS: usize = 640;
const TABLES: u32 = 42;
const ROUNDS: usize = 60;

fn identity() -> StoreIdentity {
    StoreIdentity::from_names("p", ["a", "gen3", "look"].into_iter())
}

/// The entries of a controller with 640 endpoints, 42 tables and two classes.
fn fleet() -> Vec<Entry> {
    let endpoint = |i: usize| {
        let value = RecordedEndpoint {
            zone: ["a", "b", "c", "d"][i % 4].into(),
            machine_type: "gen3".into(),
            health_counter: Some(4),
            weight_factor: 1.0,
            ..RecordedEndpoint::default()
        };
        let name = format!("server-{i:04}");
        [
            Entry {
                at_ms: 1_800_000_000_000,
                key: EntryKey::Endpoint(name.clone()),
                value: EntryValue::Endpoint(value),
            },
            Entry {
                at_ms: 1_800_000_000_000,
                key: EntryKey::Capacity(name),
                value: EntryValue::Capacity(2.05),
            },
        ]
    };
    let admission = |table: u32| {
        ["look", "book"].map(|class| Entry {
            at_ms: 1_800_000_000_000,
            key: EntryKey::AdmissionRate(class.into(), table),
            value: EntryValue::AdmissionRate(1.0),
        })
    };
    (0..ENDPOINTS).flat_map(endpoint).chain((0..TABLES).flat_map(admission)).collect()
}

/// A busy second: a tenth of the endpoints change.
fn second(round: usize) -> Vec<Entry> {
    let all = fleet();
    let some = all
        .into_iter()
        .filter(|entry| matches!(entry.key, EntryKey::Endpoint(_)))
        .skip(round % 10)
        .step_by(10);
    some.map(|entry| Entry { at_ms: entry.at_ms + round as u64, ..entry }).collect()
}

fn as_json(entries: &[Entry]) -> Value {
    entries.iter().map(|entry| json!({"at": entry.at_ms, "key": format!("{:?}", entry.key), "what": format!("{:?}", entry.value)})).collect()
}

fn print_times(name: &str, mut times: Vec<Duration>, bytes: u64) {
    times.sort();
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!("{name:52} p50 {:>9.1?}  p99 {:>9.1?}  {bytes:>8} bytes", quantile(0.5), quantile(0.99));
}

fn timed(into: &mut Vec<Duration>, work: impl FnOnce()) {
    let started = Instant::now();
    work();
    into.push(started.elapsed());
}

fn main() {
    let directory = tempfile::tempdir().expect("a directory");
    let (mut store, _) =
        Store::open(DirectoryStorage::open_exclusive(directory.path()).expect("held"), identity())
            .expect("opened");
    store.append(&fleet()).expect("written");
    store.rotate().expect("rotated");
    let (mut appended, mut flushed) = (vec![], vec![]);
    let before = store.bytes();
    for round in 0..ROUNDS {
        let entries = second(round);
        timed(&mut appended, || store.append(&entries).expect("written"));
        timed(&mut flushed, || store.flush().expect("flushed"));
    }
    let each = (store.bytes() - before) as u64 / ROUNDS as u64;
    print_times("64 changes appended", appended, each);
    print_times("and flushed", flushed, 0);
    drop(store);
    let (mut loaded, mut aged) = (vec![], vec![]);
    let rules = RecoverySettings {
        report_period: Duration::from_secs(2),
        slow_start_window: Duration::from_secs(10),
    };
    let mut bytes = 0;
    for _ in 0..ROUNDS {
        let mut state = None;
        timed(&mut loaded, || {
            state =
                Some(load(&DirectoryStorage::open_read_only(directory.path()), &identity()).expect("sound"))
        });
        let state = state.expect("loaded");
        bytes = state.bytes;
        timed(&mut aged, || drop(recover_state(&state.state, 1_800_000_060_000, &rules)));
    }
    print_times("640 servers, 84 levels, 640 sizes loaded", loaded, bytes);
    print_times("and aged", aged, 0);
    let path = directory.path().join("plain.json");
    let all = fleet();
    let (mut rewritten, mut read) = (vec![], vec![]);
    for _ in 0..ROUNDS {
        timed(&mut rewritten, || {
            let mut file = File::create(&path).expect("made");
            file.write_all(as_json(&all).to_string().as_bytes()).expect("written");
            file.sync_all().expect("flushed");
        });
        timed(&mut read, || {
            drop(serde_json::from_slice::<Value>(&fs::read(&path).expect("there")).expect("sound"))
        });
    }
    let bytes = fs::metadata(&path).expect("there").len();
    print_times("one JSON file rewritten whole and flushed", rewritten, bytes);
    print_times("and read", read, bytes);
}
