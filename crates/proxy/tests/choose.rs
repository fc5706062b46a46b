//! Load balancing policies against their definition.

use lockcroft_proxy::{SmoothWeightedRoundRobin, WeightedRandom};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Each point lies where a plain scan finds it, after any changes of single entries.
    #[test]
    fn weighted_random_agrees_with_a_scan(
        weights in proptest::collection::vec(0_u32..50, 1..40),
        changes in proptest::collection::vec((0_usize..40, 0_u32..50), 0..20),
    ) {
        let (mut tree, mut plain) = (WeightedRandom::new(&weights), weights);
        for (index, weight) in changes {
            let index = index % plain.len();
            tree.set_weight(index, weight);
            plain[index] = weight;
        }
        let owners = plain.iter().enumerate().flat_map(|(index, weight)| vec![index; *weight as usize]);
        let owners: Vec<usize> = owners.collect();
        prop_assert_eq!(tree.total_weight(), owners.len() as u64);
        for (point, owner) in owners.iter().enumerate() {
            prop_assert_eq!(tree.index_at(point as u64), *owner);
        }
    }

    /// Over a whole round each entry comes as often as its weight says, to within one request, and
    /// at no time is an entry more than one request from its fraction.
    #[test]
    fn round_robin_keeps_weight_fractions_at_all_times(weights in proptest::collection::vec(0_u32..40, 1..12)) {
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let (mut schedule, mut came) = (SmoothWeightedRoundRobin::new(&weights), vec![0_u64; weights.len()]);
        for request in 1..=total * 3 {
            came[schedule.next(|_| true).expect("some weight is left")] += 1;
            for (index, weight) in weights.iter().enumerate() {
                let expected = request as f64 * f64::from(*weight) / total as f64;
                let off = (came[index] as f64 - expected).abs();
                prop_assert!(off < 1.0 + weights.len() as f64 / 2.0, "entry {} is {} off", index, off);
            }
        }
        for (index, weight) in weights.iter().enumerate() {
            let wanted = u64::from(*weight) * 3;
            prop_assert!(came[index].abs_diff(wanted) <= 1, "{:?} of {:?}", came, weights);
        }
        prop_assert_eq!(SmoothWeightedRoundRobin::new(&vec![0; weights.len()]).next(|_| true), None);
    }

    /// Closed entries never come, and an entry that was closed for long is not compensated for it.
    #[test]
    fn an_entry_that_opens_again_brings_no_burst(weights in proptest::collection::vec(1_u32..40, 2..12)) {
        let mut schedule = SmoothWeightedRoundRobin::new(&weights);
        for _ in 0..500 {
            prop_assert!(schedule.next(|index| index != 0) != Some(0));
        }
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let came = (0..total).filter(|_| schedule.next(|_| true) == Some(0)).count();
        prop_assert!(came <= weights[0] as usize + 2, "{} of {}", came, weights[0]);
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
