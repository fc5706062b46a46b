//! The rule for retrying a request, and the retry budget.

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

    /// For any sequence of outcomes, a request is attempted at most twice, and at most one endpoint may have executed
    /// it.
    #[test]
    fn no_sequence_of_outcomes_executes_a_request_twice(outcomes in proptest::collection::vec(outcome(), 1..6), enabled: bool) {
        let (mut attempts, mut possible_executions) = (0, 0);
        for outcome in outcomes {
            attempts += 1;
            possible_executions += u32::from(!outcome.is_not_executed());
            if !may_retry(attempts, outcome, enabled) {
                break;
            }
        }
        prop_assert!(attempts <= 1 + u32::from(enabled));
        prop_assert!(possible_executions <= 1);
    }
}

#[test]
fn only_proof_of_non_execution_allows_a_single_retry() {
    use AttemptOutcome::{Answered, ConnectFailed, ConnectionBroken, Rejected, TimedOut};
    for outcome in [Answered(200), Answered(500), Answered(503), ConnectionBroken, TimedOut] {
        assert!(!may_retry(1, outcome, true), "{outcome:?}");
    }
    for outcome in [ConnectFailed, Rejected] {
        assert!(may_retry(1, outcome, true) && !may_retry(2, outcome, true) && !may_retry(1, outcome, false));
    }
}

#[test]
fn a_retry_storm_is_limited_to_the_ratio_and_the_bucket_capacity() {
    let mut budget = RetryBudget::new(0.1);
    let retries = (0..10_000)
        .filter(|_| {
            budget.record_first_attempt();
            budget.try_reserve()
        })
        .count();
    assert!((1000..=1011).contains(&retries), "{retries}");
    let mut empty = RetryBudget::new(0.0);
    empty.record_first_attempt();
    assert!(!empty.try_reserve());
    let mut unlimited = RetryBudget::new(f64::INFINITY);
    assert!((0..1000).all(|_| unlimited.try_reserve()));
}
