//! Every crash of a small run: the real store on a disk that remembers what was flushed and what was not. At each
//! step it may stop, with every part of what was not flushed there or not; whatever is found then has to be the state after some
//! of the entries, in their order, and after all that were acknowledged.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use lockcroft_state_store::{Entry, EntryValue, Key, State, Storage, Store, StoreIdentity, load};

/// A file: what is safe of it, and what was written.
#[derive(Clone, Default)]
struct File {
    safe: usize,
    bytes: Vec<u8>,
}

#[derive(Clone)]
enum Name {
    Made(String, usize),
    Renamed(String, String),
    Removed(String),
}

#[derive(Clone, Default)]
struct Model {
    files: Vec<File>,
    /// As they are, as they are safe, and what lies between.
    names: BTreeMap<String, usize>,
    safe_names: BTreeMap<String, usize>,
    pending: Vec<Name>,
    steps: usize,
    /// The step at which the machine stops, or at which the disk says no once.
    stop: Option<usize>,
    refuse: Option<usize>,
    stopped: bool,
}

/// What of an unflushed name change is there.
fn apply(names: &mut BTreeMap<String, usize>, name: &Name) {
    match name {
        Name::Made(name, file) => drop(names.insert(name.clone(), *file)),
        Name::Renamed(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        Name::Removed(name) => drop(names.remove(name)),
    }
}

#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Model>>);

impl Shared {
    /// Counts a step; how it goes.
    fn step(&self) -> io::Result<bool> {
        let mut model = self.0.borrow_mut();
        let step = model.steps;
        model.steps += 1;
        if model.stopped || model.stop == Some(step) {
            model.stopped = true;
            return Err(io::Error::other("stopped"));
        }
        if model.refuse == Some(step) {
            return Ok(false);
        }
        Ok(true)
    }
}

fn refused() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

impl Storage for Shared {
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
        // One that stops or is refused has written a part.
        let part = if done.as_ref().is_ok_and(|done| *done) { bytes.len() } else { bytes.len() / 2 };
        let file = match model.names.get(name).copied() {
            Some(file) => file,
            None => {
                model.files.push(File::default());
                let file = model.files.len() - 1;
                model.names.insert(name.into(), file);
                model.pending.push(Name::Made(name.into(), file));
                file
            }
        };
        model.files[file].bytes.extend_from_slice(&bytes[..part]);
        if done? { Ok(()) } else { Err(refused()) }
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        let done = self.step()?;
        let mut model = self.0.borrow_mut();
        let file = *model.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        if !done {
            // A flush that failed may have lost what it was for, and the next one says that all is well.
            let safe = model.files[file].safe;
            model.files[file].bytes.truncate(safe);
            return Err(io::Error::other("lost"));
        }
        model.files[file].safe = model.files[file].bytes.len();
        Ok(())
    }

    fn flush_names(&mut self) -> io::Result<()> {
        if !self.step()? {
            return Err(refused());
        }
        let mut model = self.0.borrow_mut();
        model.safe_names = model.names.clone();
        model.pending.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(refused());
        }
        let mut model = self.0.borrow_mut();
        let change = Name::Renamed(from.into(), to.into());
        apply(&mut model.names, &change);
        model.pending.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if !self.step()? {
            return Err(refused());
        }
        let mut model = self.0.borrow_mut();
        let change = Name::Removed(name.into());
        apply(&mut model.names, &change);
        model.pending.push(change);
        Ok(())
    }
}

/// Every disk that may be found after a crash: each name that was not flushed changed or not, and of each file what
/// was flushed with none, half, all but a byte, or all of the rest.
fn found(model: &Model) -> Vec<Model> {
    let mut found = Vec::new();
    for mask in 0..1_u32 << model.pending.len() {
        let mut names = model.safe_names.clone();
        for (place, change) in model.pending.iter().enumerate() {
            if mask & (1 << place) != 0 {
                apply(&mut names, change);
            }
        }
        for way in 0..4 {
            let mut files = model.files.clone();
            for file in &mut files {
                let open = file.bytes.len() - file.safe;
                let kept = [0, open / 2, open.saturating_sub(1), open][way];
                file.bytes.truncate(file.safe + kept);
                file.safe = file.bytes.len();
            }
            let names = names.clone();
            found.push(Model { files, safe_names: names.clone(), names, ..Model::default() });
        }
    }
    found
}

fn owner() -> StoreIdentity {
    StoreIdentity { pilot: "p".into(), fleet: 7 }
}

/// The entries of the run, on three keys.
fn entry(number: u64) -> Entry {
    let key = Key::Level(format!("class-{}", number % 3), 0);
    Entry { at_ms: number, key, what: EntryValue::Level(1.0 / (1.0 + number as f64)) }
}

/// States after none, one, two … of the entries.
fn states(from: &State, entries: &[Entry]) -> Vec<State> {
    let mut states = vec![from.clone()];
    for entry in entries {
        let mut state = states[states.len() - 1].clone();
        state.insert(entry.key.clone(), (entry.at_ms, entry.what.clone()));
        states.push(state);
    }
    states
}

/// Two entries, flushed; one more, a new number, two more, flushed; the last without a flush. Gives what was
/// appended and how much of it was acknowledged.
fn run(disk: &Shared, first: u64) -> (Vec<Entry>, usize) {
    let (mut appended, mut safe) = (Vec::new(), 0);
    let Ok((mut store, _)) = Store::open(disk.clone(), owner()) else { return (appended, 0) };
    for step in 0..9 {
        match step {
            2 | 7 => {
                if store.flush().is_ok() {
                    safe = appended.len();
                }
            }
            4 => drop(store.begin()),
            _ => {
                let entry = entry(first + step);
                appended.push(entry.clone());
                let _ = store.append(&[entry]);
            }
        }
    }
    (appended, safe)
}

/// Whatever is found is the state after some entries, all acknowledged ones among them. How many were looked at.
fn check(model: &Model, states: &[State], safe: usize) -> usize {
    let all = found(model);
    for one in &all {
        let disk = Shared(Rc::new(RefCell::new(one.clone())));
        let loaded = load(&disk, &owner()).expect("never another's, never unreadable");
        let at = states.iter().rposition(|state| *state == loaded.state);
        let at = at.unwrap_or_else(|| panic!("a state that never was: {:?}", loaded.state));
        assert!(at >= safe, "{safe} were acknowledged, {at} are there");
    }
    all.len()
}

#[test]
fn every_crash_leaves_what_was_acknowledged_and_nothing_torn() {
    let whole = Shared::default();
    run(&whole, 0);
    let steps = whole.0.borrow().steps;
    let (mut crashes, mut again) = (0, 0);
    for stop in 0..=steps {
        let disk = Shared::default();
        disk.0.borrow_mut().stop = Some(stop);
        let (appended, safe) = run(&disk, 0);
        let after = states(&State::new(), &appended);
        crashes += check(&disk.0.borrow(), &after, safe);
        // And once more from each of what may be found: a start on a half-done disk, which is stopped as well.
        for found in found(&disk.0.borrow()).into_iter().step_by(211) {
            let ground = load(&Shared(Rc::new(RefCell::new(found.clone()))), &owner()).expect("sound").state;
            for second in (0..steps).step_by(5) {
                let disk = Shared(Rc::new(RefCell::new(Model { stop: Some(second), ..found.clone() })));
                let (appended, safe) = run(&disk, 100);
                again += check(&disk.0.borrow(), &states(&ground, &appended), safe);
            }
        }
    }
    println!("{steps} steps, {crashes} disks found after a crash, {again} after a second one");
    assert!(crashes > 300 && again > 5_000);
}

/// The disk says no once, at each step in turn, and is well again: what is acknowledged later is there.
#[test]
fn every_refusal_is_got_over() {
    let whole = Shared::default();
    run(&whole, 0);
    let steps = whole.0.borrow().steps;
    for refuse in 0..steps {
        let disk = Shared::default();
        disk.0.borrow_mut().refuse = Some(refuse);
        let (appended, safe) = run(&disk, 0);
        let states = states(&State::new(), &appended);
        check(&disk.0.borrow(), &states, safe);
        assert!(
            safe > 0 || appended.is_empty(),
            "the second flush is well if the first was not: step {refuse}"
        );
    }
}

/// The explorer itself finds a store that acknowledges before it flushes.
#[test]
fn a_planted_fault_is_found() {
    let disk = Shared::default();
    let (mut store, _) = Store::open(disk.clone(), owner()).expect("opened");
    store.append(&[entry(1)]).expect("written");
    let states = states(&State::new(), &[entry(1)]);
    let looked =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| check(&disk.0.borrow(), &states, 1)));
    assert!(looked.is_err(), "one entry was said to be safe and is not");
}
