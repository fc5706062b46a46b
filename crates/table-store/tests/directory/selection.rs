//! Publishing, selection and retention of snapshots, fencing of writers, key rotation, key files and status files.

use std::fs;
use std::path::Path;

use lockcroft_table_format::{Key, KeyRing, SnapshotContent, proto};
use lockcroft_table_store::{
    OutdatedSnapshots, RetentionPolicy, SnapshotReader, SnapshotWriter, StatusReader, WriteError, read_keys,
    write_status,
};

use crate::support::*;

#[test]
fn each_snapshot_is_applied_once_and_only_changed_members_are_written() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut writer = writer(directory.path());
    let mut reader = reader(directory.path(), "r1");
    assert_eq!(scan(&mut reader), (None, vec![]), "the epoch has no snapshot yet");
    let first = writer.write(&content(1, 3), RETENTION).expect("written");
    assert_eq!((first.epoch, first.version, first.files, first.linked), (1, 1, 6, 0));
    assert_eq!(scan(&mut reader), (Some(1), vec![]));
    assert_eq!(scan(&mut reader), (None, vec![]));
    // Only the manifest and the ejected endpoints are written: both groups and both tables are linked.
    let mut with_ejection = content(1, 3);
    with_ejection.ejected.insert("zzz".into());
    let second = writer.write(&with_ejection, RETENTION).expect("written");
    assert_eq!((second.files, second.linked), (2, 4));
    assert_eq!(scan(&mut reader), (Some(1), vec![]));
    assert_eq!(reader.scan().expect("the directory exists").to_apply, []);
}

#[test]
fn a_proxy_without_assignments_keeps_its_tables_and_applies_ejections() {
    let directory = tempfile::tempdir().expect("temporary directory");
    writer(directory.path()).write(&content(1, 3), RETENTION).expect("written");
    let mut running = reader(directory.path(), "r0");
    assert_eq!(scan(&mut running), (Some(1), vec![]));
    // The next controller has not assigned tables yet, but it ejects an endpoint.
    let mut next = writer(directory.path());
    let ejections_only = SnapshotContent { ejected: ["w2".to_string()].into(), ..SnapshotContent::default() };
    next.write(&ejections_only, RetentionPolicy { keep_earlier_epochs: true, ..RETENTION }).expect("written");
    let result = running.scan().expect("the directory exists");
    assert!(
        result.to_apply[0].assignments.is_empty() && result.to_apply[0].ejected.contains("w2"),
        "{result:?}"
    );
    // A proxy that starts now takes its tables from the earlier epoch, with the ejections of both epochs.
    let result = reader(directory.path(), "r0").scan().expect("the directory exists");
    let [tables, ejections] = &result.to_apply[..] else { panic!("{result:?}") };
    assert_eq!((tables.epoch, ejections.epoch, tables.tables.len()), (1, 2, 1));
    assert_eq!(tables.ejected.iter().collect::<Vec<_>>(), ["w1", "w2"]);
    // The next snapshot has assignments for all proxies and does not keep earlier epochs.
    next.write(&content(3, 3), RETENTION).expect("written");
    assert!(!directory.path().join("e1").exists());
    assert_eq!(scan(&mut reader(directory.path(), "r0")), (Some(3), vec![]));
}

/// Guards against a controller that is paused and continues to write after another one has taken over.
#[test]
fn a_later_writer_fences_the_earlier_one() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut paused = writer(directory.path());
    paused.write(&content(1, 3), RETENTION).expect("written");
    let mut reader = reader(directory.path(), "r0");
    scan(&mut reader);
    let mut second = writer(directory.path());
    assert_eq!((paused.epoch(), second.epoch()), (1, 2));
    assert!(matches!(paused.write(&content(9, 3), RETENTION), Err(WriteError::Fenced(2))));
    second
        .write(&content(2, 3), RetentionPolicy { keep_earlier_epochs: true, ..RETENTION })
        .expect("written");
    assert_eq!(scan(&mut reader), (Some(2), vec![]));
    // A writer that was paused between its check and its rename would publish now, in an epoch that is no longer read.
    copy_directory(&directory.path().join("e2/g1"), &directory.path().join("e1/g7"));
    let link = directory.path().join("e1/current");
    fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink("g7", &link)).expect("replaced");
    assert_eq!(scan(&mut reader), (None, vec![]));
}

#[test]
fn each_epoch_is_acquired_by_one_writer() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let acquire_epoch =
        || SnapshotWriter::acquire_epoch(directory.path(), "p", keys()).expect("epoch acquired").epoch();
    let mut epochs: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..16).map(|_| scope.spawn(|| (0..10).map(|_| acquire_epoch()).collect::<Vec<_>>())).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    epochs.sort_unstable();
    assert_eq!(epochs, (1..=160).collect::<Vec<u64>>());
}

fn copy_directory(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("created");
    for entry in fs::read_dir(from).expect("readable directory") {
        let entry = entry.expect("readable entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
    }
}

#[test]
fn an_old_snapshot_in_place_of_a_newer_one_is_rejected() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut writer = writer(directory.path());
    let mut reader = reader(directory.path(), "r0");
    for stamp in 1..=3 {
        writer.write(&content(stamp, 3), RETENTION).expect("written");
    }
    assert_eq!(scan(&mut reader), (Some(3), vec![]));
    // First the link is set back to an old snapshot, then to a copy of the old files under a new version.
    let link = directory.path().join("e1/current");
    let point_link_to =
        |to: &str| fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink(to, &link));
    point_link_to("g2").expect("replaced");
    assert_eq!(scan(&mut reader), (None, vec!["older than epoch 1, version 3, which was applied".into()]));
    copy_directory(&directory.path().join("e1/g2"), &directory.path().join("e1/g4"));
    point_link_to("g4").expect("replaced");
    assert_eq!(scan(&mut reader), (None, vec!["manifest: a copy of epoch 1, version 2".into()]));
    // After a start the minimum is known from the status file, and the newest valid snapshot is found although the link
    // leads to another one.
    let mut restarted = SnapshotReader::new(directory.path(), "r0", keys(), Some((1, 3)));
    point_link_to("g2").expect("replaced");
    let (applied, reasons) = scan(&mut restarted);
    assert_eq!((applied, reasons.len()), (Some(3), 2), "{reasons:?}");
    // If there is no newer one, an old snapshot is applied rather than none.
    fs::remove_dir_all(directory.path().join("e1/g3")).expect("removed");
    let mut restarted = SnapshotReader::new(directory.path(), "r0", keys(), Some((1, 3)));
    assert_eq!(scan(&mut restarted).0, Some(2));
}

/// While the writer seals with both keys, readers that have only the old key or both keys apply its snapshots.
#[test]
fn keys_are_rotated_without_an_interruption() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let key = |name: &str, byte: u8| Key::new(name, &[byte; 32]).expect("long enough");
    let (old, new) = (key("k1", 7), key("k2", 9));
    let both = || KeyRing(vec![old.clone(), new.clone()]);
    let mut writer = writer(directory.path());
    let mut with_old_key = reader(directory.path(), "r0");
    let mut with_both_keys = SnapshotReader::new(directory.path(), "r1", both(), None);
    let steps = [keys(), both(), KeyRing(vec![new.clone()])];
    for (stamp, keys) in (1..).zip(steps) {
        writer.replace_keys(keys);
        writer.write(&content(stamp, 3), RETENTION).expect("written");
        assert_eq!(scan(&mut with_both_keys), (Some(stamp), vec![]));
        let (applied, reasons) = scan(&mut with_old_key);
        if stamp < 3 {
            assert_eq!((applied, reasons), (Some(stamp), vec![]));
        } else {
            assert_eq!((applied, reasons.len()), (None, 1));
            assert!(reasons[0].contains("no seal by a known key"), "{reasons:?}");
        }
    }
    with_old_key.replace_keys(both());
    assert_eq!(scan(&mut with_old_key), (Some(3), vec![]));
}

#[test]
fn invalid_key_files_and_files_accessible_to_others_are_refused() {
    use std::os::unix::fs::PermissionsExt;
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("keys");
    let text = format!("k1 {}\n# a comment\nk2 {}\n", "ab".repeat(32), "cd".repeat(40));
    fs::write(&path, &text).expect("written");
    for mode in [0o644, 0o640, 0o602, 0o601] {
        fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("mode set");
        let error = read_keys(&path).expect_err("accessible to others").to_string();
        assert!(error.contains("600 or 400"), "{error}");
    }
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("mode set");
    assert_eq!(read_keys(&path).expect("valid keys").0.len(), 2);
    for (text, expected) in [
        ("k1 abcd", "secret of 2 bytes, expected at least 32"),
        ("k1", "a name and a secret"),
        ("", "no key"),
        ("k1 xyz", "not in hex"),
    ] {
        fs::write(&path, text).expect("written");
        let error = read_keys(&path).expect_err("no valid keys").to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn retention_keeps_the_newest_snapshots_and_later_epochs() {
    let policy = RetentionPolicy { max_snapshots: 3, keep_earlier_epochs: false };
    assert_eq!(
        policy.outdated(5, 9, &[10, 9, 8, 7, 6], &[7, 5, 4, 2]),
        OutdatedSnapshots { versions: vec![6], epochs: vec![4, 2] }
    );
    let policy = RetentionPolicy { max_snapshots: 0, keep_earlier_epochs: true };
    assert_eq!(
        policy.outdated(5, 9, &[9, 8, 7], &[5, 4]),
        OutdatedSnapshots { versions: vec![7], epochs: vec![] },
        "readers may still be reading the previous snapshot"
    );
}

#[test]
fn only_changed_statuses_are_read() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut statuses = StatusReader::default();
    assert!(statuses.read_changed(directory.path()).expect("a missing directory is not an error").is_empty());
    let mut status = proto::Status::for_proxy("r-1.a");
    write_status(directory.path(), &status).expect("written");
    assert_eq!(statuses.read_changed(directory.path()).expect("readable"), [status.clone()]);
    assert!(statuses.read_changed(directory.path()).expect("readable").is_empty());
    status.refused = Some((3, 4, "malformed".to_string()).into()).into();
    write_status(directory.path(), &status).expect("written");
    assert_eq!(statuses.read_changed(directory.path()).expect("readable"), [status.clone()]);
    assert_eq!(StatusReader::read_one(directory.path(), "r-1.a"), Some(status));
    fs::write(directory.path().join("status/r2"), b"\xff\xff\xff").expect("written");
    assert!(
        statuses.read_changed(directory.path()).expect("readable").is_empty(),
        "a file without a valid status is skipped"
    );
    for name in ["", "..", "a/b", ".hidden"] {
        assert!(write_status(directory.path(), &proto::Status::for_proxy(name)).is_err(), "{name:?}");
    }
}

/// The snapshot that the reader has applied is removed meanwhile. Modification times must not affect the selection.
#[test]
fn a_reader_paused_for_ten_snapshots_continues_with_the_newest() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut writer = writer(directory.path());
    let mut reader = reader(directory.path(), "r0");
    writer.write(&content(1, 3), RETENTION).expect("written");
    assert_eq!(scan(&mut reader).0, Some(1));
    for stamp in 2..=11 {
        writer.write(&content(stamp, 3), RETENTION).expect("written");
    }
    assert!(
        !directory.path().join("e1/g1").exists() && directory.path().join("e1/g8").exists(),
        "four snapshots are kept"
    );
    // As if the clock had been 20 years behind while the last snapshot was written, and 20 years ahead before that.
    for (file, years) in [("g11/table-0", -20_i64), ("g11/manifest", -20), ("g10/manifest", 20)] {
        let file = fs::File::options()
            .write(true)
            .open(directory.path().join("e1").join(file))
            .expect("writable file");
        let offset = std::time::Duration::from_secs(years.unsigned_abs() * 31_557_600);
        let now = std::time::SystemTime::now();
        file.set_modified(if years < 0 { now - offset } else { now + offset }).expect("time set");
    }
    assert_eq!(scan(&mut reader), (Some(11), vec![]));
    assert_eq!(scan(&mut SnapshotReader::new(directory.path(), "r1", keys(), None)), (Some(11), vec![]));
}
