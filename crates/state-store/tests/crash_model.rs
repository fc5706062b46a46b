//! Every crash of a small run: the real store on a model of a disk that remembers what was flushed and what was not.
//! The machine may stop at each step, with any part of the unflushed changes stored. Whatever is found then has to be the
//! state after a prefix of the entries, which includes all acknowledged ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use lockcroft_state_store::{Entry, EntryKey, EntryValue, State, Storage, Store, StoreIdentity, load};

/// A file: its bytes, and how many of them were flushed.
#[derive(Clone, Default)]
struct File {
    flushed: usize,
    bytes: Vec<u8>,
}

#[derive(Clone)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
    Removed(String),
}

#[derive(Clone, Default)]
struct Model {
    files: Vec<File>,
    /// The names now, the names at the last directory sync, and the changes between the two.
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    pending: Vec<NameChange>,
    steps: usize,
    /// The step at which the machine stops, and the one step that fails.
    stop_at: Option<usize>,
    fail_at: Option<usize>,
    stopped: bool,
}

/// Applies a name change that may not have been synced.
fn apply(names: &mut BTreeMap<String, usize>, name: &NameChange) {
    match name {
        NameChange::Created(name, file) => drop(names.insert(name.clone(), *file)),
        NameChange::Renamed(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        NameChange::Removed(name) => drop(names.remove(name)),
    }
}

#[derive(Clone, Default)]
struct ModelStorage(Rc<RefCell<Model>>);

impl ModelStorage {
    /// Counts a step and returns whether it succeeds; an error once the machine has stopped.
    fn step(&self) -> io::Result<bool> {
        let mut model = self.0.borrow_mut();
        let step = model.steps;
        model.steps += 1;
        if model.stopped || model.stop_at == Some(step) {
            model.stopped = true;
            return Err(io::Error::other("stopped"));
        }
        if model.fail_at == Some(step) {
            return Ok(false);
        }
        Ok(true)
    }
}

fn storage_full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

impl Storage for ModelStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let model = self.0.borrow();
        let file = model.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(model.files[*file].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let done = self.step();
        let mut model = self.0.borrow_mut();
        // A write that fails or is cut off by the stop has written a part.
        let part = if done.as_ref().is_ok_and(|done| *done) { bytes.len() } else { bytes.len() / 2 };
        let file = match model.names.get(name).copied() {
            Some(file) => file,
            None => {
                model.files.push(File::default());
                let file = model.files.len() - 1;
                model.names.insert(name.into(), file);
                model.pending.push(NameChange::Created(name.into(), file));
                file
            }
        };
        model.files[file].bytes.extend_from_slice(&bytes[..part]);
        if done? { Ok(()) } else { Err(storage_full()) }
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        let done = self.step()?;
        let mut model = self.0.borrow_mut();
        let file = *model.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        if !done {
            // A failed flush may have lost the bytes, and the next flush succeeds without them, as on Linux.
            let flushed = model.files[file].flushed;
            model.files[file].bytes.truncate(flushed);
            return Err(io::Error::other("lost"));
        }
        model.files[file].flushed = model.files[file].bytes.len();
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if !self.step()? {
            return Err(storage_full());
        }
        let mut model = self.0.borrow_mut();
        model.synced_names = model.names.clone();
        model.pending.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(storage_full());
        }
        let mut model = self.0.borrow_mut();
        let change = NameChange::Renamed(from.into(), to.into());
        apply(&mut model.names, &change);
        model.pending.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(storage_full());
        }
        let mut model = self.0.borrow_mut();
        let change = NameChange::Removed(name.into());
        apply(&mut model.names, &change);
        model.pending.push(change);
        Ok(())
    }
}

/// Every disk that may be found after a crash: each unsynced name change made or not, and of each file the flushed bytes
/// with none, half, all but one, or all of the others.
fn possible_disks(model: &Model) -> Vec<Model> {
    let mut found = Vec::new();
    for mask in 0..1_u32 << model.pending.len() {
        let mut names = model.synced_names.clone();
        for (place, change) in model.pending.iter().enumerate() {
            if mask & (1 << place) != 0 {
                apply(&mut names, change);
            }
        }
        for choice in 0..4 {
            let mut files = model.files.clone();
            for file in &mut files {
                let unflushed = file.bytes.len() - file.flushed;
                let surviving = [0, unflushed / 2, unflushed.saturating_sub(1), unflushed][choice];
                file.bytes.truncate(file.flushed + surviving);
                file.flushed = file.bytes.len();
            }
            let names = names.clone();
            found.push(Model { files, synced_names: names.clone(), names, ..Model::default() });
        }
    }
    found
}

fn identity() -> StoreIdentity {
    StoreIdentity { controller: "p".into(), fleet_digest: 7 }
}

/// An entry of the run, for one of three keys.
fn entry(number: u64) -> Entry {
    let key = EntryKey::AdmissionRate(format!("class-{}", number % 3), 0);
    Entry { at_ms: number, key, value: EntryValue::AdmissionRate(1.0 / (1.0 + number as f64)) }
}

/// The states after none, one, two … of the entries.
fn states(from: &State, entries: &[Entry]) -> Vec<State> {
    let mut states = vec![from.clone()];
    for entry in entries {
        let mut state = states[states.len() - 1].clone();
        state.insert(entry.key.clone(), (entry.at_ms, entry.value.clone()));
        states.push(state);
    }
    states
}

/// Appends two entries and flushes, appends one, starts a new number, appends two and flushes, appends the last without
/// a flush. Returns what was appended and how many entries of it were acknowledged.
fn run(storage: &ModelStorage, first: u64) -> (Vec<Entry>, usize) {
    let mut appended = Vec::new();
    let mut acknowledged = 0;
    let Ok((mut store, _)) = Store::open(storage.clone(), identity()) else { return (appended, 0) };
    for step in 0..9 {
        match step {
            2 | 7 => {
                if store.flush().is_ok() {
                    acknowledged = appended.len();
                }
            }
            4 => drop(store.rotate()),
            _ => {
                let entry = entry(first + step);
                appended.push(entry.clone());
                let _ = store.append(&[entry]);
            }
        }
    }
    (appended, acknowledged)
}

/// Checks that every possible disk loads as the state after a prefix of the entries which includes all acknowledged ones;
/// returns how many disks were checked.
fn check(model: &Model, states: &[State], acknowledged: usize) -> usize {
    let disks = possible_disks(model);
    for disk in &disks {
        let storage = ModelStorage(Rc::new(RefCell::new(disk.clone())));
        let loaded = load(&storage, &identity()).expect("own and readable");
        let prefix = states.iter().rposition(|state| *state == loaded.state);
        let prefix = prefix.unwrap_or_else(|| panic!("not the state after any prefix: {:?}", loaded.state));
        assert!(prefix >= acknowledged, "{acknowledged} were acknowledged, {prefix} are there");
    }
    disks.len()
}

#[test]
fn every_crash_leaves_a_prefix_with_all_acknowledged_entries() {
    let undisturbed = ModelStorage::default();
    run(&undisturbed, 0);
    let steps = undisturbed.0.borrow().steps;
    let mut crashes = 0;
    let mut second_crashes = 0;
    for stop_at in 0..=steps {
        let storage = ModelStorage::default();
        storage.0.borrow_mut().stop_at = Some(stop_at);
        let (appended, acknowledged) = run(&storage, 0);
        let after = states(&State::new(), &appended);
        crashes += check(&storage.0.borrow(), &after, acknowledged);
        // A second run starts on some of these disks and is stopped as well.
        for found in possible_disks(&storage.0.borrow()).into_iter().step_by(211) {
            let first_state =
                load(&ModelStorage(Rc::new(RefCell::new(found.clone()))), &identity()).expect("sound").state;
            for second in (0..steps).step_by(5) {
                let storage =
                    ModelStorage(Rc::new(RefCell::new(Model { stop_at: Some(second), ..found.clone() })));
                let (appended, acknowledged) = run(&storage, 100);
                second_crashes += check(&storage.0.borrow(), &states(&first_state, &appended), acknowledged);
            }
        }
    }
    println!("{steps} steps, {crashes} disks found after a crash, {second_crashes} after a second one");
    assert!(crashes > 300 && second_crashes > 5_000);
}

/// One step fails, each in turn, and the disk works again after it: what is acknowledged later is stored.
#[test]
fn every_single_failure_is_recovered_from() {
    let undisturbed = ModelStorage::default();
    run(&undisturbed, 0);
    let steps = undisturbed.0.borrow().steps;
    for fail_at in 0..steps {
        let storage = ModelStorage::default();
        storage.0.borrow_mut().fail_at = Some(fail_at);
        let (appended, acknowledged) = run(&storage, 0);
        let states = states(&State::new(), &appended);
        check(&storage.0.borrow(), &states, acknowledged);
        assert!(
            acknowledged > 0 || appended.is_empty(),
            "the second flush succeeds if the first did not: step {fail_at}"
        );
    }
}

/// Guards the model itself: it has to find a store that acknowledges before it flushes.
#[test]
fn the_model_finds_entries_acknowledged_without_a_flush() {
    let storage = ModelStorage::default();
    let (mut store, _) = Store::open(storage.clone(), identity()).expect("opened");
    store.append(&[entry(1)]).expect("written");
    let states = states(&State::new(), &[entry(1)]);
    let checked =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| check(&storage.0.borrow(), &states, 1)));
    assert!(checked.is_err(), "one entry counted as acknowledged and is not stored");
}

/// A writer that is stopped, on a disk; some of the disks that may be found after that: the barest, the fullest and one
/// between.
fn disks_after(found: &Model, stop_at: usize, first: u64) -> Vec<Model> {
    let storage = ModelStorage(Rc::new(RefCell::new(Model { stop_at: Some(stop_at), ..found.clone() })));
    run(&storage, first);
    let disks = possible_disks(&storage.0.borrow());
    let every = (disks.len() / 2).max(1);
    disks.into_iter().rev().step_by(every).collect()
}

/// What a whole start leaves: the state, and what it warns of.
fn whole_start(found: &Model) -> (State, Vec<String>) {
    let storage = ModelStorage(Rc::new(RefCell::new(found.clone())));
    drop(Store::open(storage.clone(), identity()).expect("opened"));
    let loaded = load(&storage, &identity()).expect("sound");
    (loaded.state, loaded.warnings)
}

/// Guards against a writer that adds to what a killed one has left, also where several were killed in a row.
#[test]
fn a_whole_start_after_three_crashes_leaves_nothing_to_warn_of() {
    /// Steps in which a start ends: later ones are those of appending.
    const START_STEPS: usize = 8;
    let undisturbed = ModelStorage::default();
    run(&undisturbed, 0);
    let steps = undisturbed.0.borrow().steps;
    let mut starts = 0;
    for first in (0..=steps).step_by(7) {
        for one in disks_after(&Model::default(), first, 0) {
            for second in 0..START_STEPS {
                for two in disks_after(&one, second, 100) {
                    for third in 0..START_STEPS {
                        for three in disks_after(&two, third, 200) {
                            let storage = ModelStorage(Rc::new(RefCell::new(three.clone())));
                            let before = load(&storage, &identity()).expect("sound").state;
                            assert_eq!(
                                whole_start(&three),
                                (before, vec![]),
                                "stopped at {first}, {second}, {third}"
                            );
                            starts += 1;
                        }
                    }
                }
            }
        }
    }
    println!("{starts} starts after three crashes");
    assert!(starts > 2_000);
}
