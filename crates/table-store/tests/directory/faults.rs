//! Corrupt, truncated and missing files are detected, and file system errors leave the last snapshot current.

use std::fs;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use lockcroft_table_format::{MANIFEST_FILE, MAX_MANIFEST_BYTES};
use lockcroft_table_store::{SnapshotWriter, WriteError};
use rustix::process::{Resource, Rlimit, setrlimit};

use crate::support::*;

const DIRECTORY_VARIABLE: &str = "LOCKCROFT_TEST_FOLDER";

/// Returns a directory with two snapshots, and the path of the second one, which tests corrupt.
fn directory_of_two_snapshots() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut writer = writer(directory.path());
    writer.write(&content(1, 2), RETENTION).expect("written");
    writer.write(&content(2, 2), RETENTION).expect("written");
    let second = directory.path().join("e1/g2");
    (directory, second)
}

/// Returns the paths of all files that the proxy `r0` reads from a snapshot.
fn files(snapshot: &Path) -> Vec<PathBuf> {
    [MANIFEST_FILE, "group-0", "table-0", "withdrawn"].iter().map(|name| snapshot.join(name)).collect()
}

/// Returns the reason for which a reader that has applied the first snapshot rejects the second; `None` if it applies
/// the second one.
fn rejection(directory: &Path) -> Option<String> {
    let link = directory.join("e1/current");
    let point_link_to =
        |to: &str| fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink(to, &link));
    point_link_to("g1").expect("replaced");
    let mut reader = reader(directory, "r0");
    assert_eq!(scan(&mut reader).0, Some(1));
    point_link_to("g2").expect("replaced");
    let (applied, reasons) = scan(&mut reader);
    assert!(applied.is_none() || reasons.is_empty());
    applied.is_none().then(|| reasons.join("; "))
}

#[test]
fn every_flipped_bit_is_detected() {
    let (directory, second) = directory_of_two_snapshots();
    assert_eq!(rejection(directory.path()), None, "valid before any change");
    let mut flips = 0;
    for file in files(&second) {
        let valid = fs::read(&file).expect("readable file");
        for bit in 0..valid.len() * 8 {
            let mut bytes = valid.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            fs::write(&file, &bytes).expect("written");
            let reason = rejection(directory.path());
            assert!(reason.is_some(), "bit {bit} of {}", file.display());
            flips += 1;
        }
        fs::write(&file, &valid).expect("written");
    }
    println!("{flips} flipped bits, each rejected");
    assert!(flips > 2000 && rejection(directory.path()).is_none());
}

#[test]
fn files_truncated_at_any_byte_extended_or_missing_are_detected() {
    let (directory, second) = directory_of_two_snapshots();
    for file in files(&second) {
        let valid = fs::read(&file).expect("readable file");
        for length in 0..valid.len() {
            fs::write(&file, &valid[..length]).expect("written");
            assert!(rejection(directory.path()).is_some(), "{length} bytes of {}", file.display());
        }
        fs::write(&file, [&valid[..], b"x"].concat()).expect("written");
        assert!(rejection(directory.path()).is_some(), "an additional byte in {}", file.display());
        fs::remove_file(&file).expect("removed");
        assert!(rejection(directory.path()).expect("rejected").contains("No such file"));
        fs::write(&file, &valid).expect("written");
    }
}

/// If the current snapshot is corrupt, a reader that starts falls back to the previous one.
#[test]
fn a_reader_that_starts_applies_the_last_valid_snapshot() {
    let (directory, second) = directory_of_two_snapshots();
    fs::write(second.join("table-0"), b"corrupt").expect("written");
    let (applied, reasons) = scan(&mut reader(directory.path(), "r0"));
    assert_eq!(
        (applied, reasons),
        (Some(1), vec!["table-0: does not match its recorded digest".to_string()])
    );
    assert_eq!(
        scan(&mut reader(directory.path(), "r1")).0,
        Some(2),
        "proxies that don't read the corrupt member are not affected"
    );
}

/// A length field or file size of 2^40 bytes must not lead to an allocation of that size.
#[test]
fn excessive_lengths_are_rejected_without_allocating() {
    let (directory, second) = directory_of_two_snapshots();
    // Field 1 with a stated length of 2^40 bytes, followed by three bytes.
    let huge = [&[0x0a][..], &[0x80, 0x80, 0x80, 0x80, 0x80, 0x20], b"abc"].concat();
    fs::write(second.join(MANIFEST_FILE), &huge).expect("written");
    assert!(rejection(directory.path()).expect("rejected").contains("malformed"));
    // A sparse file of 2^40 bytes.
    let file = fs::File::create(second.join(MANIFEST_FILE)).expect("created");
    file.set_len(1 << 40).expect("sparse files are supported");
    let reason = rejection(directory.path()).expect("rejected");
    assert_eq!(reason, format!("manifest: longer than {MAX_MANIFEST_BYTES} bytes"));
}

/// Returns a command that runs an ignored test of this program in a child process.
fn child(name: &str, directory: &Path) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("path of the test program"));
    command.args([name, "--exact", "--ignored", "--test-threads=1"]);
    command
        .env(DIRECTORY_VARIABLE, directory)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

/// Runs in a child process, which reaches its file size limit during a write.
#[test]
#[ignore = "run in a child process by the next test"]
fn writes_up_to_the_file_size_limit() {
    let Ok(directory) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let mut writer = writer(Path::new(&directory));
    writer.write(&content(1, 10), RETENTION).expect("written");
    let limit = |bytes| Rlimit { current: bytes, maximum: None };
    setrlimit(Resource::Fsize, limit(Some(2048))).expect("limit set");
    for _ in 0..3 {
        let error = writer.write(&content(2, 400), RETENTION).expect_err("file over the size limit");
        assert!(matches!(error, WriteError::Io(_)), "{error}");
        assert_eq!(
            scan(&mut reader(Path::new(&directory), "r0")).0,
            Some(1),
            "the last snapshot stays current"
        );
    }
    assert!(!Path::new(&directory).join("e1/new").exists(), "the unfinished snapshot is removed");
    setrlimit(Resource::Fsize, limit(None)).expect("limit set");
    writer.write(&content(3, 400), RETENTION).expect("written");
}

#[test]
fn a_write_that_fails_at_the_file_size_limit_leaves_the_last_snapshot_current() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let command = child("faults::writes_up_to_the_file_size_limit", directory.path());
    // SIGXFSZ would terminate the process before the write could fail with an error, so the shell makes it ignored.
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(command.get_program())
        .args(command.get_args());
    shell.env(DIRECTORY_VARIABLE, directory.path()).stdin(Stdio::null()).stdout(Stdio::null());
    assert!(shell.status().expect("started").success());
    assert_eq!(scan(&mut reader(directory.path(), "r0")).0, Some(3));
}

/// Runs in a child process, for which the directory becomes read-only.
#[test]
#[ignore = "run in a child process by the next test"]
fn writes_into_a_read_only_directory() {
    let Ok(directory) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let mut writer = writer(Path::new(&directory));
    writer.write(&content(1, 3), RETENTION).expect("written");
    let epoch = Path::new(&directory).join("e1");
    let mode = |mode| {
        fs::set_permissions(&epoch, std::os::unix::fs::PermissionsExt::from_mode(mode)).expect("mode set")
    };
    mode(0o555);
    let error = writer.write(&content(2, 3), RETENTION).expect_err("read-only directory");
    assert!(matches!(error, WriteError::Io(_)), "{error}");
    assert_eq!(scan(&mut reader(Path::new(&directory), "r0")).0, Some(1), "the last snapshot stays current");
    mode(0o755);
    writer.write(&content(3, 3), RETENTION).expect("written");
}

#[test]
fn a_directory_that_becomes_read_only_leaves_the_last_snapshot_current() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let mut command = child("faults::writes_into_a_read_only_directory", directory.path());
    if rustix::process::geteuid().is_root() {
        // Root may write despite the permissions, so the child runs as another user, from a copy of the program in a
        // directory that this user may read.
        let copy = directory.path().join("program");
        fs::copy(std::env::current_exe().expect("path of the test program"), &copy).expect("copied");
        let open_to_all = std::os::unix::fs::PermissionsExt::from_mode(0o777);
        fs::set_permissions(directory.path(), open_to_all).expect("mode set");
        command = {
            let mut unprivileged = Command::new(&copy);
            unprivileged
                .args(command.get_args())
                .env(DIRECTORY_VARIABLE, directory.path())
                .uid(65_534)
                .current_dir(directory.path());
            unprivileged.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            unprivileged
        };
    }
    assert!(command.status().expect("started").success());
    assert_eq!(scan(&mut reader(directory.path(), "r0")).0, Some(3));
}

#[test]
fn a_missing_directory_is_an_error() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let missing = directory.path().join("none");
    assert!(SnapshotWriter::acquire_epoch(&missing, "p", keys()).is_err());
    assert!(reader(&missing, "r0").scan().is_err());
    let mut writer = writer(directory.path());
    fs::remove_dir_all(directory.path().join("e1")).expect("removed");
    assert!(matches!(writer.write(&content(1, 3), RETENTION), Err(WriteError::Io(_))));
}
