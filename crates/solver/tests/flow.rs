//! Compares the maximum-gain flow with an exhaustive search.

use std::collections::BTreeMap;

use lockcroft_solver::{FlowNetwork, max_gain_flow};

const ZONES: usize = 3;

/// Returns the greatest gain of any flow in integer units. Enumerates all flows, source by source, and keeps the best
/// of those that leave the same capacities.
fn exhaustive_max_gain(network: &FlowNetwork) -> i64 {
    let mut best_by_capacity: BTreeMap<Vec<i64>, i64> = BTreeMap::from([(network.capacity.clone(), 0)]);
    for (supply, gain) in network.supply.iter().zip(&network.gain) {
        let mut next: BTreeMap<Vec<i64>, i64> = BTreeMap::new();
        for (capacity, sum) in best_by_capacity {
            let mut flows = vec![(capacity, sum, *supply)];
            for (sink, gain) in gain.iter().enumerate() {
                let Some(gain) = gain else { continue };
                for (capacity, sum, remaining) in std::mem::take(&mut flows) {
                    for units in 0..=remaining.min(capacity[sink]) {
                        let mut capacity = capacity.clone();
                        capacity[sink] -= units;
                        flows.push((capacity, sum + units * gain, remaining - units));
                    }
                }
            }
            for (capacity, sum, _) in flows {
                let best = next.entry(capacity).or_insert(sum);
                *best = sum.max(*best);
            }
        }
        best_by_capacity = next;
    }
    best_by_capacity.into_values().max().unwrap_or(0)
}

/// Checks that the flow respects supply and capacity, and returns its gain.
fn checked_gain(network: &FlowNetwork) -> i64 {
    let flow = max_gain_flow(network);
    let mut sum = 0;
    for (source, row) in flow.iter().enumerate() {
        assert!(row.iter().all(|units| *units >= 0));
        assert!(row.iter().sum::<i64>() <= network.supply[source], "{network:?}: flow exceeds the supply");
        sum +=
            row.iter().zip(&network.gain[source]).map(|(units, gain)| units * gain.unwrap_or(0)).sum::<i64>();
    }
    for (sink, capacity) in network.capacity.iter().enumerate() {
        assert!(
            flow.iter().map(|row| row[sink]).sum::<i64>() <= *capacity,
            "{network:?}: flow exceeds the capacity"
        );
    }
    sum
}

/// Tests every case of a grid: up to 8 units of capacity over 3 zones; two classes, of which the second has the lower
/// value and may not use the third zone in half of the cases; demand of 0, 1 or 3 units by class and zone (three of the
/// six vary at a time, the others are 1); a cost of crossing zones of 0, of half the lower value, or above the lower
/// value.
#[test]
fn max_gain_flow_equals_the_exhaustive_search_on_a_grid() {
    let mut cases = 0;
    for combination in 0..9_i64.pow(3) {
        let capacity = vec![combination % 9, combination / 9 % 9, combination / 81];
        if capacity.iter().sum::<i64>() > 8 {
            continue;
        }
        for combination in 0..27 * 2 {
            let demands = [0, 1, 3];
            let varied =
                [demands[combination % 3], demands[combination / 3 % 3], demands[combination / 9 % 3]];
            let fixed = [1; 3];
            let supply = if combination < 27 { [varied, fixed] } else { [fixed, varied] }.concat();
            for (crossing_cost, is_excluded) in
                [0, 1, 3].into_iter().flat_map(|cost| [(cost, false), (cost, true)])
            {
                let gain = |class: usize, zone: usize, sink: usize| {
                    let value = [5, 2][class] - if zone == sink { 0 } else { crossing_cost };
                    (!(is_excluded && class == 1 && sink == 2)).then_some(value)
                };
                let row = |source: usize| {
                    (0..ZONES).map(|sink| gain(source / ZONES, source % ZONES, sink)).collect()
                };
                let network = FlowNetwork {
                    supply: supply.clone(),
                    capacity: capacity.clone(),
                    gain: (0..6).map(row).collect(),
                };
                assert_eq!(checked_gain(&network), exhaustive_max_gain(&network), "{network:?}");
                cases += 1;
            }
        }
    }
    assert_eq!(cases, 165 * 54 * 6);
}

/// Tests the exhaustive search itself on a network where the first source gains less than the second.
#[test]
fn the_exhaustive_search_finds_the_better_of_two_flows() {
    let network =
        FlowNetwork { supply: vec![1, 1], capacity: vec![1], gain: vec![vec![Some(2)], vec![Some(5)]] };
    assert_eq!(max_gain_flow(&network), [[0], [1]]);
    assert_eq!(exhaustive_max_gain(&network), 5, "the second source gains more");
}
