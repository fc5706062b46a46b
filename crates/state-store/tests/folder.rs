//! The store in real folders: processes killed, files spoilt, somebody else's files.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use lockcroft_state_store::{
    DirectoryStorage, EndpointNote, Entry, EntryValue, Key, LoadedState, OpenError, RecoveryError, Store,
    StoreIdentity, load,
};

/// In CI; `LOCKCROFT_KILLS=1000` for the figure in docs/measured.md.
const KILLS: u64 = 100;
const FOLDER: &str = "LOCKCROFT_TEST_FOLDER";

fn owner() -> StoreIdentity {
    StoreIdentity::of("p", ["north", "std", "look"].into_iter())
}

/// Entry `number`: it says so itself, on one of ten keys.
fn entry(number: u64) -> Entry {
    let note = EndpointNote {
        zone: "north".into(),
        kind: "std".into(),
        warm_ms: number,
        relief: 0.5,
        ..EndpointNote::default()
    };
    Entry { at_ms: number, key: Key::Server(format!("e{}", number % 10)), what: EntryValue::Server(note) }
}

fn open(folder: &Path) -> (Store<DirectoryStorage>, LoadedState) {
    Store::open(DirectoryStorage::hold(folder).expect("nobody else's"), owner()).expect("sound")
}

fn look(folder: &Path) -> Result<LoadedState, RecoveryError> {
    load(&DirectoryStorage::look(folder), &owner())
}

/// The number of the last entry; all that is there has to be of the run up to it.
fn last(loaded: &LoadedState) -> u64 {
    let last = loaded.state.values().map(|(at, _)| *at).max().unwrap_or(0);
    for (key, (at, what)) in &loaded.state {
        let entry = entry(*at);
        assert_eq!((&entry.key, &entry.what), (key, what), "torn");
        assert!(*at + 10 > last, "{key:?} is at {at} of {last}");
    }
    last
}

/// The child's part: appends, flushes, and says what is safe, until it is killed.
#[test]
#[ignore = "run by the test below, in a process of its own"]
fn appends_until_killed() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let (mut store, loaded) = open(Path::new(&folder));
    let first = last(&loaded) + 1;
    for number in first.. {
        store.append(&[entry(number)]).expect("written");
        if number % 3 == 0 {
            store.flush().expect("flushed");
            println!("safe {number}");
        }
        if number % 50 == 0 {
            store.begin().expect("begun");
        }
    }
}

#[test]
fn killed_at_any_point_what_was_acknowledged_is_there() {
    let folder = tempfile::tempdir().expect("a folder");
    let kills: u64 =
        std::env::var("LOCKCROFT_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(KILLS);
    let (mut draw, mut safe, mut most) = (99_u64, 0, 0);
    for kill in 0..kills {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.args(["appends_until_killed", "--exact", "--ignored", "--test-threads=1", "--nocapture"]);
        command.env(FOLDER, folder.path()).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("started");
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        std::thread::sleep(Duration::from_micros(4_000 + (draw >> 33) % 25_000));
        child.kill().expect("killed");
        let said = BufReader::new(child.stdout.take().expect("piped"));
        for line in said.lines().map_while(Result::ok) {
            let number = line.split("safe ").nth(1).and_then(|number| number.trim().parse().ok());
            safe = number.unwrap_or(safe);
        }
        child.wait().expect("ended");
        let found = last(&look(folder.path()).expect("sound"));
        assert!(found >= safe, "kill {kill}: {safe} were acknowledged, {found} are there");
        most = found;
    }
    let files = fs::read_dir(folder.path()).expect("there").count();
    println!("{kills} kills, {most} entries, {files} files at the end");
    assert!(most > kills && files < 12, "{most} entries, {files} files");
}

/// Bytes of a sound folder of two numbers: thirty entries, of which the last ten are in the journal.
fn two() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) = open(folder.path());
    for number in 1..=30 {
        store.append(&[entry(number)]).expect("written");
        if number == 20 {
            store.begin().expect("begun");
        }
    }
    store.flush().expect("flushed");
    folder
}

#[test]
fn cut_at_every_byte_or_with_any_byte_changed_it_is_a_state_that_was() {
    let folder = two();
    assert_eq!(last(&look(folder.path()).expect("sound")), 30);
    for name in ["journal-2", "snapshot-2"] {
        let path = folder.path().join(name);
        let sound = fs::read(&path).expect("there");
        for place in 0..sound.len() {
            fs::write(&path, &sound[..place]).expect("written");
            let cut = look(folder.path()).map(|loaded| last(&loaded));
            assert!(cut.is_ok_and(|last| last >= 20), "{name} cut at {place}");
            let mut flipped = sound.clone();
            flipped[place] ^= 0x10;
            fs::write(&path, &flipped).expect("written");
            let changed = look(folder.path()).map(|loaded| last(&loaded));
            assert!(changed.is_ok_and(|last| last >= 20), "{name} changed at {place}");
        }
        fs::write(&path, &sound).expect("written");
    }
    // With the snapshot broken the one before and both journals give all of it.
    fs::write(folder.path().join("snapshot-2"), b"broken").expect("written");
    let loaded = look(folder.path()).expect("sound");
    assert_eq!((last(&loaded), loaded.from), (30, 1));
    assert_eq!(loaded.remarks, ["snapshot-2: broken, the one before is taken"]);
}

#[test]
fn another_s_memory_is_refused_and_left_as_it_is() {
    let folder = two();
    let before = look(folder.path()).expect("sound");
    let with =
        |owner: StoreIdentity| match Store::open(DirectoryStorage::hold(folder.path()).expect("held"), owner)
        {
            Err(RecoveryError::Open(refused)) => refused,
            other => panic!("not refused: {:?}", other.map(|(_, loaded)| loaded)),
        };
    let pilot = with(StoreIdentity::of("q", ["north", "std", "look"].into_iter()));
    assert_eq!(pilot, OpenError::Foreign("snapshot-2".into(), "p".into()));
    assert_eq!(
        with(StoreIdentity::of("p", ["south"].into_iter())),
        OpenError::OtherFleet("snapshot-2".into())
    );
    // A later program's: its header says so, whatever else it says.
    let mut later = fs::read(folder.path().join("snapshot-2")).expect("there");
    let payload = later[0] as usize;
    assert_eq!(later[9..11], [0x08, 0x01], "field 1, format 1");
    later[10] = 9;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&[later[4]]);
    sum.update(&later[9..9 + payload]);
    later[5..9].copy_from_slice(&sum.finalize().to_le_bytes());
    fs::write(folder.path().join("snapshot-3"), later).expect("written");
    assert_eq!(with(owner()), OpenError::Newer("snapshot-3".into(), 9));
    fs::remove_file(folder.path().join("snapshot-3")).expect("gone");
    assert_eq!(look(folder.path()).expect("sound"), before);
}

#[test]
fn one_writes_at_a_time_and_anybody_reads() {
    let folder = two();
    let (store, _) = open(folder.path());
    let second = DirectoryStorage::hold(folder.path()).expect_err("it is held");
    assert_eq!(second.kind(), std::io::ErrorKind::WouldBlock);
    assert_eq!(last(&look(folder.path()).expect("readers need no lock")), 30);
    drop(store);
    open(folder.path());
}

/// Ten starts in a row, every second one at once: nothing is lost and nothing piles up.
#[test]
fn ten_starts_in_a_row() {
    let folder = two();
    for start in 0..10_u64 {
        let (mut store, loaded) = open(folder.path());
        assert_eq!(last(&loaded), 30 + start / 2);
        if start % 2 == 1 {
            store.append(&[entry(30 + start / 2 + 1)]).expect("written");
            store.flush().expect("flushed");
        }
    }
    assert!(fs::read_dir(folder.path()).expect("there").count() <= 5, "two numbers and the lock");
}

/// Files as the first format wrote them, kept in the repository: whatever is changed, they still load.
#[test]
fn files_of_the_first_format_still_load() {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/format-1");
    let loaded = load(&DirectoryStorage::look(&fixture), &owner()).expect("sound");
    assert_eq!((last(&loaded), loaded.state.len(), loaded.from), (30, 10, 2));
}

/// Writes the fixture; for the day on which a format is new.
#[test]
#[ignore = "writes the fixture of the present format"]
fn write_the_fixture() {
    let folder = two();
    let fixture =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/format-{}", lockcroft_state_store::FORMAT));
    fs::create_dir_all(&fixture).expect("made");
    for entry in fs::read_dir(folder.path()).expect("there") {
        let entry = entry.expect("there");
        if entry.file_name() != "lock" {
            fs::copy(entry.path(), fixture.join(entry.file_name())).expect("copied");
        }
    }
}

/// A disk that can't be read is no empty one: nothing is begun on top of what may be there.
#[test]
fn a_file_that_can_not_be_read_is_no_loss() {
    let folder = two();
    let path = folder.path().join("journal-2");
    let sound = fs::read(&path).expect("there");
    fs::remove_file(&path).expect("gone");
    fs::create_dir(&path).expect("a folder in its place");
    assert!(matches!(look(folder.path()), Err(RecoveryError::Io(_))));
    assert!(matches!(
        Store::open(DirectoryStorage::hold(folder.path()).expect("held"), owner()),
        Err(RecoveryError::Io(_))
    ));
    fs::remove_dir(&path).expect("gone");
    fs::write(&path, sound).expect("written");
    assert_eq!(last(&look(folder.path()).expect("sound")), 30);
}
