//! Proxies that read files beside proxies that are ordered.

use expect_test::expect;
use lockcroft::EndpointStatus;
use lockcroft_fleet::AppliedReport;

use crate::stage::{Disk, Stage, ms};

#[test]
fn both_fronts_hold_the_same_tables() {
    let mut stage = Stage::both_fronts(3, 4);
    stage.run_to(6000);
    let lays = |stage: &Stage| {
        stage.trace.lines().filter(|line| line.contains("r0 lays")).collect::<Vec<_>>().join("\n")
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
    .assert_eq(&lays(&stage));
    assert_eq!(stage.picks(0), stage.picks(1));
    stage.quiet().state(1, EndpointStatus::Draining);
    stage.run_to(7000);
    expect!["6.0 r0 lays: set server t0/e1 weight 0"].assert_eq(&lays(&stage));
    assert_eq!(stage.picks(2), stage.picks(3));
    // Two proxies read, two are ordered: nobody is told twice, and nobody who reads is ordered anything.
    assert!(
        !stage.trace.lines().any(|line| line.contains("r0: set server") || line.contains("r2: set server"))
    );
}

/// The hold lasts, and a drain binds all the same: the first generation names nobody, and bars the server.
#[test]
fn a_drain_in_the_hold_is_a_generation_of_its_own() {
    let mut stage = Stage::both_fronts(3, 1);
    stage.run_to(1000).state(1, EndpointStatus::Draining);
    stage.run_to(1500);
    expect!["1.0 r0 lays: set server standing/e1 state maint"]
        .assert_eq(&stage.trace.lines().filter(|line| line.contains("lays")).collect::<Vec<_>>().join("\n"));
    let (_, publication) = stage.current.clone().expect("written");
    assert!(publication.content.groups.is_empty() && publication.keep.earlier_epochs);
}

/// Its stream is broken, and files reach it all the same.
#[test]
fn a_broken_stream_keeps_no_file_away() {
    let mut stage = Stage::both_fronts(3, 2);
    stage.run_to(6000).peers[0].away = true;
    stage.cut(0);
    stage.run_to(6500).state(2, EndpointStatus::Draining);
    stage.run_to(8000);
    assert_eq!(stage.picks(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e1"]);
}

/// The last generation stands, people are told, lines wait, and all that changed goes out as one once there is room.
#[test]
fn a_full_disk_is_told_and_tried_again() {
    let mut stage = Stage::both_fronts(4, 1);
    stage.run_to(6000);
    let version = stage.current.as_ref().map(|(version, _)| *version).expect("written");
    stage.disk = Disk::Full;
    stage.state(1, EndpointStatus::Draining);
    stage.run_to(7000).state(2, EndpointStatus::Draining);
    stage.run_to(9000);
    assert_eq!(stage.current.as_ref().map(|(version, _)| *version), Some(version));
    assert!(stage.helm.lines_waiting() >= 2, "{}", stage.helm.lines_waiting());
    let info = stage.helm.show_info();
    assert!(info.contains("FilesTrouble: no generation was written, the last one stands: no room"), "{info}");
    let failures: usize =
        info.lines().find_map(|l| l.strip_prefix("FilesFailures: ")?.parse().ok()).expect("told");
    assert!((3..=8).contains(&failures), "the waits grow: {failures}");
    stage.disk = Disk::Well;
    stage.run_to(15_000);
    assert_eq!(stage.picks(0).iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(), ["e0", "e3"]);
    assert_eq!(stage.helm.lines_waiting(), 0);
    assert!(stage.helm.show_info().contains("FilesTrouble: -"));
}

/// A disk that hangs: one generation is on its way, and what comes meanwhile is the next.
#[test]
fn what_comes_while_one_is_written_goes_as_one() {
    let mut stage = Stage::both_fronts(4, 1);
    stage.run_to(6000);
    let version = stage.current.as_ref().map(|(version, _)| *version).expect("written");
    stage.disk = Disk::Hangs;
    for (at, server) in [(6200, 1), (6600, 2), (7000, 3)] {
        stage.state(server, EndpointStatus::Draining);
        stage.run_to(at);
    }
    stage.disk = Disk::Well;
    stage.run_to(8000);
    assert_eq!(stage.current.as_ref().map(|(version, _)| *version), Some(version + 2));
    assert_eq!(stage.picks(0).len(), 1);
}

#[test]
fn one_that_was_fenced_off_writes_no_more_and_says_so() {
    let mut stage = Stage::both_fronts(4, 2);
    stage.run_to(6000);
    stage.disk = Disk::Fenced;
    stage.state(1, EndpointStatus::Draining);
    stage.run_to(7000).disk = Disk::Well;
    stage.run_to(12_000);
    assert!(stage.helm.show_info().contains("FilesFencedBy: 2"), "{}", stage.helm.show_info());
    assert_eq!(stage.picks(0).len(), 4, "the folder is another's");
    assert_eq!(stage.picks(1).len(), 3, "proxies that are ordered are still its own");
}

#[test]
fn what_a_proxy_refuses_is_shown() {
    let mut stage = Stage::both_fronts(2, 1);
    stage.run_to(6000);
    assert!(stage.helm.show_proxies().contains(" files:e1g"), "{}", stage.helm.show_proxies());
    let refused = Some((1, 9, "table-0: not as the manifest has it".to_string()));
    stage.helm.laid(ms(6000), AppliedReport { proxy: "r0".into(), laid: Some((1, 1, ms(5100))), refused });
    let shown = stage.helm.show_proxies();
    assert!(shown.contains("refuses e1 g9: table-0: not as the manifest has it"), "{shown}");
    stage.helm.laid(ms(6000), AppliedReport { proxy: "nobody".into(), ..AppliedReport::default() });
}
