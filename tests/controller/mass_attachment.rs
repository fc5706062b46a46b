//! Many proxies that attach within moments.

use lockcroft::{Action, EndpointStatus, HealthCheckOutcome, Settings};

use crate::test_fleet::{TestFleet, ms, state};

/// A rolling restart in a rollout: for each proxy that attached the controller reserved capacity for sending
/// the ejections of all removed endpoints to all that had attached shortly before, until the queue was
/// full and proxies waited, sending requests to removed endpoints.
#[test]
fn proxies_attaching_one_by_one_in_a_rollout_leave_removed_endpoints_within_the_grace() {
    let few = |settings: &mut Settings| {
        settings.fleet.max_entries_per_second = 5000.0;
        settings.fleet.max_queued_entries = 7500.0;
    };
    let mut fleet = TestFleet::with(60, few);
    (0..60).for_each(|proxy| {
        fleet.attach(proxy);
    });
    fleet.run_until(8000).health.resize(110, HealthCheckOutcome::Passed(None));
    // 50 are replaced by as many new ones.
    let new: Vec<_> = (60..110).map(|endpoint| state(endpoint, EndpointStatus::Ready)).collect();
    let removed: Vec<_> = (0..50).map(|endpoint| state(endpoint, EndpointStatus::Removed)).collect();
    fleet.update_list(&new).run_until(12_000).update_list(&removed).run_until(16_000).clear_trace();
    let mut bound = Vec::new();
    for proxy in 100..160 {
        fleet.attach(proxy).run_until(16_000 + (proxy as u64 - 99) * 20);
        bound.push((proxy, fleet.now));
    }
    fleet.run_until(20_000);
    let trace = std::mem::take(&mut fleet.trace);
    let slow: Vec<String> = bound
        .into_iter()
        .filter_map(|(proxy, attached)| {
            let line = trace.lines().find(|line| line.ends_with(&format!("assign to proxy {proxy}")))?;
            let at: f64 = line.split(' ').next()?.parse().ok()?;
            (at > (attached + ms(1000)).as_secs_f64()).then(|| line.to_string())
        })
        .collect();
    assert!(slow.is_empty(), "{slow:?}");
    assert_eq!(trace.matches("assign to proxy").count(), 60);
}

/// An ejection is sent again to proxies that attached since, and to nobody else.
#[test]
fn ejection_that_all_proxies_know_is_not_sent_again() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(1000)
        .update_list(&[state(2, EndpointStatus::Draining)])
        .run_until(2000)
        .clear_trace();
    fleet.run_until(2400);
    let reported = |fleet: &mut TestFleet| {
        let mut reported = 0;
        while let Some(action) = fleet.controller.next_action(fleet.now) {
            reported += usize::from(matches!(action, Action::Eject { .. } | Action::Restore { .. }));
        }
        reported
    };
    assert_eq!(reported(&mut fleet), 0);
    fleet.attach(1);
    assert_eq!(reported(&mut fleet), 1);
    fleet.attach(1);
    assert_eq!(reported(&mut fleet), 1, "a stream that comes again has heard nothing");
    fleet.run_until(3000);
    assert_eq!(reported(&mut fleet), 0);
}
