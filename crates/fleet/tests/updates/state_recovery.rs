//! Restarts of a controller: it recovers the state that the previous one saved, less what has expired.

use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_state_store::{EntryKey, EntryValue, RecoveredState, RecoverySettings, State, recover_state};

use crate::simulation::{Simulation, ms};

/// Returns the state that the controller has saved.
fn saved_state(simulation: &Simulation) -> State {
    simulation
        .saved_state
        .iter()
        .map(|entry| (entry.key.clone(), (entry.at_ms, entry.value.clone())))
        .collect()
}

fn recover_at(state: &State, at_ms: u64) -> RecoveredState {
    recover_state(state, at_ms, &RecoverySettings { report_period: ms(1000), slow_start_window: ms(10_000) })
}

/// Lets the controller recover state and then receive the endpoint list.
fn with_recovered_state(mut simulation: Simulation, recovered: RecoveredState) -> Simulation {
    simulation.fleet.restore_state(recovered);
    simulation.send_list();
    simulation
}

#[test]
fn learned_state_is_saved_once() {
    let mut simulation = with_recovered_state(Simulation::without_list(3, 1), RecoveredState::default());
    simulation.run_to(8000);
    let given_out = simulation.saved_state.len();
    assert!(simulation.saved_state.iter().any(|entry| entry.key == EntryKey::Endpoint("e1".into())));
    simulation.run_to(20_000);
    assert_eq!(
        simulation.saved_state.len(),
        given_out,
        "saved without a change: {:?}",
        simulation.saved_state.last()
    );
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(21_000);
    let last = simulation.saved_state.last().expect("saved");
    assert!(matches!(&last.value, EntryValue::Endpoint(endpoint) if endpoint.draining), "{last:?}");
    assert_eq!(simulation.saved_state.len(), given_out + 1);
}

/// An endpoint was taken off the list while the controller was down. The recovered state contains its name,
/// so the controller ejects it immediately from the tables that proxies still have.
#[test]
fn endpoint_removed_while_the_controller_is_down_is_ejected_immediately() {
    let mut before = with_recovered_state(Simulation::without_list(3, 1), RecoveredState::default());
    before.run_to(7000).set_status(1, EndpointStatus::Removed);
    before.run_to(8000);
    let state = saved_state(&before);
    let after = |recovered: RecoveredState| {
        let mut simulation = Simulation::without_list(3, 1);
        simulation.endpoint_list.version = 1;
        simulation.endpoint_list.entries.remove(1);
        let mut simulation = with_recovered_state(simulation, recovered);
        simulation.run_to(300);
        simulation.commands()
    };
    assert_eq!(after(RecoveredState::default()), "");
    assert_eq!(after(recover_at(&state, 9000)), "0.0 r0: set server standing/e1 state maint\n");
    // A day later the entry has expired.
    assert_eq!(after(recover_at(&state, 9000 + 25 * 3_600_000)), "");
}

/// Endpoints keep their load-based weight reduction, so that a restart during an overload does not restore their full
/// weight.
#[test]
fn weight_reduction_survives_a_restart() {
    let mut before = with_recovered_state(Simulation::without_list(4, 1), RecoveredState::default());
    before.run_to(6000);
    before.set_load(100, &[ms(900), ms(100), ms(100), ms(100)], 1);
    before.run_to(20_000);
    let state = saved_state(&before);
    let weight = |recovered: RecoveredState| {
        let mut simulation = with_recovered_state(Simulation::without_list(4, 1), recovered);
        simulation.run_to(6000);
        simulation.weights(0)[0].1
    };
    assert_eq!(weight(RecoveredState::default()), 256);
    let after_one = weight(recover_at(&state, 21_000));
    assert!(after_one < 200, "{after_one}");
    let later = weight(recover_at(&state, 41_000));
    assert!(later > after_one, "{later} after twenty report periods, {after_one} after one");
    assert_eq!(
        weight(recover_at(&state, 20_000 + 600_000)),
        256,
        "after ten minutes the reduction has expired"
    );
}

/// Slow start continues after a restart, also if the list does not state the start time.
#[test]
fn slow_start_continues_after_a_restart_and_ends_on_time() {
    let mut before = with_recovered_state(Simulation::without_list(2, 1), RecoveredState::default());
    before.run_to(6000);
    let started_at = std::time::SystemTime::now();
    before.endpoint_list.entries[1].started_at = Some(started_at);
    before.send_list();
    before.run_to(6500);
    let state = saved_state(&before);
    let weight = |at_ms| {
        let mut simulation = with_recovered_state(Simulation::without_list(2, 1), recover_at(&state, at_ms));
        // Without reported requests, an endpoint that is warming up gets no weight.
        simulation.set_load(50, &[ms(50), ms(50)], 1);
        simulation.run_to(7500);
        simulation.weights(0).into_iter().find(|(name, _)| name == "e1").map_or(0, |(_, weight)| weight)
    };
    assert!((1..240).contains(&weight(6600)), "{}", weight(6600));
    assert_eq!(weight(30_000), 256, "slow start ended while the controller was down");
}

/// The clock was set back, so the saved state is from the future: only endpoints that were not ready are recovered,
/// without the values that were learned of them.
#[test]
fn state_from_the_future_is_recovered_without_learned_values() {
    let mut before = with_recovered_state(Simulation::without_list(3, 1), RecoveredState::default());
    before.health_checks.insert(0, HealthCheckOutcome::Refused);
    before.run_to(9000).set_status(1, EndpointStatus::Removed);
    before.run_to(10_000);
    let state = saved_state(&before);
    let recovered = recover_at(&state, 1);
    assert!(
        recovered.future_entries > 0
            && recovered.admission_rates.is_empty()
            && recovered.capacities.is_empty(),
        "{recovered:?}"
    );
    assert!(
        recovered.endpoints.iter().all(|endpoint| endpoint.not_ready
            && endpoint.weight_factor == 1.0
            && endpoint.slow_start.is_none()),
        "{recovered:?}"
    );
}
