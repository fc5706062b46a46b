//! Who writes, who follows, and what they go by.

use std::fs;
use std::path::Path;

use lockcroft_table_format::{Key, KeyRing, SnapshotContent, proto};
use lockcroft_table_store::{
    RetentionPolicy, SnapshotReader, SnapshotWriter, StatusReader, WriteError, outdated, read_keys,
    write_status,
};

use crate::stage::*;

#[test]
fn a_reader_takes_each_generation_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut writer = writer(folder.path());
    let mut reader = reader(folder.path(), "r1");
    assert_eq!(look(&mut reader), (None, vec![]), "an epoch without a generation");
    let first = writer.write(&content(1, 3), KEEP).expect("written");
    assert_eq!((first.epoch, first.version, first.files, first.linked), (1, 1, 6, 0));
    assert_eq!(look(&mut reader), (Some(1), vec![]));
    assert_eq!(look(&mut reader), (None, vec![]));
    // Only what changed is written: both groups' levels and both tables stay.
    let mut withdrawn = content(1, 3);
    withdrawn.withdrawn.insert("zzz".into());
    let second = writer.write(&withdrawn, KEEP).expect("written");
    assert_eq!((second.files, second.linked), (2, 4));
    assert_eq!(look(&mut reader), (Some(1), vec![]));
    assert_eq!(reader.look().expect("there").lay, []);
}

#[test]
fn one_that_is_not_named_keeps_what_it_holds_and_heeds_withdrawals() {
    let folder = tempfile::tempdir().expect("a folder");
    writer(folder.path()).write(&content(1, 3), KEEP).expect("written");
    let mut before = reader(folder.path(), "r0");
    assert_eq!(look(&mut before), (Some(1), vec![]));
    // The next pilot has put nobody on a table yet, and bars a server at once.
    let mut next = writer(folder.path());
    let bare = SnapshotContent { withdrawn: ["w2".to_string()].into(), ..SnapshotContent::default() };
    next.write(&bare, RetentionPolicy { earlier_epochs: true, ..KEEP }).expect("written");
    let looked = before.look().expect("there");
    assert!(looked.lay[0].bound.is_empty() && looked.lay[0].withdrawn.contains("w2"), "{looked:?}");
    // One that starts now finds its tables with the pilot before, and both pilots' withdrawals.
    let looked = reader(folder.path(), "r0").look().expect("there");
    let [tables, news] = &looked.lay[..] else { panic!("{looked:?}") };
    assert_eq!((tables.epoch, news.epoch, tables.tables.len()), (1, 2, 1));
    assert_eq!(tables.withdrawn.iter().collect::<Vec<_>>(), ["w1", "w2"]);
    // Once all are named the earlier epoch goes.
    next.write(&content(3, 3), KEEP).expect("written");
    assert!(!folder.path().join("e1").exists());
    assert_eq!(look(&mut reader(folder.path(), "r0")), (Some(3), vec![]));
}

/// A pilot is paused, another takes over, and the first wakes in the midst of its work.
#[test]
fn a_later_pilot_fences_off_the_one_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut paused = writer(folder.path());
    paused.write(&content(1, 3), KEEP).expect("written");
    let mut reader = reader(folder.path(), "r0");
    look(&mut reader);
    let mut second = writer(folder.path());
    assert_eq!((paused.epoch(), second.epoch()), (1, 2));
    assert!(matches!(paused.write(&content(9, 3), KEEP), Err(WriteError::Fenced(2))));
    second.write(&content(2, 3), RetentionPolicy { earlier_epochs: true, ..KEEP }).expect("written");
    assert_eq!(look(&mut reader), (Some(2), vec![]));
    // Had it been paused behind its last look, its rename would come now: in its own epoch, where nobody looks.
    copy(&folder.path().join("e2/g1"), &folder.path().join("e1/g7"));
    let link = folder.path().join("e1/current");
    fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink("g7", &link)).expect("swapped");
    assert_eq!(look(&mut reader), (None, vec![]));
}

#[test]
fn epochs_are_taken_by_one_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let take = || SnapshotWriter::take(folder.path(), "p", keys()).expect("an epoch").epoch();
    let mut taken: Vec<u64> = std::thread::scope(|scope| {
        let hands: Vec<_> =
            (0..16).map(|_| scope.spawn(|| (0..10).map(|_| take()).collect::<Vec<_>>())).collect();
        hands.into_iter().flat_map(|hand| hand.join().expect("no panic")).collect()
    });
    taken.sort_unstable();
    assert_eq!(taken, (1..=160).collect::<Vec<u64>>());
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a folder");
    for entry in fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
    }
}

#[test]
fn an_old_generation_over_the_new_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut writer = writer(folder.path());
    let mut reader = reader(folder.path(), "r0");
    for stamp in 1..=3 {
        writer.write(&content(stamp, 3), KEEP).expect("written");
    }
    assert_eq!(look(&mut reader), (Some(3), vec![]));
    // The link goes back; and the old files stand in the new place.
    let link = folder.path().join("e1/current");
    let swap = |to: &str| fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink(to, &link));
    swap("g2").expect("swapped");
    assert_eq!(look(&mut reader), (None, vec!["older than epoch 1, version 3, which was laid".into()]));
    copy(&folder.path().join("e1/g2"), &folder.path().join("e1/g4"));
    swap("g4").expect("swapped");
    assert_eq!(look(&mut reader), (None, vec!["a copy of epoch 1, version 2".into()]));
    // After a start what was laid is known from the status, and the newest sound one is found beside the link.
    let mut anew = SnapshotReader::new(folder.path(), "r0", keys(), Some((1, 3)));
    swap("g2").expect("swapped");
    let (laid, refused) = look(&mut anew);
    assert_eq!((laid, refused.len()), (Some(3), 2), "{refused:?}");
    // Where nothing newer is left, an old one is better than none.
    fs::remove_dir_all(folder.path().join("e1/g3")).expect("gone");
    let mut anew = SnapshotReader::new(folder.path(), "r0", keys(), Some((1, 3)));
    assert_eq!(look(&mut anew).0, Some(2));
}

/// Readers lag behind a key that is turned over: both are valid for a while, on both sides.
#[test]
fn keys_are_turned_over_without_a_gap() {
    let folder = tempfile::tempdir().expect("a folder");
    let key = |name: &str, byte: u8| Key::new(name, &[byte; 32]).expect("long enough");
    let (old, new) = (key("k1", 7), key("k2", 9));
    let both = || KeyRing(vec![old.clone(), new.clone()]);
    let mut writer = writer(folder.path());
    let mut lagging = reader(folder.path(), "r0");
    let mut early = SnapshotReader::new(folder.path(), "r1", both(), None);
    let steps = [keys(), both(), KeyRing(vec![new.clone()])];
    for (stamp, keys) in (1..).zip(steps) {
        writer.turn_over(keys);
        writer.write(&content(stamp, 3), KEEP).expect("written");
        assert_eq!(look(&mut early), (Some(stamp), vec![]));
        let (laid, refused) = look(&mut lagging);
        if stamp < 3 {
            assert_eq!((laid, refused), (Some(stamp), vec![]));
        } else {
            assert_eq!((laid, refused.len()), (None, 1));
            assert!(refused[0].contains("no seal of a key"), "{refused:?}");
        }
    }
    lagging.turn_over(both());
    assert_eq!(look(&mut lagging), (Some(3), vec![]));
}

#[test]
fn a_key_file_that_others_may_read_is_refused() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("keys");
    let text = format!("k1 {}\n# the next\nk2 {}\n", "ab".repeat(32), "cd".repeat(40));
    fs::write(&path, &text).expect("written");
    for mode in [0o644, 0o640, 0o602, 0o601] {
        fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("set");
        let wrong = read_keys(&path).expect_err("others may use it");
        assert!(wrong.contains("600 or 400"), "{wrong}");
    }
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("set");
    assert_eq!(read_keys(&path).expect("sound").0.len(), 2);
    for (text, wrong) in [
        ("k1 abcd", "2 bytes, 32 at least"),
        ("k1", "a name and a secret"),
        ("", "no key"),
        ("k1 xyz", "not in hex"),
    ] {
        fs::write(&path, text).expect("written");
        let said = read_keys(&path).expect_err("no keys");
        assert!(said.contains(wrong), "{said}");
    }
}

#[test]
fn what_stays_and_what_goes() {
    let keep = RetentionPolicy { generations: 3, earlier_epochs: false };
    assert_eq!(outdated(keep, 5, 9, &[10, 9, 8, 7, 6], &[7, 5, 4, 2]), (vec![6], vec![4, 2]));
    let keep = RetentionPolicy { generations: 0, earlier_epochs: true };
    assert_eq!(
        outdated(keep, 5, 9, &[9, 8, 7], &[5, 4]),
        (vec![7], vec![]),
        "readers may be at the one before"
    );
}

#[test]
fn statuses_are_read_as_they_change() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut statuses = StatusReader::default();
    assert!(statuses.look(folder.path()).expect("none yet").is_empty());
    let mut status = proto::Status::of("r-1.a");
    write_status(folder.path(), &status).expect("written");
    assert_eq!(statuses.look(folder.path()).expect("there"), [status.clone()]);
    assert!(statuses.look(folder.path()).expect("there").is_empty());
    status.refused = Some((3, 4, "torn".to_string()).into()).into();
    write_status(folder.path(), &status).expect("written");
    assert_eq!(statuses.look(folder.path()).expect("there"), [status.clone()]);
    assert_eq!(StatusReader::of(folder.path(), "r-1.a"), Some(status));
    fs::write(folder.path().join("status/r2"), b"\xff\xff\xff").expect("written");
    assert!(statuses.look(folder.path()).expect("there").is_empty(), "what is no status is left out");
    for name in ["", "..", "a/b", ".hidden"] {
        assert!(write_status(folder.path(), &proto::Status::of(name)).is_err(), "{name:?}");
    }
}

/// A reader that is stopped while ten generations come and go, among them the one it is at, has the newest next; and
/// no clock is asked for any of it.
#[test]
fn a_reader_that_was_stopped_for_ten_generations_goes_on_with_the_newest() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut writer = writer(folder.path());
    let mut reader = reader(folder.path(), "r0");
    writer.write(&content(1, 3), KEEP).expect("written");
    assert_eq!(look(&mut reader).0, Some(1));
    for stamp in 2..=11 {
        writer.write(&content(stamp, 3), KEEP).expect("written");
    }
    assert!(!folder.path().join("e1/g1").exists() && folder.path().join("e1/g8").exists(), "four stay");
    // The clock jumped back by years while the last was written, and forward before.
    for (file, years) in [("g11/table-0", -20_i64), ("g11/manifest", -20), ("g10/manifest", 20)] {
        let file = fs::File::options().write(true).open(folder.path().join("e1").join(file)).expect("there");
        let span = std::time::Duration::from_secs(years.unsigned_abs() * 31_557_600);
        let now = std::time::SystemTime::now();
        file.set_modified(if years < 0 { now - span } else { now + span }).expect("set");
    }
    assert_eq!(look(&mut reader), (Some(11), vec![]));
    assert_eq!(look(&mut SnapshotReader::new(folder.path(), "r1", keys(), None)), (Some(11), vec![]));
}
