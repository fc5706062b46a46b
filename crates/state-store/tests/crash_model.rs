//! Crash tests: run the store on a model of a disk that distinguishes flushed from unflushed changes. The machine may
//! stop at each storage operation, with any part of the unflushed changes stored. The state that is loaded afterwards
//! has to be that after a prefix of the entries, which includes all acknowledged ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use lockcroft_state_store::{Entry, EntryKey, EntryValue, State, Storage, Store, StoreIdentity, load};

/// The bytes of a file, and the number of them that are flushed.
#[derive(Clone, Default)]
struct File {
    flushed: usize,
    bytes: Vec<u8>,
}

/// A change of the directory's names, with the index of a file or with file names.
#[derive(Clone)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
    Removed(String),
}

/// Model of a machine with a disk.
#[derive(Clone, Default)]
struct Model {
    files: Vec<File>,
    /// Indexes of the files by their current names.
    names: BTreeMap<String, usize>,
    /// The names at the last directory sync.
    synced_names: BTreeMap<String, usize>,
    /// The name changes since the last directory sync, in order.
    unsynced_changes: Vec<NameChange>,
    /// Number of storage operations so far.
    steps: usize,
    /// The step at which the machine stops.
    stop_at: Option<usize>,
    /// The only step that fails while the machine continues to run.
    fail_at: Option<usize>,
    is_stopped: bool,
}

fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
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
    /// Counts a step. Returns true if it succeeds, false if it is the one that fails, and an error once the machine has
    /// stopped.
    fn step(&self) -> io::Result<bool> {
        let mut model = self.0.borrow_mut();
        let step = model.steps;
        model.steps += 1;
        if model.is_stopped || model.stop_at == Some(step) {
            model.is_stopped = true;
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
        let succeeds = self.step();
        let mut model = self.0.borrow_mut();
        // A write that fails or is interrupted by the stop writes half of the bytes.
        let written =
            if succeeds.as_ref().is_ok_and(|succeeds| *succeeds) { bytes.len() } else { bytes.len() / 2 };
        let file = match model.names.get(name).copied() {
            Some(file) => file,
            None => {
                model.files.push(File::default());
                let file = model.files.len() - 1;
                model.names.insert(name.into(), file);
                model.unsynced_changes.push(NameChange::Created(name.into(), file));
                file
            }
        };
        model.files[file].bytes.extend_from_slice(&bytes[..written]);
        if succeeds? { Ok(()) } else { Err(storage_full()) }
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        let succeeds = self.step()?;
        let mut model = self.0.borrow_mut();
        let file = *model.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        if !succeeds {
            // A failed flush may lose the unflushed bytes, and the next flush succeeds without them, as on Linux.
            let flushed = model.files[file].flushed;
            model.files[file].bytes.truncate(flushed);
            return Err(io::Error::other("unflushed bytes lost"));
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
        model.unsynced_changes.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(storage_full());
        }
        let mut model = self.0.borrow_mut();
        let change = NameChange::Renamed(from.into(), to.into());
        apply(&mut model.names, &change);
        model.unsynced_changes.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(storage_full());
        }
        let mut model = self.0.borrow_mut();
        let change = NameChange::Removed(name.into());
        apply(&mut model.names, &change);
        model.unsynced_changes.push(change);
        Ok(())
    }
}

/// Returns the disks that may be found after a crash: any subset of the unsynced name changes is stored, and of each
/// file the flushed bytes with none, half, all but one, or all of the unflushed ones.
fn possible_disks(model: &Model) -> Vec<Model> {
    let mut disks = Vec::new();
    for mask in 0..1_u32 << model.unsynced_changes.len() {
        let mut names = model.synced_names.clone();
        for (index, change) in model.unsynced_changes.iter().enumerate() {
            if mask & (1 << index) != 0 {
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
            disks.push(Model { files, synced_names: names.clone(), names, ..Model::default() });
        }
    }
    disks
}

fn identity() -> StoreIdentity {
    StoreIdentity { controller: "p".into(), fleet_digest: 7 }
}

/// Returns the entry of this number, which has one of three keys and a value derived from the number.
fn entry(number: u64) -> Entry {
    let key = EntryKey::AdmissionRate(format!("class-{}", number % 3), 0);
    Entry { at_ms: number, key, value: EntryValue::AdmissionRate(1.0 / (1.0 + number as f64)) }
}

/// Returns the state after each prefix of the entries, starting with the empty prefix.
fn states(initial: &State, entries: &[Entry]) -> Vec<State> {
    let mut states = vec![initial.clone()];
    for entry in entries {
        let mut state = states[states.len() - 1].clone();
        state.insert(entry.key.clone(), (entry.at_ms, entry.value.clone()));
        states.push(state);
    }
    states
}

/// Opens the store, appends two entries and flushes, appends one, rotates, appends two and flushes, and appends the
/// last one without a flush. Returns the appended entries and the number of them that were acknowledged by a flush.
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

/// Checks that each possible disk loads as the state after a prefix of the entries that includes all acknowledged ones.
/// Returns the number of disks that were checked.
fn check(model: &Model, states: &[State], acknowledged: usize) -> usize {
    let disks = possible_disks(model);
    for disk in &disks {
        let storage = ModelStorage(Rc::new(RefCell::new(disk.clone())));
        let loaded = load(&storage, &identity()).expect("readable state of this identity");
        let prefix = states.iter().rposition(|state| *state == loaded.state);
        let prefix = prefix.unwrap_or_else(|| panic!("not the state after any prefix: {:?}", loaded.state));
        assert!(prefix >= acknowledged, "{acknowledged} entries were acknowledged, {prefix} were loaded");
    }
    disks.len()
}

#[test]
fn every_crash_leaves_a_prefix_with_all_acknowledged_entries() {
    let without_faults = ModelStorage::default();
    run(&without_faults, 0);
    let steps = without_faults.0.borrow().steps;
    let mut crashes = 0;
    let mut second_crashes = 0;
    for stop_at in 0..=steps {
        let storage = ModelStorage::default();
        storage.0.borrow_mut().stop_at = Some(stop_at);
        let (appended, acknowledged) = run(&storage, 0);
        let states_after_prefixes = states(&State::new(), &appended);
        crashes += check(&storage.0.borrow(), &states_after_prefixes, acknowledged);
        // A second run is started on some of these disks and is stopped as well.
        for disk in possible_disks(&storage.0.borrow()).into_iter().step_by(211) {
            let first_state =
                load(&ModelStorage(Rc::new(RefCell::new(disk.clone()))), &identity()).expect("loaded").state;
            for second in (0..steps).step_by(5) {
                let storage =
                    ModelStorage(Rc::new(RefCell::new(Model { stop_at: Some(second), ..disk.clone() })));
                let (appended, acknowledged) = run(&storage, 100);
                second_crashes += check(&storage.0.borrow(), &states(&first_state, &appended), acknowledged);
            }
        }
    }
    println!("{steps} steps, {crashes} disks checked after a crash, {second_crashes} after a second one");
    assert!(crashes > 300 && second_crashes > 5_000);
}

/// Each step fails in turn, and the disk works again after it: entries that are acknowledged later have to be stored.
#[test]
fn the_store_recovers_from_every_single_failure() {
    let without_faults = ModelStorage::default();
    run(&without_faults, 0);
    let steps = without_faults.0.borrow().steps;
    for fail_at in 0..steps {
        let storage = ModelStorage::default();
        storage.0.borrow_mut().fail_at = Some(fail_at);
        let (appended, acknowledged) = run(&storage, 0);
        let states = states(&State::new(), &appended);
        check(&storage.0.borrow(), &states, acknowledged);
        assert!(
            acknowledged > 0 || appended.is_empty(),
            "one of the two flushes has to succeed: step {fail_at}"
        );
    }
}

/// Checks the model itself: it has to detect a store that acknowledges entries before it flushes them.
#[test]
fn the_model_finds_entries_acknowledged_without_a_flush() {
    let storage = ModelStorage::default();
    let (mut store, _) = Store::open(storage.clone(), identity()).expect("opened");
    store.append(&[entry(1)]).expect("written");
    let states = states(&State::new(), &[entry(1)]);
    let checked =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| check(&storage.0.borrow(), &states, 1)));
    assert!(checked.is_err(), "an entry that is not stored was counted as acknowledged");
}

/// Runs a writer on a disk until it is stopped at a step. Returns two of the disks that may be found after that: the
/// one with all changes stored, and one without the last name change or, if there is none, with half of the unflushed
/// bytes.
fn disks_after(disk: &Model, stop_at: usize, first: u64) -> Vec<Model> {
    let storage = ModelStorage(Rc::new(RefCell::new(Model { stop_at: Some(stop_at), ..disk.clone() })));
    run(&storage, first);
    let disks = possible_disks(&storage.0.borrow());
    let every = (disks.len() / 2).max(1);
    disks.into_iter().rev().step_by(every).collect()
}

/// Opens the store without a fault; returns the state that is loaded after that, and the warnings.
fn start_without_faults(disk: &Model) -> (State, Vec<String>) {
    let storage = ModelStorage(Rc::new(RefCell::new(disk.clone())));
    drop(Store::open(storage.clone(), identity()).expect("opened"));
    let loaded = load(&storage, &identity()).expect("loaded");
    (loaded.state, loaded.warnings)
}

/// Guards against a writer that appends to a partial file of a killed writer, also if several were killed in a row.
#[test]
fn a_complete_start_after_three_crashes_leaves_no_corrupt_file() {
    /// Number of steps within which a start ends; later steps are those of appending.
    const START_STEPS: usize = 8;
    let without_faults = ModelStorage::default();
    run(&without_faults, 0);
    let steps = without_faults.0.borrow().steps;
    let mut starts = 0;
    for first in (0..=steps).step_by(7) {
        for after_first in disks_after(&Model::default(), first, 0) {
            for second in 0..START_STEPS {
                for after_second in disks_after(&after_first, second, 100) {
                    for third in 0..START_STEPS {
                        for after_third in disks_after(&after_second, third, 200) {
                            let storage = ModelStorage(Rc::new(RefCell::new(after_third.clone())));
                            let before = load(&storage, &identity()).expect("loaded").state;
                            assert_eq!(
                                start_without_faults(&after_third),
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
