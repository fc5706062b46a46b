//! Health checks that time out at the instant of their answer, or after it.

use lockcroft::{EndpointId, HealthCheckOutcome};

use crate::test_fleet::{TestFleet, ms};

/// A controller whose check of the first endpoint starts now and is not answered by the test fleet.
fn sent() -> TestFleet {
    let mut fleet = TestFleet::new(4);
    fleet.run_until(8000);
    fleet.health[0] = HealthCheckOutcome::Failed;
    let before = out(&fleet);
    while out(&fleet).is_none() || out(&fleet) == before {
        let next = fleet.controller.next_due().as_millis() as u64 + 1;
        fleet.run_until(next);
    }
    fleet
}

/// When the check that is under way started.
fn out(fleet: &TestFleet) -> Option<std::time::Duration> {
    fleet.controller.state().endpoints[&(0 as EndpointId)].health_check.started_at
}

fn counter(fleet: &TestFleet) -> Option<u32> {
    fleet.controller.state().endpoints[&(0 as EndpointId)].health.value()
}

/// A check that timed out may be followed by the next at once. An answer to the first that comes then, in
/// time by the clock of the caller, ended the second one.
#[test]
fn late_answer_does_not_end_the_next_health_check() {
    let mut fleet = sent();
    // After two timeouts the next check starts at the instant at which one times out.
    let (mut first, mut second) = (out(&fleet), None);
    while second.is_none_or(|second| Some(second) > first.map(|first| first + ms(501))) {
        first = out(&fleet);
        while out(&fleet).is_none() || out(&fleet) == first {
            let next = fleet.controller.next_due().as_millis() as u64 + 1;
            fleet.run_until(next);
        }
        second = out(&fleet);
    }
    let before = counter(&fleet);
    fleet.controller.health_check_finished(fleet.now, 0, HealthCheckOutcome::Refused, ms(499));
    assert_eq!((out(&fleet), counter(&fleet)), (second, before));
}

/// An answer at the instant at which its check times out: either order leaves the same state.
#[test]
fn answer_at_the_timeout_comes_too_late_in_either_order() {
    for latency in [490, 499, 500, 501] {
        let counters = [true, false].map(|answer_first| {
            let mut fleet = sent();
            fleet.now = out(&fleet).expect("one is out") + ms(500);
            if answer_first {
                fleet.controller.health_check_finished(
                    fleet.now,
                    0,
                    HealthCheckOutcome::Passed(None),
                    ms(latency),
                );
            }
            let decisions = std::iter::from_fn(|| fleet.controller.next_action(fleet.now)).count();
            if !answer_first {
                fleet.controller.health_check_finished(
                    fleet.now,
                    0,
                    HealthCheckOutcome::Passed(None),
                    ms(latency),
                );
            }
            (counter(&fleet), out(&fleet), decisions)
        });
        assert_eq!(counters[0], counters[1], "after {latency} ms");
    }
}
