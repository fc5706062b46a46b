//! Compares the store with a single JSON file that is rewritten completely: the time to load the state of a fleet, and
//! to persist the changes of one second. Run with `cargo bench -p lockcroft-state-store`.

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

/// Returns all entries of a controller with 640 endpoints, 42 tables and two classes.
fn fleet_entries() -> Vec<Entry> {
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

/// Returns the entries of a second in which a tenth of the endpoints change.
fn entries_of_one_second(round: usize) -> Vec<Entry> {
    let all = fleet_entries();
    let changed = all
        .into_iter()
        .filter(|entry| matches!(entry.key, EntryKey::Endpoint(_)))
        .skip(round % 10)
        .step_by(10);
    changed.map(|entry| Entry { at_ms: entry.at_ms + round as u64, ..entry }).collect()
}

fn as_json(entries: &[Entry]) -> Value {
    entries.iter().map(|entry| json!({"at": entry.at_ms, "key": format!("{:?}", entry.key), "what": format!("{:?}", entry.value)})).collect()
}

fn print_times(name: &str, mut times: Vec<Duration>, bytes: u64) {
    times.sort();
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!("{name:56} p50 {:>9.1?}  p99 {:>9.1?}  {bytes:>8} bytes", quantile(0.5), quantile(0.99));
}

/// Runs `work` and adds its duration to `times`.
fn timed(times: &mut Vec<Duration>, work: impl FnOnce()) {
    let started = Instant::now();
    work();
    times.push(started.elapsed());
}

fn main() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let (mut store, _) =
        Store::open(DirectoryStorage::open_exclusive(directory.path()).expect("not locked"), identity())
            .expect("opened");
    store.append(&fleet_entries()).expect("written");
    store.rotate().expect("rotated");
    let (mut appended, mut flushed) = (vec![], vec![]);
    let before = store.bytes();
    for round in 0..ROUNDS {
        let entries = entries_of_one_second(round);
        timed(&mut appended, || store.append(&entries).expect("written"));
        timed(&mut flushed, || store.flush().expect("flushed"));
    }
    let bytes_per_round = (store.bytes() - before) as u64 / ROUNDS as u64;
    print_times("append 64 changes", appended, bytes_per_round);
    print_times("flush them", flushed, 0);
    drop(store);
    let (mut loaded, mut recovered) = (vec![], vec![]);
    let settings = RecoverySettings {
        report_period: Duration::from_secs(2),
        slow_start_window: Duration::from_secs(10),
    };
    let mut bytes = 0;
    for _ in 0..ROUNDS {
        let mut state = None;
        timed(&mut loaded, || {
            state = Some(
                load(&DirectoryStorage::open_read_only(directory.path()), &identity()).expect("valid state"),
            )
        });
        let state = state.expect("loaded");
        bytes = state.bytes;
        timed(&mut recovered, || drop(recover_state(&state.state, 1_800_000_060_000, &settings)));
    }
    print_times("load 640 endpoints, 84 admission rates, 640 capacities", loaded, bytes);
    print_times("recover the state from them", recovered, 0);
    let path = directory.path().join("plain.json");
    let all = fleet_entries();
    let (mut rewritten, mut read) = (vec![], vec![]);
    for _ in 0..ROUNDS {
        timed(&mut rewritten, || {
            let mut file = File::create(&path).expect("created");
            file.write_all(as_json(&all).to_string().as_bytes()).expect("written");
            file.sync_all().expect("flushed");
        });
        timed(&mut read, || {
            drop(
                serde_json::from_slice::<Value>(&fs::read(&path).expect("readable file"))
                    .expect("valid JSON"),
            )
        });
    }
    let bytes = fs::metadata(&path).expect("existing file").len();
    print_times("rewrite and flush a JSON file with all entries", rewritten, bytes);
    print_times("read the JSON file", read, bytes);
}
