//! The store against one JSON file rewritten whole: a fleet's memory loaded, and a second's worth of changes kept.
//! `cargo bench -p lockcroft-state-store`

use std::fs::{self, File};
use std::io::Write;
use std::time::{Duration, Instant};

use lockcroft_state_store::{
    AgeingRules, DirectoryStorage, EndpointNote, Entry, EntryValue, Key, Store, StoreIdentity, age, load,
};
use serde_json::{Value, json};

const SERVERS: usize = 640;
const TABLES: u32 = 42;
const ROUNDS: usize = 60;

fn owner() -> StoreIdentity {
    StoreIdentity::of("p", ["a", "gen3", "look"].into_iter())
}

/// Everything that a pilot of 640 servers, 42 tables and two classes keeps.
fn fleet() -> Vec<Entry> {
    let server = |i: usize| {
        let note = EndpointNote {
            zone: ["a", "b", "c", "d"][i % 4].into(),
            kind: "gen3".into(),
            counter: Some(4),
            relief: 1.0,
            ..EndpointNote::default()
        };
        let name = format!("server-{i:04}");
        [
            Entry {
                at_ms: 1_800_000_000_000,
                key: Key::Server(name.clone()),
                what: EntryValue::Server(note),
            },
            Entry { at_ms: 1_800_000_000_000, key: Key::Size(name), what: EntryValue::Size(2.05) },
        ]
    };
    let level = |table: u32| {
        ["look", "book"].map(|class| Entry {
            at_ms: 1_800_000_000_000,
            key: Key::Level(class.into(), table),
            what: EntryValue::Level(1.0),
        })
    };
    (0..SERVERS).flat_map(server).chain((0..TABLES).flat_map(level)).collect()
}

/// A busy second: a tenth of the servers move.
fn second(round: usize) -> Vec<Entry> {
    let all = fleet();
    let some =
        all.into_iter().filter(|entry| matches!(entry.key, Key::Server(_))).skip(round % 10).step_by(10);
    some.map(|entry| Entry { at_ms: entry.at_ms + round as u64, ..entry }).collect()
}

fn as_json(entries: &[Entry]) -> Value {
    entries.iter().map(|entry| json!({"at": entry.at_ms, "key": format!("{:?}", entry.key), "what": format!("{:?}", entry.what)})).collect()
}

fn say(name: &str, mut times: Vec<Duration>, bytes: u64) {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("{name:52} p50 {:>9.1?}  p99 {:>9.1?}  {bytes:>8} bytes", at(0.5), at(0.99));
}

fn timed(into: &mut Vec<Duration>, work: impl FnOnce()) {
    let begun = Instant::now();
    work();
    into.push(begun.elapsed());
}

fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) =
        Store::open(DirectoryStorage::hold(folder.path()).expect("held"), owner()).expect("opened");
    store.append(&fleet()).expect("written");
    store.begin().expect("begun");
    let (mut appended, mut flushed) = (vec![], vec![]);
    let before = store.bytes();
    for round in 0..ROUNDS {
        let entries = second(round);
        timed(&mut appended, || store.append(&entries).expect("written"));
        timed(&mut flushed, || store.flush().expect("flushed"));
    }
    let each = (store.bytes() - before) as u64 / ROUNDS as u64;
    say("64 changes appended", appended, each);
    say("and flushed", flushed, 0);
    drop(store);
    let (mut loaded, mut aged) = (vec![], vec![]);
    let rules = AgeingRules { report_period: Duration::from_secs(2), warm_within: Duration::from_secs(10) };
    let mut bytes = 0;
    for _ in 0..ROUNDS {
        let mut state = None;
        timed(&mut loaded, || {
            state = Some(load(&DirectoryStorage::look(folder.path()), &owner()).expect("sound"))
        });
        let state = state.expect("loaded");
        bytes = state.bytes;
        timed(&mut aged, || drop(age(&state.state, 1_800_000_060_000, &rules)));
    }
    say("640 servers, 84 levels, 640 sizes loaded", loaded, bytes);
    say("and aged", aged, 0);
    let path = folder.path().join("plain.json");
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
    say("one JSON file rewritten whole and flushed", rewritten, bytes);
    say("and read", read, bytes);
}
