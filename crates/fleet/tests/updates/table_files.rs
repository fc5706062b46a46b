//! Proxies that read files beside proxies that are sent commands.

use expect_test::expect;
use lockcroft::EndpointStatus;
use lockcroft_fleet::{AppliedVersion, RejectedVersion, SnapshotReport};

use crate::simulation::{Disk, Simulation, ms};

#[test]
fn proxies_with_files_and_with_commands_hold_the_same_tables() {
    let mut simulation = Simulation::with_file_readers(3, 4);
    simulation.run_to(6000);
    let applied_commands = |simulation: &Simulation| {
        simulation.trace.lines().filter(|line| line.contains("r0 lays")).collect::<Vec<_>>().join("\n")
    };
    expect![[r#"
        5.0 r0 lays: add server t0/e0 127.0.0.1:9000 weight 256
        5.0 r0 lays: set server t0/e0 state ready
        5.0 r0 lays: add server t0/e1 127.0.0.1:9001 weight 256
        5.0 r0 lays: set server t0/e1 state ready
        5.0 r0 lays: add server t0/e2 127.0.0.1:9002 weight 256
        5.0 r0 lays: set server t0/e2 state ready
        5.0 r0 lays: set var proc.level_look_up int(1000)
        5.0 r0 lays: set var proc.again_look_up int(1)
        5.0 r0 lays: set map classes look-up t0"#]]
    .assert_eq(&applied_commands(&simulation));
    assert_eq!(simulation.weights(0), simulation.weights(1));
    simulation.clear_trace().set_status(1, EndpointStatus::Draining);
    simulation.run_to(7000);
    expect!["6.0 r0 lays: set server t0/e1 weight 0"].assert_eq(&applied_commands(&simulation));
    assert_eq!(simulation.weights(2), simulation.weights(3));
    // Two proxies read files, two are sent commands: nobody gets an update twice, and nobody who reads is sent any.
    assert!(
        !simulation
            .trace
            .lines()
            .any(|line| line.contains("r0: set server") || line.contains("r2: set server"))
    );
}

/// The start-up hold lasts, and a drain counts all the same: the first snapshot assigns no table, and ejects the
/// endpoint.
#[test]
fn a_drain_in_the_startup_hold_is_a_snapshot_of_its_own() {
    let mut simulation = Simulation::with_file_readers(3, 1);
    simulation.run_to(1000).set_status(1, EndpointStatus::Draining);
    simulation.run_to(1500);
    expect!["1.0 r0 lays: set server standing/e1 state maint"].assert_eq(
        &simulation.trace.lines().filter(|line| line.contains("lays")).collect::<Vec<_>>().join("\n"),
    );
    let (_, publication) = simulation.current_snapshot.clone().expect("written");
    assert!(publication.content.groups.is_empty() && publication.retention.keep_earlier_epochs);
}

/// Its connection is broken, and files reach it all the same.
#[test]
fn files_reach_a_disconnected_proxy() {
    let mut simulation = Simulation::with_file_readers(3, 2);
    simulation.run_to(6000).proxies[0].is_unreachable = true;
    simulation.disconnect(0);
    simulation.run_to(6500).set_status(2, EndpointStatus::Draining);
    simulation.run_to(8000);
    assert_eq!(simulation.weights(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e1"]);
}

/// The last snapshot stands, people are notified, entries wait, and all that changed goes out as one once there is
/// room.
#[test]
fn a_full_disk_is_reported_and_writing_is_retried() {
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
        info.contains("FilesTrouble: failed to write a snapshot, the previous one stays in use: no room"),
        "{info}"
    );
    let failures: usize =
        info.lines().find_map(|l| l.strip_prefix("FilesFailures: ")?.parse().ok()).expect("shown");
    assert!((3..=8).contains(&failures), "the waits grow: {failures}");
    simulation.disk = Disk::Healthy;
    simulation.run_to(15_000);
    assert_eq!(simulation.weights(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e3"]);
    assert_eq!(simulation.fleet.queued_entries(), 0);
    assert!(simulation.fleet.show_info().contains("FilesTrouble: -"));
}

/// A disk that hangs: one snapshot is in flight, and what comes meanwhile is the next.
#[test]
fn changes_during_a_write_go_out_as_one_snapshot() {
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
fn a_fenced_controller_writes_no_more_and_says_so() {
    let mut simulation = Simulation::with_file_readers(4, 2);
    simulation.run_to(6000);
    simulation.disk = Disk::Fenced;
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(7000).disk = Disk::Healthy;
    simulation.run_to(12_000);
    assert!(simulation.fleet.show_info().contains("FilesFencedBy: 2"), "{}", simulation.fleet.show_info());
    assert_eq!(simulation.weights(0).len(), 4, "the folder is another's");
    assert_eq!(simulation.weights(1).len(), 3, "proxies that are sent commands are still its own");
}

#[test]
fn a_rejected_snapshot_is_shown() {
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
        .snapshot_reported(ms(6000), SnapshotReport { proxy: "nobody".into(), ..SnapshotReport::default() });
}
