//! When a request is retried, and how many retries the budget allows.

use lockcroft_proxy::{AttemptOutcome, RetryBudget, may_retry};
use proptest::prelude::*;

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        (100..600_u16).prop_map(AttemptOutcome::Answered),
        Just(AttemptOutcome::ConnectFailed),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::ConnectionBroken),
        Just(AttemptOutcome::TimedOut),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever would happen to a request at each endpoint: it is attempted twice at most, and it is executed
    /// at one endpoint at most, or may have been.
    #[test]
    fn no_sequence_of_outcomes_executes_a_request_twice(history in proptest::collection::vec(outcome(), 1..6), enabled: bool) {
        let (mut attempts, mut may_have_run) = (0, 0);
        for outcome in history {
            attempts += 1;
            may_have_run += u32::from(!outcome.is_not_executed());
            if !may_retry(attempts, outcome, enabled) {
                break;
            }
        }
        prop_assert!(attempts <= 1 + u32::from(enabled));
        prop_assert!(may_have_run <= 1);
    }
}

#[test]
fn only_proof_of_non_execution_allows_a_retry_and_only_one() {
    use AttemptOutcome::{Answered, ConnectFailed, ConnectionBroken, Rejected, TimedOut};
    for outcome in [Answered(200), Answered(500), Answered(503), ConnectionBroken, TimedOut] {
        assert!(!may_retry(1, outcome, true), "{outcome:?}");
    }
    for outcome in [ConnectFailed, Rejected] {
        assert!(may_retry(1, outcome, true) && !may_retry(2, outcome, true) && !may_retry(1, outcome, false));
    }
}

#[test]
fn a_retry_storm_gets_its_ratio_and_the_saved_tokens() {
    let mut budget = RetryBudget::new(0.1);
    let retries = (0..10_000)
        .filter(|_| {
            budget.record_first_attempt();
            budget.try_reserve()
        })
        .count();
    assert!((1000..=1011).contains(&retries), "{retries}");
    let mut none = RetryBudget::new(0.0);
    none.record_first_attempt();
    assert!(!none.try_reserve());
    let mut any = RetryBudget::new(f64::INFINITY);
    assert!((0..1000).all(|_| any.try_reserve()));
}
