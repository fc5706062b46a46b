//! Many proxies that join within moments.

use lockcroft::{Action, EndpointStatus, HealthCheckOutcome, Settings};

use crate::stage::{Stage, ms, state};

/// A rolling restart in a release (roll+mass, seed 7): each proxy that joined made the pilot pay for telling
/// all withdrawals of 100 servers that were gone to all that had joined shortly before, until the queue was
/// full and proxies waited for 3 s, sending to servers that were gone.
#[test]
fn those_who_join_one_by_one_in_a_release_are_off_what_is_gone_within_the_grace() {
    let few = |settings: &mut Settings| {
        settings.fleet.max_entries_per_second = 5000.0;
        settings.fleet.max_queued_entries = 7500.0;
    };
    let mut stage = Stage::with(60, few);
    (0..60).for_each(|proxy| {
        stage.join(proxy);
    });
    stage.run_to(8000).health.resize(110, HealthCheckOutcome::Passed(None));
    // 50 are replaced by as many new ones.
    let new: Vec<_> = (60..110).map(|server| state(server, EndpointStatus::Ready)).collect();
    let gone: Vec<_> = (0..50).map(|server| state(server, EndpointStatus::Removed)).collect();
    stage.list(&new).run_to(12_000).list(&gone).run_to(16_000).quiet();
    let mut bound = Vec::new();
    for proxy in 100..160 {
        stage.join(proxy).run_to(16_000 + (proxy as u64 - 99) * 20);
        bound.push((proxy, stage.now));
    }
    stage.run_to(20_000);
    let trace = std::mem::take(&mut stage.trace);
    let late: Vec<String> = bound
        .into_iter()
        .filter_map(|(proxy, joined)| {
            let line = trace.lines().find(|line| line.ends_with(&format!("bind proxy {proxy}")))?;
            let at: f64 = line.split(' ').next()?.parse().ok()?;
            (at > (joined + ms(1000)).as_secs_f64()).then(|| line.to_string())
        })
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(trace.matches("bind proxy").count(), 60);
}

/// A withdrawal goes again to those who joined since, and to nobody else.
#[test]
fn a_withdrawal_that_all_have_heard_is_not_told_again() {
    let mut stage = Stage::new(4);
    stage.join(0).run_to(1000).list(&[state(2, EndpointStatus::Draining)]).run_to(2000).quiet();
    stage.run_to(2400);
    let told = |stage: &mut Stage| {
        let mut told = 0;
        while let Some(decision) = stage.pilot.next_action(stage.now) {
            told += usize::from(matches!(decision, Action::Eject { .. } | Action::Restore { .. }));
        }
        told
    };
    assert_eq!(told(&mut stage), 0);
    stage.join(1);
    assert_eq!(told(&mut stage), 1);
    stage.join(1);
    assert_eq!(told(&mut stage), 1, "a stream that comes again has heard nothing");
    stage.run_to(3000);
    assert_eq!(told(&mut stage), 0);
}
