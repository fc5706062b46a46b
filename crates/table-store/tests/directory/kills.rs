//! Writer processes are killed or paused at random points while readers scan. No reader may apply a mixture of two
//! snapshots or an older one than before, and what was published before a kill has to be current after it.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lockcroft_table_store::WriteError;
use rustix::process::{Pid, Signal, kill_process};

use crate::support::*;

const READERS: usize = 50;
/// Default number of kills; `LOCKCROFT_KILLS` overrides it (1000 for the figure in docs/measured.md).
const KILLS: u64 = 120;
const DIRECTORY_VARIABLE: &str = "LOCKCROFT_TEST_FOLDER";

/// Runs in a child process: writes snapshots until it is killed.
#[test]
#[ignore = "run in a child process by a test below"]
fn writes_until_killed() {
    let Ok(directory) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let mut writer = writer(Path::new(&directory));
    for version in 1.. {
        let stamp = (writer.epoch() * 1000 + version) as u32;
        writer.write(&content(stamp, 40), RETENTION).expect("written");
    }
}

/// Starts a child process that runs an ignored test of this program.
fn spawn(test_name: &str, directory: &Path) -> Child {
    let mut command = Command::new(std::env::current_exe().expect("path of the test program"));
    command.args([test_name, "--exact", "--ignored", "--test-threads=1"]);
    command
        .env(DIRECTORY_VARIABLE, directory)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command.spawn().expect("started")
}

#[test]
fn killed_at_any_point_the_last_or_the_next_snapshot_is_current() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let kills: u64 =
        std::env::var("LOCKCROFT_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(KILLS);
    let is_over = AtomicBool::new(false);
    let applied = AtomicU64::new(0);
    let corrupt = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for number in 0..READERS {
            let (directory, is_over, applied, corrupt) = (directory.path(), &is_over, &applied, &corrupt);
            scope.spawn(move || {
                let mut reader = reader(directory, &format!("r{}", number % 2));
                let mut last = (0, 0);
                while !is_over.load(Ordering::Relaxed) {
                    let result = reader.scan().expect("the directory exists");
                    for snapshot in &result.to_apply {
                        assert!((snapshot.epoch, snapshot.version) > last, "older than the last one applied");
                        last = (snapshot.epoch, snapshot.version);
                        assert_eq!(u64::from(stamp(snapshot)), snapshot.epoch * 1000 + snapshot.version);
                        applied.fetch_add(1, Ordering::Relaxed);
                    }
                    // A snapshot may be removed while a slow reader reads it; a corrupt one must never be found.
                    let is_removed = |reason: &str| reason.contains("No such file");
                    corrupt.fetch_add(
                        result.rejected.iter().filter(|rejected| !is_removed(&rejected.reason)).count()
                            as u64,
                        Ordering::Relaxed,
                    );
                    std::thread::sleep(Duration::from_millis(3));
                }
            });
        }
        // The delays spread the kills over a writer's start and its first snapshots.
        let mut random = 12345_u64;
        for _ in 0..kills {
            let mut child = spawn("kills::writes_until_killed", directory.path());
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            std::thread::sleep(Duration::from_micros(5_000 + (random >> 33) % 30_000));
            child.kill().and_then(|()| child.wait()).expect("killed");
            // Once any reader has applied a snapshot, a reader that starts later finds a valid one.
            let result = reader(directory.path(), "r0").scan().expect("the directory exists");
            let found = result.to_apply.last().map(stamp);
            assert!(found.is_some() || applied.load(Ordering::Relaxed) == 0, "{result:?}");
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let applied = applied.into_inner();
    let corrupt = corrupt.into_inner();
    println!("{kills} kills, {READERS} readers, {applied} snapshots applied, {corrupt} found corrupt");
    assert!(applied > kills && corrupt == 0, "{applied} applied, {corrupt} corrupt");
}

/// Runs in a child process: writes snapshots until it is fenced, and then exits with code 42.
#[test]
#[ignore = "run in a child process by a test below"]
fn writes_until_fenced() {
    let Ok(directory) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let mut writer = writer(Path::new(&directory));
    for version in 1.. {
        let stamp = (writer.epoch() * 1000 + version) as u32;
        match writer.write(&content(stamp, 40), RETENTION) {
            Err(WriteError::Fenced(2)) => std::process::exit(42),
            result => drop(result.expect("written")),
        }
    }
}

/// Guards against a writer that is paused (SIGSTOP) at an arbitrary point and resumed after another one has taken over.
/// Its snapshots must not be applied, and it has to detect that it was fenced.
#[test]
fn a_writer_that_was_paused_is_fenced() {
    for round in 0..12_u64 {
        let directory = tempfile::tempdir().expect("temporary directory");
        let mut first = spawn("kills::writes_until_fenced", directory.path());
        let pid = i32::try_from(first.id()).ok().and_then(Pid::from_raw).expect("valid process ID");
        let mut reader = reader(directory.path(), "r0");
        let mut applied = None;
        while applied.is_none() {
            applied = scan(&mut reader).0;
        }
        std::thread::sleep(Duration::from_micros(round * 733));
        kill_process(pid, Signal::STOP).expect("stopped");
        let mut second = writer(directory.path());
        second.write(&content(2001, 40), RETENTION).expect("written");
        std::thread::sleep(Duration::from_millis(if round == 0 { 2000 } else { 20 }));
        assert_eq!(scan(&mut reader).0, Some(2001));
        kill_process(pid, Signal::CONT).expect("resumed");
        let exit_status = first.wait().expect("exited");
        assert_eq!(exit_status.code(), Some(42), "it exits because it was fenced");
        assert_eq!(scan(&mut reader), (None, vec![]), "its epoch is no longer read");
        assert_eq!(scan(&mut crate::support::reader(directory.path(), "r1")).0, Some(2001));
    }
}
