//! Weighted random choice by partial sums in a binary indexed tree (Fenwick 1994). A draw and a change of one
//! weight both take logarithmic time in the number of entries. An alias table would draw in constant time, but
//! would have to be rebuilt after each weight change.

/// Weights by index, and their partial sums.
#[derive(Clone, Debug, Default)]
pub struct WeightedRandom {
    weights: Vec<u32>,
    /// Node `i` (counted from 1) holds the sum of the `i & -i` weights that end at index `i - 1`.
    sums: Vec<u64>,
    total: u64,
}

impl WeightedRandom {
    /// Returns a tree over these weights, built in linear time.
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

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Returns true if there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Returns the sum of all weights.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.total
    }

    /// Returns the weight of one entry.
    ///
    /// # Panics
    /// There is no entry with this index.
    #[must_use]
    pub fn weight(&self, index: usize) -> u32 {
        self.weights[index]
    }

    /// Changes the weight of one entry.
    ///
    /// # Panics
    /// There is no entry with this index.
    pub fn set_weight(&mut self, index: usize, weight: u32) {
        let previous = std::mem::replace(&mut self.weights[index], weight);
        self.total = self.total - u64::from(previous) + u64::from(weight);
        let mut node = index + 1;
        while node < self.sums.len() {
            self.sums[node] = self.sums[node] - u64::from(previous) + u64::from(weight);
            node += lowest_bit(node);
        }
    }

    /// Returns the index of the entry whose part of the range `0..total_weight` contains this point, where each
    /// entry has a part as long as its weight. The result is meaningless for a point outside the range.
    ///
    /// # Panics
    /// In debug builds, if the point is outside the range.
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

/// Returns the lowest bit that is set in the number of a node.
fn lowest_bit(node: usize) -> usize {
    node & node.wrapping_neg()
}
