//! Probes that end at the instant of their answer, or after it.

use lockcroft::{EndpointId, HealthCheckOutcome};

use crate::stage::{Stage, ms};

/// A pilot whose probe of the first server went out now and is not answered by the stage.
fn sent() -> Stage {
    let mut stage = Stage::new(4);
    stage.run_to(8000);
    stage.health[0] = HealthCheckOutcome::Failed;
    let before = out(&stage);
    while out(&stage).is_none() || out(&stage) == before {
        let next = stage.pilot.next_due().as_millis() as u64 + 1;
        stage.run_to(next);
    }
    stage
}

/// When the probe that is out went.
fn out(stage: &Stage) -> Option<std::time::Duration> {
    stage.pilot.snapshot().endpoints[&(0 as EndpointId)].check.started_at
}

fn counter(stage: &Stage) -> Option<u32> {
    stage.pilot.snapshot().endpoints[&(0 as EndpointId)].health.value()
}

/// A probe that is lost may be followed by the next at once. An answer to the first that comes then, in time
/// by the clock of whoever made the call, ended the second one.
#[test]
fn a_late_answer_does_not_end_the_probe_after() {
    let mut stage = sent();
    // After two losses the next probe goes out at the instant at which one is lost.
    let (mut first, mut second) = (out(&stage), None);
    while second.is_none_or(|second| Some(second) > first.map(|first| first + ms(501))) {
        first = out(&stage);
        while out(&stage).is_none() || out(&stage) == first {
            let next = stage.pilot.next_due().as_millis() as u64 + 1;
            stage.run_to(next);
        }
        second = out(&stage);
    }
    let before = counter(&stage);
    stage.pilot.health_check_finished(stage.now, 0, HealthCheckOutcome::Refused, ms(499));
    assert_eq!((out(&stage), counter(&stage)), (second, before));
}

/// An answer at the instant at which its probe is lost: either order leaves the same.
#[test]
fn an_answer_at_the_end_of_the_wait_comes_too_late_in_either_order() {
    for took in [490, 499, 500, 501] {
        let counters = [true, false].map(|answer_first| {
            let mut stage = sent();
            stage.now = out(&stage).expect("one is out") + ms(500);
            if answer_first {
                stage.pilot.health_check_finished(stage.now, 0, HealthCheckOutcome::Passed(None), ms(took));
            }
            let decisions = std::iter::from_fn(|| stage.pilot.next_action(stage.now)).count();
            if !answer_first {
                stage.pilot.health_check_finished(stage.now, 0, HealthCheckOutcome::Passed(None), ms(took));
            }
            (counter(&stage), out(&stage), decisions)
        });
        assert_eq!(counters[0], counters[1], "after {took} ms");
    }
}
