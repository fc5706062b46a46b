//! Whatever a proxy held, and whatever happens on its stream, it ends with what was published.

use lockcroft::EndpointStatus;
use proptest::prelude::*;

use crate::stage::{Disk, Stage, ms};

#[derive(Clone, Debug)]
enum Trouble {
    Drain(usize),
    Ready(usize),
    Silent(usize),
    Speaks(usize),
    Cut(usize),
    Lags(usize),
    Catches(usize),
    Disk(Disk),
    Wait(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (0..5_usize).prop_map(Trouble::Drain),
        (0..5_usize).prop_map(Trouble::Ready),
        (0..3_usize).prop_map(Trouble::Silent),
        (0..3_usize).prop_map(Trouble::Speaks),
        (0..3_usize).prop_map(Trouble::Cut),
        (0..3_usize).prop_map(Trouble::Lags),
        (0..3_usize).prop_map(Trouble::Catches),
        prop_oneof![Just(Disk::Well), Just(Disk::Full), Just(Disk::Hangs)].prop_map(Trouble::Disk),
        (1..900_u64).prop_map(Trouble::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn proxies_end_alike(troubles in proptest::collection::vec(trouble(), 0..40)) {
        // Two of the three read files.
        let mut stage = Stage::both_fronts(5, 3);
        let mut at = 4800;
        stage.run_to(at);
        for trouble in troubles {
            match trouble {
                Trouble::Drain(server) => stage.state(server, EndpointStatus::Draining),
                Trouble::Ready(server) => stage.state(server, EndpointStatus::Ready),
                Trouble::Silent(proxy) => stage.peers[proxy].silent = true,
                Trouble::Speaks(proxy) => stage.peers[proxy].silent = false,
                Trouble::Cut(proxy) => stage.cut(proxy),
                Trouble::Lags(proxy) => stage.peers[proxy].lags = true,
                Trouble::Catches(proxy) => stage.peers[proxy].lags = false,
                Trouble::Disk(disk) => stage.disk = disk,
                Trouble::Wait(millis) => {
                    at += millis;
                    stage.run_to(at);
                }
            }
        }
        (0..5).for_each(|server| stage.state(server, if server == 3 { EndpointStatus::Draining } else { EndpointStatus::Ready }));
        stage.peers.iter_mut().for_each(|peer| (peer.silent, peer.lags) = (false, false));
        stage.disk = Disk::Well;
        stage.run_to(at + 20_000);
        let wanted: Vec<(String, u32)> = [0, 1, 2, 4].map(|server| (format!("e{server}"), 256)).into();
        for proxy in 0..3 {
            prop_assert_eq!(&stage.picks(proxy), &wanted);
        }
        prop_assert_eq!(stage.helm.lines_waiting(), 0);
        prop_assert!(stage.now >= ms(at));
    }
}
