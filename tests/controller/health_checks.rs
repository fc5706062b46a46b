//! Health checks whose answer arrives at or after their timeout.

use lockcroft::{EndpointId, HealthCheckOutcome};

use crate::test_fleet::{TestFleet, ms};

/// A fleet whose check of the first endpoint starts now and gets no answer from the test fleet.
fn fleet_with_check_in_progress() -> TestFleet {
    let mut fleet = TestFleet::new(4);
    fleet.run_until(8000);
    fleet.health[0] = HealthCheckOutcome::Failed;
    let before = check_started_at(&fleet);
    while check_started_at(&fleet).is_none() || check_started_at(&fleet) == before {
        let next = fleet.controller.next_due().as_millis() as u64 + 1;
        fleet.run_until(next);
    }
    fleet
}

/// The start time of the check in progress.
fn check_started_at(fleet: &TestFleet) -> Option<std::time::Duration> {
    fleet.controller.state().endpoints[&(0 as EndpointId)].health_check.started_at
}

/// The value of the first endpoint's rise/fall counter.
fn counter(fleet: &TestFleet) -> Option<u32> {
    fleet.controller.state().endpoints[&(0 as EndpointId)].health.value()
}

/// Guards against a late answer that ends the wrong check: the next check may start at the instant at which
/// the previous one times out, and an answer to the previous one, on time by the caller's clock, ended the
/// next one.
#[test]
fn late_answer_does_not_end_the_next_health_check() {
    let mut fleet = fleet_with_check_in_progress();
    // After two timeouts the next check starts at the instant at which one times out.
    let (mut first, mut second) = (check_started_at(&fleet), None);
    while second.is_none_or(|second| Some(second) > first.map(|first| first + ms(501))) {
        first = check_started_at(&fleet);
        while check_started_at(&fleet).is_none() || check_started_at(&fleet) == first {
            let next = fleet.controller.next_due().as_millis() as u64 + 1;
            fleet.run_until(next);
        }
        second = check_started_at(&fleet);
    }
    let before = counter(&fleet);
    fleet.controller.health_check_finished(fleet.now, 0, HealthCheckOutcome::Refused, ms(499));
    assert_eq!((check_started_at(&fleet), counter(&fleet)), (second, before));
}

/// An answer and the timeout of its check at the same instant leave the same state in either order.
#[test]
fn answer_at_the_timeout_is_late_in_either_order() {
    for latency in [490, 499, 500, 501] {
        let counters = [true, false].map(|answer_first| {
            let mut fleet = fleet_with_check_in_progress();
            fleet.now = check_started_at(&fleet).expect("a check is in progress") + ms(500);
            if answer_first {
                fleet.controller.health_check_finished(
                    fleet.now,
                    0,
                    HealthCheckOutcome::Passed(None),
                    ms(latency),
                );
            }
            let action_count = std::iter::from_fn(|| fleet.controller.next_action(fleet.now)).count();
            if !answer_first {
                fleet.controller.health_check_finished(
                    fleet.now,
                    0,
                    HealthCheckOutcome::Passed(None),
                    ms(latency),
                );
            }
            (counter(&fleet), check_started_at(&fleet), action_count)
        });
        assert_eq!(counters[0], counters[1], "after {latency} ms");
    }
}
