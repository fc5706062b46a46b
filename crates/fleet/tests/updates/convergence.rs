//! Whatever a proxy held, and whatever happens to its connection, it ends with what was published.

use lockcroft::EndpointStatus;
use proptest::prelude::*;

use crate::simulation::{Disk, Simulation, ms};

#[derive(Clone, Debug)]
enum Fault {
    Drain(usize),
    Ready(usize),
    FallSilent(usize),
    SpeakAgain(usize),
    Disconnect(usize),
    Lag(usize),
    CatchUp(usize),
    Disk(Disk),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..5_usize).prop_map(Fault::Drain),
        (0..5_usize).prop_map(Fault::Ready),
        (0..3_usize).prop_map(Fault::FallSilent),
        (0..3_usize).prop_map(Fault::SpeakAgain),
        (0..3_usize).prop_map(Fault::Disconnect),
        (0..3_usize).prop_map(Fault::Lag),
        (0..3_usize).prop_map(Fault::CatchUp),
        prop_oneof![Just(Disk::Healthy), Just(Disk::Full), Just(Disk::Hanging)].prop_map(Fault::Disk),
        (1..900_u64).prop_map(Fault::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn proxies_converge_to_what_is_published(faults in proptest::collection::vec(fault(), 0..40)) {
        // Two of the three read files.
        let mut simulation = Simulation::with_file_readers(5, 3);
        let mut at = 4800;
        simulation.run_to(at);
        for fault in faults {
            match fault {
                Fault::Drain(endpoint) => simulation.set_status(endpoint, EndpointStatus::Draining),
                Fault::Ready(endpoint) => simulation.set_status(endpoint, EndpointStatus::Ready),
                Fault::FallSilent(proxy) => simulation.proxies[proxy].is_silent = true,
                Fault::SpeakAgain(proxy) => simulation.proxies[proxy].is_silent = false,
                Fault::Disconnect(proxy) => simulation.disconnect(proxy),
                Fault::Lag(proxy) => simulation.proxies[proxy].is_lagging = true,
                Fault::CatchUp(proxy) => simulation.proxies[proxy].is_lagging = false,
                Fault::Disk(disk) => simulation.disk = disk,
                Fault::Wait(millis) => {
                    at += millis;
                    simulation.run_to(at);
                }
            }
        }
        (0..5).for_each(|endpoint| simulation.set_status(endpoint, if endpoint == 3 { EndpointStatus::Draining } else { EndpointStatus::Ready }));
        simulation.proxies.iter_mut().for_each(|proxy| (proxy.is_silent, proxy.is_lagging) = (false, false));
        simulation.disk = Disk::Healthy;
        simulation.run_to(at + 20_000);
        let expected: Vec<(String, u32)> = [0, 1, 2, 4].map(|endpoint| (format!("e{endpoint}"), 256)).into();
        for proxy in 0..3 {
            prop_assert_eq!(&simulation.weights(proxy), &expected);
        }
        prop_assert_eq!(simulation.fleet.queued_entries(), 0);
        prop_assert!(simulation.now >= ms(at));
    }
}
