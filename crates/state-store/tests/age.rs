//! How a memory ages: whatever it holds and whenever it is read, a pilot is made more careful by it or left as it is.

use std::time::Duration;

use lockcroft_state_store::{AgeingRules, EndpointNote, EntryValue, Key, RecoveredEndpoint, State, age};
use proptest::prelude::*;

const RULES: AgeingRules =
    AgeingRules { report_period: Duration::from_secs(2), warm_within: Duration::from_secs(30) };
const NOW: u64 = 1_800_000_000_000;

fn any_note() -> impl Strategy<Value = EndpointNote> {
    let time = || prop_oneof![Just(0), NOW - 200_000..NOW + 200_000_u64, any::<u64>()];
    (any::<bool>(), any::<bool>(), time(), time(), time(), 0.0..=1.0_f64).prop_map(
        |(gone, draining, doubted_until_ms, started_ms, warm_ms, relief)| EndpointNote {
            gone,
            draining,
            doubted_until_ms,
            started_ms,
            warm_ms,
            relief,
            ..EndpointNote::default()
        },
    )
}

fn one(at_ms: u64, note: &EndpointNote, now_ms: u64) -> Option<RecoveredEndpoint> {
    let state = State::from([(Key::Server("e1".into()), (at_ms, EntryValue::Server(note.clone())))]);
    age(&state, now_ms, &RULES).servers.pop()
}

proptest! {
    #[test]
    fn nothing_is_believed_beyond_its_bounds(note in any_note(), at_ms in prop_oneof![NOW - 10_000_000..NOW + 10_000, any::<u64>()]) {
        let Some(server) = one(at_ms, &note, NOW) else { return Ok(()) };
        prop_assert!((note.relief..=1.0).contains(&server.relief), "{server:?}");
        prop_assert!(server.doubted <= RULES.report_period * 10, "{server:?}");
        if let Some((since, left)) = server.warming {
            prop_assert!(since <= RULES.warm_within && left <= RULES.warm_within, "{server:?}");
        }
        prop_assert!(!server.out || note.gone || note.draining);
    }

    /// What is older is never believed more.
    #[test]
    fn force_only_fades(note in any_note(), at_ms in NOW - 100_000..NOW, later in 0..100_000_u64) {
        let (then, now) = (one(at_ms, &note, NOW), one(at_ms, &note, NOW + later));
        let Some(now) = now else { return Ok(()) };
        let then = then.expect("what is good later was good before");
        prop_assert!(then.relief <= now.relief && then.doubted >= now.doubted, "{then:?} and {now:?}");
        prop_assert!(then.out || !now.out);
        let left = |server: &RecoveredEndpoint| server.warming.map_or(Duration::ZERO, |(_, left)| left);
        prop_assert!(left(&then) >= left(&now), "{then:?} and {now:?}");
    }

    #[test]
    fn levels_only_rise_with_age(level in 0.0..=1.0_f64, ago in 0..100_000_u64, later in 0..100_000_u64) {
        let state = State::from([(Key::Level("look".into(), 3), (NOW - ago, EntryValue::Level(level)))]);
        let level_at = |now| age(&state, now, &RULES).levels.first().map_or(1.0, |(_, _, level)| *level);
        prop_assert!(level_at(NOW) >= level - 1e-9 && level_at(NOW + later) >= level_at(NOW) - 1e-9);
    }
}

#[test]
fn a_year_old_says_nothing_and_the_future_little() {
    let note = EndpointNote { gone: true, relief: 0.3, warm_ms: NOW + 9_000_000, ..EndpointNote::default() };
    assert_eq!(one(NOW - 365 * 24 * 3_600_000, &EndpointNote { warm_ms: 0, ..note.clone() }, NOW), None);
    let ahead = one(NOW + 60_000, &note, NOW).expect("its name");
    assert!(ahead.out && ahead.relief == 1.0 && ahead.warming.is_none(), "{ahead:?}");
    // A step of the clock as clocks make them is just now.
    let step = one(NOW + 500, &note, NOW).expect("still good");
    assert!(step.relief < 0.31 && step.warming.is_some(), "{step:?}");
}

#[test]
fn rounding_takes_nothing_from_a_server() {
    let note = EndpointNote { relief: 0.25920589386477416, ..EndpointNote::default() };
    assert_eq!(one(NOW, &note, NOW).map(|server| server.relief), Some(note.relief));
}

#[test]
fn what_was_well_is_not_told() {
    let well = EndpointNote { counter: Some(4), relief: 1.0, ..EndpointNote::default() };
    assert_eq!(one(NOW, &well, NOW), None, "probes will say so");
}
