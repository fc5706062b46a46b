//! Attachments of many proxies within a short time.

use lockcroft::{Action, EndpointStatus, HealthCheckOutcome, Settings};

use crate::test_fleet::{TestFleet, ms, with_status};

/// Guards against proxies that wait for a table and send requests to removed endpoints, while proxies restart
/// one by one during a rollout. For each proxy that attached, the controller reserved capacity to send the
/// ejections of all removed endpoints to all proxies that had attached shortly before, until the queue was
/// full.
#[test]
fn proxies_attaching_one_by_one_in_a_rollout_get_tables_within_a_second() {
    let limits = |settings: &mut Settings| {
        settings.fleet.max_entries_per_second = 5000.0;
        settings.fleet.max_queued_entries = 7500.0;
    };
    let mut fleet = TestFleet::with(60, limits);
    (0..60).for_each(|proxy| {
        fleet.attach(proxy);
    });
    fleet.run_until(8000).health.resize(110, HealthCheckOutcome::Passed(None));
    // 50 endpoints are replaced by as many new ones.
    let new: Vec<_> = (60..110).map(|endpoint| with_status(endpoint, EndpointStatus::Ready)).collect();
    let removed: Vec<_> = (0..50).map(|endpoint| with_status(endpoint, EndpointStatus::Removed)).collect();
    fleet.update_list(&new).run_until(12_000).update_list(&removed).run_until(16_000).clear_trace();
    let mut attachments = Vec::new();
    for proxy in 100..160 {
        fleet.attach(proxy).run_until(16_000 + (proxy as u64 - 99) * 20);
        attachments.push((proxy, fleet.now));
    }
    fleet.run_until(20_000);
    let trace = std::mem::take(&mut fleet.trace);
    let late: Vec<String> = attachments
        .into_iter()
        .filter_map(|(proxy, attached)| {
            let line = trace.lines().find(|line| line.ends_with(&format!("assign to proxy {proxy}")))?;
            let at: f64 = line.split(' ').next()?.parse().ok()?;
            (at > (attached + ms(1000)).as_secs_f64()).then(|| line.to_string())
        })
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(trace.matches("assign to proxy").count(), 60);
}

/// An ejection is sent again only to proxies that have attached since.
#[test]
fn ejection_is_sent_again_only_to_new_attachments() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(1000)
        .update_list(&[with_status(2, EndpointStatus::Draining)])
        .run_until(2000)
        .clear_trace();
    fleet.run_until(2400);
    let sent_ejections = |fleet: &mut TestFleet| {
        let mut sent_ejections = 0;
        while let Some(action) = fleet.controller.next_action(fleet.now) {
            sent_ejections += usize::from(matches!(action, Action::Eject { .. } | Action::Restore { .. }));
        }
        sent_ejections
    };
    assert_eq!(sent_ejections(&mut fleet), 0);
    fleet.attach(1);
    assert_eq!(sent_ejections(&mut fleet), 1);
    fleet.attach(1);
    assert_eq!(sent_ejections(&mut fleet), 1, "a proxy that reattaches has not been sent the ejection");
    fleet.run_until(3000);
    assert_eq!(sent_ejections(&mut fleet), 0);
}
