//! The load balancing policies choose entries in proportion to their weights.

use lockcroft_proxy::{SmoothWeightedRoundRobin, WeightedRandom};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Each point is mapped to the same entry as by a linear scan, after any changes of weights.
    #[test]
    fn weighted_random_agrees_with_a_linear_scan(
        weights in proptest::collection::vec(0_u32..50, 1..40),
        changes in proptest::collection::vec((0_usize..40, 0_u32..50), 0..20),
    ) {
        let (mut tree, mut expected) = (WeightedRandom::new(&weights), weights);
        for (index, weight) in changes {
            let index = index % expected.len();
            tree.set_weight(index, weight);
            expected[index] = weight;
        }
        let owners = expected.iter().enumerate().flat_map(|(index, weight)| vec![index; *weight as usize]);
        let owners: Vec<usize> = owners.collect();
        prop_assert_eq!(tree.total_weight(), owners.len() as u64);
        for (point, owner) in owners.iter().enumerate() {
            prop_assert_eq!(tree.index_at(point as u64), *owner);
        }
    }

    /// After three times the total weight in requests, each entry was chosen three times its weight, to within one
    /// request. At any time, the number of choices of an entry is off its fraction of the total weight by less than
    /// one request plus half a request per entry.
    #[test]
    fn round_robin_keeps_weight_fractions_at_all_times(weights in proptest::collection::vec(0_u32..40, 1..12)) {
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let (mut schedule, mut counts) = (SmoothWeightedRoundRobin::new(&weights), vec![0_u64; weights.len()]);
        for request in 1..=total * 3 {
            counts[schedule.next(|_| true).expect("an entry with a weight above 0")] += 1;
            for (index, weight) in weights.iter().enumerate() {
                let expected = request as f64 * f64::from(*weight) / total as f64;
                let deviation = (counts[index] as f64 - expected).abs();
                prop_assert!(deviation < 1.0 + weights.len() as f64 / 2.0, "entry {} is off by {}", index, deviation);
            }
        }
        for (index, weight) in weights.iter().enumerate() {
            let expected = u64::from(*weight) * 3;
            prop_assert!(counts[index].abs_diff(expected) <= 1, "{:?} for weights {:?}", counts, weights);
        }
        prop_assert_eq!(SmoothWeightedRoundRobin::new(&vec![0; weights.len()]).next(|_| true), None);
    }

    /// Closed entries are never chosen, and an entry that was closed for long is not compensated for it.
    #[test]
    fn an_entry_that_opens_again_gets_no_burst(weights in proptest::collection::vec(1_u32..40, 2..12)) {
        let mut schedule = SmoothWeightedRoundRobin::new(&weights);
        for _ in 0..500 {
            prop_assert!(schedule.next(|index| index != 0) != Some(0));
        }
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let count = (0..total).filter(|_| schedule.next(|_| true) == Some(0)).count();
        prop_assert!(count <= weights[0] as usize + 2, "{} for weight {}", count, weights[0]);
    }
}

#[test]
fn weight_changes_do_not_accumulate_in_the_queue() {
    let mut schedule = SmoothWeightedRoundRobin::new(&[5; 100]);
    for change in 0..100_000 {
        schedule.set_weight(change % 100, 1 + (change / 100 % 7) as u32);
    }
    assert!(schedule.queue_len() <= 216, "{}", schedule.queue_len());
}
