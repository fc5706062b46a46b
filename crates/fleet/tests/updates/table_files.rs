//! Proxies that read table files, next to proxies that are sent commands.

use expect_test::expect;
use lockcroft::EndpointStatus;
use lockcroft_fleet::{AppliedVersion, RejectedVersion, SnapshotReport};

use crate::simulation::{Disk, Simulation, ms};

#[test]
fn proxies_with_files_and_with_commands_get_the_same_tables() {
    let mut simulation = Simulation::with_file_readers(3, 4);
    simulation.run_to(6000);
    let applied_commands = |simulation: &Simulation| {
        simulation.trace.lines().filter(|line| line.contains("r0 applies")).collect::<Vec<_>>().join("\n")
    };
    expect![[r#"
        5.0 r0 applies: add server t0/e0 127.0.0.1:9000 weight 256
        5.0 r0 applies: set server t0/e0 state ready
        5.0 r0 applies: add server t0/e1 127.0.0.1:9001 weight 256
        5.0 r0 applies: set server t0/e1 state ready
        5.0 r0 applies: add server t0/e2 127.0.0.1:9002 weight 256
        5.0 r0 applies: set server t0/e2 state ready
        5.0 r0 applies: set var proc.level_look_up int(1000)
        5.0 r0 applies: set var proc.again_look_up int(1)
        5.0 r0 applies: set map classes look-up t0"#]]
    .assert_eq(&applied_commands(&simulation));
    assert_eq!(simulation.weights(0), simulation.weights(1));
    simulation.clear_trace().set_status(1, EndpointStatus::Draining);
    simulation.run_to(7000);
    expect!["6.0 r0 applies: set server t0/e1 weight 0"].assert_eq(&applied_commands(&simulation));
    assert_eq!(simulation.weights(2), simulation.weights(3));
    // Two proxies read files and two are sent commands: those that read files are not sent commands as well.
    assert!(
        !simulation
            .trace
            .lines()
            .any(|line| line.contains("r0: set server") || line.contains("r2: set server"))
    );
}

/// An endpoint that drains during the start-up hold is ejected by a snapshot that assigns no tables.
#[test]
fn endpoint_draining_in_the_startup_hold_is_ejected_by_a_snapshot() {
    let mut simulation = Simulation::with_file_readers(3, 1);
    simulation.run_to(1000).set_status(1, EndpointStatus::Draining);
    simulation.run_to(1500);
    expect!["1.0 r0 applies: set server standing/e1 state maint"].assert_eq(
        &simulation.trace.lines().filter(|line| line.contains("applies")).collect::<Vec<_>>().join("\n"),
    );
    let (_, publication) = simulation.current_snapshot.clone().expect("written");
    assert!(publication.content.groups.is_empty() && publication.retention.keep_earlier_epochs);
}

/// A proxy without a connection still applies snapshots.
#[test]
fn files_reach_a_disconnected_proxy() {
    let mut simulation = Simulation::with_file_readers(3, 2);
    simulation.run_to(6000).proxies[0].is_unreachable = true;
    simulation.disconnect(0);
    simulation.run_to(6500).set_status(2, EndpointStatus::Draining);
    simulation.run_to(8000);
    assert_eq!(simulation.weights(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e1"]);
}

/// While the disk is full, the last snapshot stays in use, the error is shown and entries are queued. All changes are
/// part of the snapshot that is written once there is space.
#[test]
fn full_disk_is_reported_and_writing_is_retried() {
    let mut simulation = Simulation::with_file_readers(4, 1);
    simulation.run_to(6000);
    let version = simulation.current_snapshot.as_ref().map(|(version, _)| *version).expect("written");
    simulation.disk = Disk::Full;
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(7000).set_status(2, EndpointStatus::Draining);
    simulation.run_to(9000);
    assert_eq!(simulation.current_snapshot.as_ref().map(|(version, _)| *version), Some(version));
    assert!(simulation.fleet.queued_entries() >= 2, "{}", simulation.fleet.queued_entries());
    let info = simulation.fleet.show_info();
    assert!(
        info.contains(
            "FilesTrouble: failed to write a snapshot, the previous one stays in use: no space left on device"
        ),
        "{info}"
    );
    let failures: usize =
        info.lines().find_map(|line| line.strip_prefix("FilesFailures: ")?.parse().ok()).expect("shown");
    assert!((3..=8).contains(&failures), "the backoff grows: {failures}");
    simulation.disk = Disk::Healthy;
    simulation.run_to(15_000);
    assert_eq!(simulation.weights(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e3"]);
    assert_eq!(simulation.fleet.queued_entries(), 0);
    assert!(simulation.fleet.show_info().contains("FilesTrouble: -"));
}

/// The disk hangs while one snapshot is in flight: all changes made meanwhile are part of the next snapshot.
#[test]
fn changes_during_a_write_are_written_as_one_snapshot() {
    let mut simulation = Simulation::with_file_readers(4, 1);
    simulation.run_to(6000);
    let version = simulation.current_snapshot.as_ref().map(|(version, _)| *version).expect("written");
    simulation.disk = Disk::Hanging;
    for (at, endpoint) in [(6200, 1), (6600, 2), (7000, 3)] {
        simulation.set_status(endpoint, EndpointStatus::Draining);
        simulation.run_to(at);
    }
    simulation.disk = Disk::Healthy;
    simulation.run_to(8000);
    assert_eq!(simulation.current_snapshot.as_ref().map(|(version, _)| *version), Some(version + 2));
    assert_eq!(simulation.weights(0).len(), 1);
}

#[test]
fn fenced_controller_stops_writing_and_reports_the_epoch() {
    let mut simulation = Simulation::with_file_readers(4, 2);
    simulation.run_to(6000);
    simulation.disk = Disk::Fenced;
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(7000).disk = Disk::Healthy;
    simulation.run_to(12_000);
    assert!(simulation.fleet.show_info().contains("FilesFencedBy: 2"), "{}", simulation.fleet.show_info());
    assert_eq!(simulation.weights(0).len(), 4, "the folder belongs to another controller");
    assert_eq!(simulation.weights(1).len(), 3, "proxies that are sent commands are still updated");
}

#[test]
fn rejected_snapshot_is_shown() {
    let mut simulation = Simulation::with_file_readers(2, 1);
    simulation.run_to(6000);
    assert!(simulation.fleet.show_proxies().contains(" files:e1g"), "{}", simulation.fleet.show_proxies());
    let reason = "table-0: does not match its recorded digest".to_string();
    let rejected = Some(RejectedVersion { epoch: 1, version: 9, reason });
    let applied = Some(AppliedVersion { epoch: 1, version: 1, applied_at: ms(5100) });
    simulation.fleet.snapshot_reported(ms(6000), SnapshotReport { proxy: "r0".into(), applied, rejected });
    let shown = simulation.fleet.show_proxies();
    assert!(shown.contains("refuses e1 g9: table-0: does not match its recorded digest"), "{shown}");
    simulation
        .fleet
        .snapshot_reported(ms(6000), SnapshotReport { proxy: "unknown".into(), ..SnapshotReport::default() });
}
