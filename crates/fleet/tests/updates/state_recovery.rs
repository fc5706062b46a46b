//! A controller that is restarted: what was given out to be persisted, aged, is what the next one begins with.

use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_state_store::{EntryKey, EntryValue, RecoveredState, RecoverySettings, State, recover_state};

use crate::simulation::{Simulation, ms};

/// What a controller's state store holds after it.
fn saved(simulation: &Simulation) -> State {
    simulation
        .saved_state
        .iter()
        .map(|entry| (entry.key.clone(), (entry.at_ms, entry.value.clone())))
        .collect()
}

fn recovered(state: &State, at_ms: u64) -> RecoveredState {
    recover_state(state, at_ms, &RecoverySettings { report_period: ms(1000), slow_start_window: ms(10_000) })
}

/// A controller that recovers its state, and then sees the list.
fn restarted(mut simulation: Simulation, recovered: RecoveredState) -> Simulation {
    simulation.fleet.restore_state(recovered);
    simulation.send_list();
    simulation
}

#[test]
fn learned_state_is_given_out_once() {
    let mut simulation = restarted(Simulation::without_list(3, 1), RecoveredState::default());
    simulation.run_to(8000);
    let given_out = simulation.saved_state.len();
    assert!(simulation.saved_state.iter().any(|entry| entry.key == EntryKey::Endpoint("e1".into())));
    simulation.run_to(20_000);
    assert_eq!(
        simulation.saved_state.len(),
        given_out,
        "nothing changed, nothing is given out: {:?}",
        simulation.saved_state.last()
    );
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(21_000);
    let last = simulation.saved_state.last().expect("given out");
    assert!(matches!(&last.value, EntryValue::Endpoint(note) if note.draining), "{last:?}");
    assert_eq!(simulation.saved_state.len(), given_out + 1);
}

/// An endpoint was taken off the list while the controller was down. At proxies with tables of before it is ejected
/// from the first instant; without recovered state nobody could name it.
#[test]
fn an_endpoint_removed_meanwhile_is_ejected_at_once() {
    let mut before = restarted(Simulation::without_list(3, 1), RecoveredState::default());
    before.run_to(7000).set_status(1, EndpointStatus::Removed);
    before.run_to(8000);
    let state = saved(&before);
    let after = |recovered: RecoveredState| {
        let mut simulation = Simulation::without_list(3, 1);
        simulation.endpoint_list.version = 1;
        simulation.endpoint_list.entries.remove(1);
        let mut simulation = restarted(simulation, recovered);
        simulation.run_to(300);
        simulation.commands()
    };
    assert_eq!(after(RecoveredState::default()), "");
    assert_eq!(after(recovered(&state, 9000)), "0.0 r0: set server standing/e1 state maint\n");
    // A day later nobody holds it any more.
    assert_eq!(after(recovered(&state, 9000 + 25 * 3_600_000)), "");
}

/// Endpoints keep their load-based weight reduction, so that a restart in an overload does not bring their full
/// weight back.
#[test]
fn weight_reduction_is_published_as_recovered() {
    let mut before = restarted(Simulation::without_list(4, 1), RecoveredState::default());
    before.run_to(6000);
    before.set_load(100, &[ms(900), ms(100), ms(100), ms(100)], 1);
    before.run_to(20_000);
    let state = saved(&before);
    let weight = |recovered: RecoveredState| {
        let mut simulation = restarted(Simulation::without_list(4, 1), recovered);
        simulation.run_to(6000);
        simulation.weights(0)[0].1
    };
    assert_eq!(weight(RecoveredState::default()), 256);
    let after_one = weight(recovered(&state, 21_000));
    assert!(after_one < 200, "{after_one}");
    let later = weight(recovered(&state, 41_000));
    assert!(later > after_one, "{later} after twenty report periods, {after_one} after one");
    assert_eq!(weight(recovered(&state, 20_000 + 600_000)), 256, "ten minutes later it is forgotten");
}

/// A slow start that the list says nothing of is gone on with.
#[test]
fn slow_start_goes_on_after_a_restart_and_ends_as_it_would_have() {
    let mut before = restarted(Simulation::without_list(2, 1), RecoveredState::default());
    before.run_to(6000);
    let wall = std::time::SystemTime::now();
    before.endpoint_list.entries[1].started_at = Some(wall);
    before.send_list();
    before.run_to(6500);
    let state = saved(&before);
    let weight = |at_ms| {
        let mut simulation = restarted(Simulation::without_list(2, 1), recovered(&state, at_ms));
        // Where no requests are reported, an endpoint that is warming up gets nothing at all.
        simulation.set_load(50, &[ms(50), ms(50)], 1);
        simulation.run_to(7500);
        simulation.weights(0).into_iter().find(|(name, _)| name == "e1").map_or(0, |(_, weight)| weight)
    };
    assert!((1..240).contains(&weight(6600)), "{}", weight(6600));
    assert_eq!(weight(30_000), 256, "it ended while the controller was down");
}

/// State from the future (the clock was set back) is not believed, but for names that cost nothing.
#[test]
fn a_clock_that_was_set_back_makes_nothing_worse() {
    let mut before = restarted(Simulation::without_list(3, 1), RecoveredState::default());
    before.health_checks.insert(0, HealthCheckOutcome::Refused);
    before.run_to(9000).set_status(1, EndpointStatus::Removed);
    before.run_to(10_000);
    let state = saved(&before);
    let ahead = recovered(&state, 1);
    assert!(
        ahead.future_entries > 0 && ahead.admission_rates.is_empty() && ahead.capacities.is_empty(),
        "{ahead:?}"
    );
    assert!(
        ahead
            .endpoints
            .iter()
            .all(|server| server.not_ready && server.weight_factor == 1.0 && server.slow_start.is_none()),
        "{ahead:?}"
    );
}
