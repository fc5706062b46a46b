//! Weighted random choice by partial sums in a binary indexed tree (Fenwick 1994). A draw and the change of
//! one weight both take a number of steps logarithmic in the number of entries. An alias table draws in one
//! step but has to be rebuilt at each change.

/// Weights by index, and their partial sums.
#[derive(Clone, Debug, Default)]
pub struct WeightedRandom {
    weights: Vec<u32>,
    /// Node `i` (from 1) holds the sum of the `i & -i` weights up to index `i - 1`.
    sums: Vec<u64>,
    total: u64,
}

impl WeightedRandom {
    /// A tree over these weights.
    #[must_use]
    pub fn new(weights: &[u32]) -> Self {
        let mut sums = vec![0; weights.len() + 1];
        for (index, weight) in weights.iter().enumerate() {
            let node = index + 1;
            sums[node] += u64::from(*weight);
            let parent = node + lowest_bit(node);
            if parent < sums.len() {
                sums[parent] += sums[node];
            }
        }
        let total = weights.iter().map(|weight| u64::from(*weight)).sum();
        WeightedRandom { weights: weights.to_vec(), sums, total }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Sum of all weights.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.total
    }

    /// The weight of one entry.
    #[must_use]
    pub fn weight(&self, index: usize) -> u32 {
        self.weights[index]
    }

    /// Changes the weight of one entry.
    pub fn set_weight(&mut self, index: usize, weight: u32) {
        let previous = std::mem::replace(&mut self.weights[index], weight);
        self.total = self.total - u64::from(previous) + u64::from(weight);
        let mut node = index + 1;
        while node < self.sums.len() {
            self.sums[node] = self.sums[node] - u64::from(previous) + u64::from(weight);
            node += lowest_bit(node);
        }
    }

    /// The index of the entry whose range contains this point of `0..total`.
    #[must_use]
    pub fn index_at(&self, point: u64) -> usize {
        debug_assert!(point < self.total);
        let mut node = 0;
        let mut remaining = point;
        let mut step = self.sums.len().next_power_of_two() / 2;
        while step > 0 {
            let next = node + step;
            if next < self.sums.len() && self.sums[next] <= remaining {
                remaining -= self.sums[next];
                node = next;
            }
            step /= 2;
        }
        node
    }
}

fn lowest_bit(node: usize) -> usize {
    node & node.wrapping_neg()
}
