//! Convergence of proxies to the published state after random sequences of faults.

use lockcroft::EndpointStatus;
use proptest::prelude::*;

use crate::simulation::{Disk, Simulation, ms};

/// A fault or its end, a change of the endpoint list, or a delay.
#[derive(Clone, Debug)]
enum Step {
    Drain(usize),
    Ready(usize),
    StopResponding(usize),
    ResumeResponding(usize),
    Disconnect(usize),
    StopApplying(usize),
    ResumeApplying(usize),
    Disk(Disk),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5_usize).prop_map(Step::Drain),
        (0..5_usize).prop_map(Step::Ready),
        (0..3_usize).prop_map(Step::StopResponding),
        (0..3_usize).prop_map(Step::ResumeResponding),
        (0..3_usize).prop_map(Step::Disconnect),
        (0..3_usize).prop_map(Step::StopApplying),
        (0..3_usize).prop_map(Step::ResumeApplying),
        prop_oneof![Just(Disk::Healthy), Just(Disk::Full), Just(Disk::Hanging)].prop_map(Step::Disk),
        (1..900_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn proxies_converge_to_the_published_state(steps in proptest::collection::vec(step(), 0..40)) {
        // Two of the three proxies read files.
        let mut simulation = Simulation::with_file_readers(5, 3);
        let mut at = 4800;
        simulation.run_to(at);
        for step in steps {
            match step {
                Step::Drain(endpoint) => simulation.set_status(endpoint, EndpointStatus::Draining),
                Step::Ready(endpoint) => simulation.set_status(endpoint, EndpointStatus::Ready),
                Step::StopResponding(proxy) => simulation.proxies[proxy].is_silent = true,
                Step::ResumeResponding(proxy) => simulation.proxies[proxy].is_silent = false,
                Step::Disconnect(proxy) => simulation.disconnect(proxy),
                Step::StopApplying(proxy) => simulation.proxies[proxy].is_lagging = true,
                Step::ResumeApplying(proxy) => simulation.proxies[proxy].is_lagging = false,
                Step::Disk(disk) => simulation.disk = disk,
                Step::Wait(millis) => {
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
