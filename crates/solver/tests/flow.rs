//! The greatest flow against an exhaustive search.

use std::collections::BTreeMap;

use lockcroft_solver::{FlowNetwork, max_gain_flow};

const ZONES: usize = 3;

/// The greatest gain of any flow in whole units: all of them are tried, source by source, and of those that leave the same
/// capacity the best is kept.
fn best_of_all(network: &FlowNetwork) -> i64 {
    let mut found: BTreeMap<Vec<i64>, i64> = BTreeMap::from([(network.capacity.clone(), 0)]);
    for (supply, gain) in network.supply.iter().zip(&network.gain) {
        let mut next: BTreeMap<Vec<i64>, i64> = BTreeMap::new();
        for (capacity, sum) in found {
            let mut flows = vec![(capacity, sum, *supply)];
            for (sink, gain) in gain.iter().enumerate() {
                let Some(gain) = gain else { continue };
                for (capacity, sum, left) in std::mem::take(&mut flows) {
                    for units in 0..=left.min(capacity[sink]) {
                        let mut capacity = capacity.clone();
                        capacity[sink] -= units;
                        flows.push((capacity, sum + units * gain, left - units));
                    }
                }
            }
            for (capacity, sum, _) in flows {
                let best = next.entry(capacity).or_insert(sum);
                *best = sum.max(*best);
            }
        }
        found = next;
    }
    found.into_values().max().unwrap_or(0)
}

fn check(network: &FlowNetwork) -> i64 {
    let flow = max_gain_flow(network);
    let mut sum = 0;
    for (source, row) in flow.iter().enumerate() {
        assert!(row.iter().all(|units| *units >= 0));
        assert!(row.iter().sum::<i64>() <= network.supply[source], "{network:?}: more than its supply");
        sum +=
            row.iter().zip(&network.gain[source]).map(|(units, gain)| units * gain.unwrap_or(0)).sum::<i64>();
    }
    for (sink, capacity) in network.capacity.iter().enumerate() {
        assert!(
            flow.iter().map(|row| row[sink]).sum::<i64>() <= *capacity,
            "{network:?}: beyond its capacity"
        );
    }
    sum
}

/// Every case of a grid: up to 8 endpoints over 3 zones; two classes, of which the second has the lower value and may not
/// use the third zone in half of the cases; demand of 0, 1 or 3 units by class and zone (three of the six vary at a time,
/// the others ask for 1); crossing zones costs nothing, a part of the lower value, or more than that.
#[test]
fn no_flow_gains_more_on_the_whole_grid() {
    let mut cases = 0;
    for endpoints in 0..9_i64.pow(3) {
        let capacity = vec![endpoints % 9, endpoints / 9 % 9, endpoints / 81];
        if capacity.iter().sum::<i64>() > 8 {
            continue;
        }
        for demand in 0..27 * 2 {
            let vary = [0, 1, 3];
            let three = [vary[demand % 3], vary[demand / 3 % 3], vary[demand / 9 % 3]];
            let one = [1; 3];
            let supply = if demand < 27 { [three, one] } else { [one, three] }.concat();
            for (crossing, is_excluded) in [0, 1, 3].into_iter().flat_map(|c| [(c, false), (c, true)]) {
                let gain = |class: usize, zone: usize, sink: usize| {
                    let value = [5, 2][class] - if zone == sink { 0 } else { crossing };
                    (!(is_excluded && class == 1 && sink == 2)).then_some(value)
                };
                let row = |from: usize| (0..ZONES).map(|to| gain(from / ZONES, from % ZONES, to)).collect();
                let network = FlowNetwork {
                    supply: supply.clone(),
                    capacity: capacity.clone(),
                    gain: (0..6).map(row).collect(),
                };
                assert_eq!(check(&network), best_of_all(&network), "{network:?}");
                cases += 1;
            }
        }
    }
    assert_eq!(cases, 165 * 54 * 6);
}

/// Guards the check itself: it has to tell the best flow from a worse one.
#[test]
fn the_check_tells_a_worse_flow_apart() {
    let network =
        FlowNetwork { supply: vec![1, 1], capacity: vec![1], gain: vec![vec![Some(2)], vec![Some(5)]] };
    assert_eq!(max_gain_flow(&network), [[0], [1]]);
    assert_eq!(best_of_all(&network), 5, "and not the 2 of the first source");
}
