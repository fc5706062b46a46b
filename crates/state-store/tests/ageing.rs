//! Decay and expiry of a persisted state: whatever its content and age, the recovered part makes a controller more
//! careful or changes nothing.

use std::time::Duration;

use lockcroft_state_store::{
    EntryKey, EntryValue, RecordedEndpoint, RecoveredEndpoint, RecoverySettings, State, recover_state,
};
use proptest::prelude::*;

const SETTINGS: RecoverySettings =
    RecoverySettings { report_period: Duration::from_secs(2), slow_start_window: Duration::from_secs(30) };
/// Current time, in milliseconds of the wall clock.
const NOW: u64 = 1_800_000_000_000;

fn any_endpoint() -> impl Strategy<Value = RecordedEndpoint> {
    let time = || prop_oneof![Just(0), NOW - 200_000..NOW + 200_000_u64, any::<u64>()];
    (any::<bool>(), any::<bool>(), time(), time(), time(), 0.0..=1.0_f64).prop_map(
        |(removed, draining, outlier_until_ms, started_ms, slow_start_until_ms, weight_factor)| {
            RecordedEndpoint {
                removed,
                draining,
                outlier_until_ms,
                started_ms,
                slow_start_until_ms,
                weight_factor,
                ..RecordedEndpoint::default()
            }
        },
    )
}

/// Recovers a state of one endpoint entry, recorded at `at_ms`.
fn recover(at_ms: u64, recorded: &RecordedEndpoint, now_ms: u64) -> Option<RecoveredEndpoint> {
    let state =
        State::from([(EntryKey::Endpoint("e1".into()), (at_ms, EntryValue::Endpoint(recorded.clone())))]);
    recover_state(&state, now_ms, &SETTINGS).endpoints.pop()
}

proptest! {
    #[test]
    fn recovered_values_stay_within_their_bounds(recorded in any_endpoint(), at_ms in prop_oneof![NOW - 10_000_000..NOW + 10_000, any::<u64>()]) {
        let Some(endpoint) = recover(at_ms, &recorded, NOW) else { return Ok(()) };
        prop_assert!((recorded.weight_factor..=1.0).contains(&endpoint.weight_factor), "{endpoint:?}");
        prop_assert!(endpoint.outlier_remaining <= SETTINGS.report_period * 10, "{endpoint:?}");
        if let Some((elapsed, remaining)) = endpoint.slow_start {
            prop_assert!(elapsed <= SETTINGS.slow_start_window && remaining <= SETTINGS.slow_start_window, "{endpoint:?}");
        }
        prop_assert!(!endpoint.not_ready || recorded.removed || recorded.draining);
    }

    #[test]
    fn older_endpoint_entries_restrict_no_more_than_newer_ones(recorded in any_endpoint(), at_ms in NOW - 100_000..NOW, later in 0..100_000_u64) {
        let (newer, older) = (recover(at_ms, &recorded, NOW), recover(at_ms, &recorded, NOW + later));
        let Some(older) = older else { return Ok(()) };
        let newer = newer.expect("an entry that is valid later is valid before");
        prop_assert!(newer.weight_factor <= older.weight_factor && newer.outlier_remaining >= older.outlier_remaining, "{newer:?} and {older:?}");
        prop_assert!(newer.not_ready || !older.not_ready);
        let remaining = |endpoint: &RecoveredEndpoint| endpoint.slow_start.map_or(Duration::ZERO, |(_, remaining)| remaining);
        prop_assert!(remaining(&newer) >= remaining(&older), "{newer:?} and {older:?}");
    }

    #[test]
    fn recovered_admission_rates_only_rise_with_age(rate in 0.0..=1.0_f64, ago in 0..100_000_u64, later in 0..100_000_u64) {
        let state = State::from([(EntryKey::AdmissionRate("look".into(), 3), (NOW - ago, EntryValue::AdmissionRate(rate)))]);
        let rate_at = |now| recover_state(&state, now, &SETTINGS).admission_rates.first().map_or(1.0, |(_, _, rate)| *rate);
        prop_assert!(rate_at(NOW) >= rate - 1e-9 && rate_at(NOW + later) >= rate_at(NOW) - 1e-9);
    }
}

#[test]
fn year_old_entries_expire_and_future_entries_only_mark_endpoints_as_not_ready() {
    let recorded = RecordedEndpoint {
        removed: true,
        weight_factor: 0.3,
        slow_start_until_ms: NOW + 9_000_000,
        ..RecordedEndpoint::default()
    };
    assert_eq!(
        recover(
            NOW - 365 * 24 * 3_600_000,
            &RecordedEndpoint { slow_start_until_ms: 0, ..recorded.clone() },
            NOW
        ),
        None
    );
    let future = recover(NOW + 60_000, &recorded, NOW).expect("the endpoint is recovered");
    assert!(future.not_ready && future.weight_factor == 1.0 && future.slow_start.is_none(), "{future:?}");
    // A clock step of less than a report period counts as an age of 0.
    let small_step = recover(NOW + 500, &recorded, NOW).expect("still valid");
    assert!(small_step.weight_factor < 0.31 && small_step.slow_start.is_some(), "{small_step:?}");
}

#[test]
fn rounding_never_lowers_a_weight_factor() {
    let recorded = RecordedEndpoint { weight_factor: 0.25920589386477416, ..RecordedEndpoint::default() };
    assert_eq!(
        recover(NOW, &recorded, NOW).map(|endpoint| endpoint.weight_factor),
        Some(recorded.weight_factor)
    );
}

#[test]
fn healthy_endpoints_are_not_recovered() {
    let healthy =
        RecordedEndpoint { health_counter: Some(4), weight_factor: 1.0, ..RecordedEndpoint::default() };
    assert_eq!(recover(NOW, &healthy, NOW), None, "its health has to be confirmed by health checks");
}
