//! Bytes that changed on their way, and file systems that say no.

use std::fs;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use lockcroft_table_format::{MANIFEST, MAX_MANIFEST_BYTES};
use lockcroft_table_store::{SnapshotWriter, WriteError};
use rustix::process::{Resource, Rlimit, setrlimit};

use crate::stage::*;

const FOLDER: &str = "LOCKCROFT_TEST_FOLDER";

/// Two generations: the first is laid, the second is to be spoilt.
fn two() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut writer = writer(folder.path());
    writer.write(&content(1, 2), KEEP).expect("written");
    writer.write(&content(2, 2), KEEP).expect("written");
    let second = folder.path().join("e1/g2");
    (folder, second)
}

/// Files of the second generation that a proxy reads.
fn files(second: &Path) -> Vec<PathBuf> {
    [MANIFEST, "group-0", "table-0", "withdrawn"].iter().map(|name| second.join(name)).collect()
}

fn refused(folder: &Path) -> Option<String> {
    // Held by one that has laid the first.
    let link = folder.join("e1/current");
    let swap = |to: &str| fs::remove_file(&link).and_then(|()| std::os::unix::fs::symlink(to, &link));
    swap("g1").expect("swapped");
    let mut reader = reader(folder, "r0");
    assert_eq!(look(&mut reader).0, Some(1));
    swap("g2").expect("swapped");
    let (laid, why) = look(&mut reader);
    assert!(laid.is_none() || why.is_empty());
    laid.is_none().then(|| why.join("; "))
}

#[test]
fn every_bit_that_flips_is_noticed() {
    let (folder, second) = two();
    assert_eq!(refused(folder.path()), None, "sound as it is");
    let mut flips = 0;
    for file in files(&second) {
        let sound = fs::read(&file).expect("there");
        for place in 0..sound.len() * 8 {
            let mut bytes = sound.clone();
            bytes[place / 8] ^= 1 << (place % 8);
            fs::write(&file, &bytes).expect("written");
            let why = refused(folder.path());
            assert!(why.is_some(), "bit {place} of {}", file.display());
            flips += 1;
        }
        fs::write(&file, &sound).expect("written");
    }
    println!("{flips} bits, each refused");
    assert!(flips > 2000 && refused(folder.path()).is_none());
}

#[test]
fn cut_at_every_byte_it_is_noticed() {
    let (folder, second) = two();
    for file in files(&second) {
        let sound = fs::read(&file).expect("there");
        for long in 0..sound.len() {
            fs::write(&file, &sound[..long]).expect("written");
            assert!(refused(folder.path()).is_some(), "{long} bytes of {}", file.display());
        }
        fs::write(&file, [&sound[..], b"x"].concat()).expect("written");
        assert!(refused(folder.path()).is_some(), "a byte too many in {}", file.display());
        fs::remove_file(&file).expect("gone");
        assert!(refused(folder.path()).expect("gone").contains("No such file"));
        fs::write(&file, &sound).expect("written");
    }
}

/// One that starts beside a spoilt generation has the one before.
#[test]
fn a_start_finds_the_last_good_one() {
    let (folder, second) = two();
    fs::write(second.join("table-0"), b"spoilt").expect("written");
    let (laid, why) = look(&mut reader(folder.path(), "r0"));
    assert_eq!((laid, why), (Some(1), vec!["table-0: not as the manifest has it".to_string()]));
    assert_eq!(look(&mut reader(folder.path(), "r1")).0, Some(2), "which concerns only who reads it");
}

#[test]
fn lengths_that_are_not_true_allocate_nothing() {
    let (folder, second) = two();
    // Field 1, of 2^40 bytes.
    let huge = [&[0x0a][..], &[0x80, 0x80, 0x80, 0x80, 0x80, 0x20], b"abc"].concat();
    fs::write(second.join(MANIFEST), &huge).expect("written");
    assert!(refused(folder.path()).expect("refused").contains("torn or foreign"));
    // A file that is truly long, all holes.
    let file = fs::File::create(second.join(MANIFEST)).expect("made");
    file.set_len(1 << 40).expect("a sparse file");
    let why = refused(folder.path()).expect("refused");
    assert_eq!(why, format!("manifest: over {MAX_MANIFEST_BYTES} bytes"));
}

fn child(name: &str, folder: &Path) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args([name, "--exact", "--ignored", "--test-threads=1"]);
    command.env(FOLDER, folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command
}

/// The child's part: a file system that takes so many bytes a file and no more, in the midst of a write.
#[test]
#[ignore = "run by the test below, in a process of its own"]
fn writes_where_little_fits() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let mut writer = writer(Path::new(&folder));
    writer.write(&content(1, 10), KEEP).expect("written");
    let limit = |bytes| Rlimit { current: bytes, maximum: None };
    setrlimit(Resource::Fsize, limit(Some(2048))).expect("set");
    for _ in 0..3 {
        let wrong = writer.write(&content(2, 400), KEEP).expect_err("too long");
        assert!(matches!(wrong, WriteError::Io(_)), "{wrong}");
        assert_eq!(look(&mut reader(Path::new(&folder), "r0")).0, Some(1), "the last one stands");
    }
    assert!(!Path::new(&folder).join("e1/new").exists(), "nothing is left lying about");
    setrlimit(Resource::Fsize, limit(None)).expect("set");
    writer.write(&content(3, 400), KEEP).expect("written");
}

#[test]
fn where_a_file_can_not_be_written_to_its_end_the_last_generation_stands() {
    let folder = tempfile::tempdir().expect("a folder");
    let command = child("faults::writes_where_little_fits", folder.path());
    // The signal would end it before it could say so.
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(command.get_program())
        .args(command.get_args());
    shell.env(FOLDER, folder.path()).stdin(Stdio::null()).stdout(Stdio::null());
    assert!(shell.status().expect("started").success());
    assert_eq!(look(&mut reader(folder.path(), "r0")).0, Some(3));
}

/// The child's part: a folder that turns read-only for it.
#[test]
#[ignore = "run by the test below, in a process of its own"]
fn writes_where_it_must_not() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let mut writer = writer(Path::new(&folder));
    writer.write(&content(1, 3), KEEP).expect("written");
    let epoch = Path::new(&folder).join("e1");
    let mode =
        |mode| fs::set_permissions(&epoch, std::os::unix::fs::PermissionsExt::from_mode(mode)).expect("set");
    mode(0o555);
    let wrong = writer.write(&content(2, 3), KEEP).expect_err("read-only");
    assert!(matches!(wrong, WriteError::Io(_)), "{wrong}");
    assert_eq!(look(&mut reader(Path::new(&folder), "r0")).0, Some(1), "the last one stands");
    mode(0o755);
    writer.write(&content(3, 3), KEEP).expect("written");
}

#[test]
fn where_the_folder_turns_read_only_the_last_generation_stands() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = child("faults::writes_where_it_must_not", folder.path());
    if rustix::process::geteuid().is_root() {
        // For root no folder is read-only: the child is somebody else, and runs from where that one may.
        let copy = folder.path().join("program");
        fs::copy(std::env::current_exe().expect("this program"), &copy).expect("copied");
        let open = std::os::unix::fs::PermissionsExt::from_mode(0o777);
        fs::set_permissions(folder.path(), open).expect("set");
        command = {
            let mut other = Command::new(&copy);
            other.args(command.get_args()).env(FOLDER, folder.path()).uid(65_534).current_dir(folder.path());
            other.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            other
        };
    }
    assert!(command.status().expect("started").success());
    assert_eq!(look(&mut reader(folder.path(), "r0")).0, Some(3));
}

#[test]
fn a_folder_that_is_not_there_is_no_epoch() {
    let folder = tempfile::tempdir().expect("a folder");
    let missing = folder.path().join("none");
    assert!(SnapshotWriter::take(&missing, "p", keys()).is_err());
    assert!(reader(&missing, "r0").look().is_err());
    let mut writer = writer(folder.path());
    fs::remove_dir_all(folder.path().join("e1")).expect("gone");
    assert!(matches!(writer.write(&content(1, 3), KEEP), Err(WriteError::Io(_))));
}
