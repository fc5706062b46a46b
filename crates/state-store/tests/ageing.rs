//! Ageing of a stored state: whatever it holds and whenever it is read, it makes a controller more careful or leaves it as
//! it is.

use std::time::Duration;

use lockcroft_state_store::{
    EntryKey, EntryValue, RecordedEndpoint, RecoveredEndpoint, RecoverySettings, State, recover_state,
};
use proptest::prelude::*;

const RULES: RecoverySettings =
    RecoverySettings { report_period: Duration::from_secs(2), slow_start_window: Duration::from_secs(30) };
const NOW: u64 = 1_800_000_000_000;

fn any_endpoint() -> impl Strategy<Value = RecordedEndpoint> {
    let time = || prop_oneof![Just(0), NOW - 200_000..NOW + 200_000_u64, any::<u64>()];
    (any::<bool>(), any::<bool>(), time(), time(), time(), 0.0..=1.0_f64).prop_map(
        |(gone, draining, doubted_until_ms, started_ms, warm_ms, relief)| RecordedEndpoint {
            removed: gone,
            draining,
            outlier_until_ms: doubted_until_ms,
            started_ms,
            slow_start_until_ms: warm_ms,
            weight_factor: relief,
            ..RecordedEndpoint::default()
        },
    )
}

fn recover(at_ms: u64, recorded: &RecordedEndpoint, now_ms: u64) -> Option<RecoveredEndpoint> {
    let state =
        State::from([(EntryKey::Endpoint("e1".into()), (at_ms, EntryValue::Endpoint(recorded.clone())))]);
    recover_state(&state, now_ms, &RULES).endpoints.pop()
}

proptest! {
    #[test]
    fn recovered_values_stay_within_their_bounds(recorded in any_endpoint(), at_ms in prop_oneof![NOW - 10_000_000..NOW + 10_000, any::<u64>()]) {
        let Some(endpoint) = recover(at_ms, &recorded, NOW) else { return Ok(()) };
        prop_assert!((recorded.weight_factor..=1.0).contains(&endpoint.weight_factor), "{endpoint:?}");
        prop_assert!(endpoint.outlier_remaining <= RULES.report_period * 10, "{endpoint:?}");
        if let Some((elapsed, remaining)) = endpoint.slow_start {
            prop_assert!(elapsed <= RULES.slow_start_window && remaining <= RULES.slow_start_window, "{endpoint:?}");
        }
        prop_assert!(!endpoint.not_ready || recorded.removed || recorded.draining);
    }

    #[test]
    fn older_endpoint_entries_restrict_no_more_than_newer_ones(recorded in any_endpoint(), at_ms in NOW - 100_000..NOW, later in 0..100_000_u64) {
        let (then, now) = (recover(at_ms, &recorded, NOW), recover(at_ms, &recorded, NOW + later));
        let Some(now) = now else { return Ok(()) };
        let then = then.expect("what is valid later was valid before");
        prop_assert!(then.weight_factor <= now.weight_factor && then.outlier_remaining >= now.outlier_remaining, "{then:?} and {now:?}");
        prop_assert!(then.not_ready || !now.not_ready);
        let remaining = |endpoint: &RecoveredEndpoint| endpoint.slow_start.map_or(Duration::ZERO, |(_, remaining)| remaining);
        prop_assert!(remaining(&then) >= remaining(&now), "{then:?} and {now:?}");
    }

    #[test]
    fn admission_rates_only_rise_with_age(rate in 0.0..=1.0_f64, ago in 0..100_000_u64, later in 0..100_000_u64) {
        let state = State::from([(EntryKey::AdmissionRate("look".into(), 3), (NOW - ago, EntryValue::AdmissionRate(rate)))]);
        let rate_at = |now| recover_state(&state, now, &RULES).admission_rates.first().map_or(1.0, |(_, _, rate)| *rate);
        prop_assert!(rate_at(NOW) >= rate - 1e-9 && rate_at(NOW + later) >= rate_at(NOW) - 1e-9);
    }
}

#[test]
fn year_old_entries_expire_and_future_entries_only_name_endpoints() {
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
    let ahead = recover(NOW + 60_000, &recorded, NOW).expect("its name is recovered");
    assert!(ahead.not_ready && ahead.weight_factor == 1.0 && ahead.slow_start.is_none(), "{ahead:?}");
    // A step as clocks make them counts as an age of 0.
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
    assert_eq!(recover(NOW, &healthy, NOW), None, "health checks report it");
}
