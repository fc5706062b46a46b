//! A writer in a process of its own, killed outright at random points while readers follow: none ever lays a
//! mixture, none goes back, and what was written before a kill stands after it.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lockcroft_table_store::WriteError;
use rustix::process::{Pid, Signal, kill_process};

use crate::stage::*;

const READERS: usize = 50;
/// In CI; `LOCKCROFT_KILLS=1000` for the figure in docs/measured.md.
const KILLS: u64 = 120;
const FOLDER: &str = "LOCKCROFT_TEST_FOLDER";

/// The child's part: writes until it is killed.
#[test]
#[ignore = "run by the test below, in a process of its own"]
fn writes_until_killed() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let mut writer = writer(Path::new(&folder));
    for version in 1.. {
        let stamp = (writer.epoch() * 1000 + version) as u32;
        writer.write(&content(stamp, 40), KEEP).expect("written");
    }
}

fn spawn(part: &str, folder: &Path) -> Child {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args([part, "--exact", "--ignored", "--test-threads=1"]);
    command.env(FOLDER, folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("started")
}

#[test]
fn killed_at_any_point_the_last_generation_or_the_next_stands() {
    let folder = tempfile::tempdir().expect("a folder");
    let kills: u64 =
        std::env::var("LOCKCROFT_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(KILLS);
    let (over, laid, torn) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for number in 0..READERS {
            let (folder, over, laid, torn) = (folder.path(), &over, &laid, &torn);
            scope.spawn(move || {
                let mut reader = reader(folder, &format!("r{}", number % 2));
                let mut last = (0, 0);
                while !over.load(Ordering::Relaxed) {
                    let looked = reader.look().expect("the folder is there");
                    for mine in &looked.lay {
                        assert!((mine.epoch, mine.version) > last, "it went back");
                        last = (mine.epoch, mine.version);
                        assert_eq!(u64::from(stamp(mine)), mine.epoch * 1000 + mine.version);
                        laid.fetch_add(1, Ordering::Relaxed);
                    }
                    // A generation may be taken away under a reader that is slow; a torn one must not be met.
                    let gone = |why: &str| why.contains("No such file");
                    torn.fetch_add(
                        looked.refused.iter().filter(|refused| !gone(&refused.why)).count() as u64,
                        Ordering::Relaxed,
                    );
                    std::thread::sleep(Duration::from_millis(3));
                }
            });
        }
        // The stops are spread over a writer's start and some generations of it.
        let mut draw = 12345_u64;
        for _ in 0..kills {
            let mut child = spawn("kills::writes_until_killed", folder.path());
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            std::thread::sleep(Duration::from_micros(5_000 + (draw >> 33) % 30_000));
            child.kill().and_then(|()| child.wait()).expect("ended");
            // Whoever starts now finds a sound generation, once there has been one.
            let looked = reader(folder.path(), "r0").look().expect("the folder is there");
            let found = looked.lay.last().map(stamp);
            assert!(found.is_some() || laid.load(Ordering::Relaxed) == 0, "{looked:?}");
        }
        over.store(true, Ordering::Relaxed);
    });
    let (laid, torn) = (laid.into_inner(), torn.into_inner());
    println!("{kills} kills, {READERS} readers, {laid} generations laid, {torn} met torn");
    assert!(laid > kills && torn == 0, "{laid} laid, {torn} torn");
}

/// The child's part: writes until it is told that another has taken over.
#[test]
#[ignore = "run by the test below, in a process of its own"]
fn writes_until_fenced() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let mut writer = writer(Path::new(&folder));
    for version in 1.. {
        let stamp = (writer.epoch() * 1000 + version) as u32;
        match writer.write(&content(stamp, 40), KEEP) {
            Err(WriteError::Fenced(2)) => std::process::exit(42),
            done => drop(done.expect("written")),
        }
    }
}

/// Two pilots on one folder: the first is stopped in the midst of its work, for long enough that the second takes over,
/// and then goes on. Whatever it was at, its tables are laid by nobody, and it stops by itself and says so.
#[test]
fn a_writer_that_was_stopped_for_a_while_is_fenced_off() {
    for round in 0..12_u64 {
        let folder = tempfile::tempdir().expect("a folder");
        let mut first = spawn("kills::writes_until_fenced", folder.path());
        let pid = i32::try_from(first.id()).ok().and_then(Pid::from_raw).expect("a process");
        let mut reader = reader(folder.path(), "r0");
        let mut laid = None;
        while laid.is_none() {
            laid = look(&mut reader).0;
        }
        std::thread::sleep(Duration::from_micros(round * 733));
        kill_process(pid, Signal::STOP).expect("stopped");
        let mut second = writer(folder.path());
        second.write(&content(2001, 40), KEEP).expect("written");
        std::thread::sleep(Duration::from_millis(if round == 0 { 2000 } else { 20 }));
        assert_eq!(look(&mut reader).0, Some(2001));
        kill_process(pid, Signal::CONT).expect("goes on");
        let ended = first.wait().expect("ended");
        assert_eq!(ended.code(), Some(42), "it stops and says why");
        assert_eq!(look(&mut reader), (None, vec![]), "nobody follows it any more");
        assert_eq!(look(&mut crate::stage::reader(folder.path(), "r1")).0, Some(2001));
    }
}
