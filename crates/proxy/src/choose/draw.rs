//! Drawing by weight: partial sums in a tree laid into a slice (Fenwick's). A draw and the change of
//! one line both take as many steps as the number of lines has binary digits; an alias table draws
//! in one step, and is laid anew as a whole at every change.

/// Weights by place, and their partial sums.
#[derive(Clone, Debug, Default)]
pub struct WeightedRandom {
    weights: Vec<u32>,
    /// Node `i` (from 1) holds the sum of the `i & -i` weights up to place `i - 1`.
    sums: Vec<u64>,
    total: u64,
}

impl WeightedRandom {
    pub fn new(weights: &[u32]) -> Self {
        let mut sums = vec![0; weights.len() + 1];
        for (place, weight) in weights.iter().enumerate() {
            let node = place + 1;
            sums[node] += u64::from(*weight);
            let above = node + lowest(node);
            if above < sums.len() {
                sums[above] += sums[node];
            }
        }
        let total = weights.iter().map(|weight| u64::from(*weight)).sum();
        WeightedRandom { weights: weights.to_vec(), sums, total }
    }

    pub fn len(&self) -> usize {
        self.weights.len()
    }

    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    pub fn total(&self) -> u64 {
        self.total
    }

    pub fn weight(&self, place: usize) -> u32 {
        self.weights[place]
    }

    pub fn set(&mut self, place: usize, weight: u32) {
        let was = std::mem::replace(&mut self.weights[place], weight);
        self.total = self.total - u64::from(was) + u64::from(weight);
        let mut node = place + 1;
        while node < self.sums.len() {
            self.sums[node] = self.sums[node] - u64::from(was) + u64::from(weight);
            node += lowest(node);
        }
    }

    /// The place in whose stretch this point of `0..total` lies.
    pub fn at(&self, point: u64) -> usize {
        debug_assert!(point < self.total);
        let (mut node, mut left) = (0, point);
        let mut step = self.sums.len().next_power_of_two() / 2;
        while step > 0 {
            let next = node + step;
            if next < self.sums.len() && self.sums[next] <= left {
                left -= self.sums[next];
                node = next;
            }
            step /= 2;
        }
        node
    }
}

fn lowest(node: usize) -> usize {
    node & node.wrapping_neg()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Each point lies where a plain scan finds it, after any changes of single lines.
        #[test]
        fn points_lie_where_a_scan_finds_them(
            weights in proptest::collection::vec(0_u32..50, 1..40),
            changes in proptest::collection::vec((0_usize..40, 0_u32..50), 0..20),
        ) {
            let (mut draw, mut plain) = (WeightedRandom::new(&weights), weights);
            for (place, weight) in changes {
                let place = place % plain.len();
                draw.set(place, weight);
                plain[place] = weight;
            }
            let owners = plain.iter().enumerate().flat_map(|(place, weight)| vec![place; *weight as usize]);
            let owners: Vec<usize> = owners.collect();
            prop_assert_eq!(draw.total(), owners.len() as u64);
            for (point, owner) in owners.iter().enumerate() {
                prop_assert_eq!(draw.at(point as u64), *owner);
            }
        }
    }
}
