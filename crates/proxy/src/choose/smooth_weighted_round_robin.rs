//! Smooth weighted round robin as earliest deadline first: each entry is due again after an interval that is
//! inverse to its weight, and the entry that is due first comes next. A heap finds it in logarithmic time,
//! where the plain form of the algorithm scans all entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The interval of weight 1, in virtual time. Intervals are integers, so that rounding does not accumulate.
const ROUND: u64 = 1 << 40;

/// Outdated queue items are removed once the queue holds more than twice the entries and this many items.
const MIN_QUEUE_SLACK: usize = 16;

/// An entry waiting for its turn; ordered by due time, then by generation and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    /// Virtual time at which the entry is due.
    due_at: u64,
    /// The generation of the entry's weight that this item belongs to.
    generation: u32,
    index: usize,
}

/// Entries by the virtual time at which they are due.
#[derive(Clone, Debug, Default)]
pub struct SmoothWeightedRoundRobin {
    weights: Vec<u32>,
    /// Counts the weight changes of each entry; queue items of an earlier generation are outdated.
    generations: Vec<u32>,
    queue: BinaryHeap<Reverse<DueEntry>>,
    now: u64,
}

impl SmoothWeightedRoundRobin {
    /// A schedule over these weights.
    #[must_use]
    pub fn new(weights: &[u32]) -> Self {
        let mut schedule = SmoothWeightedRoundRobin {
            weights: vec![0; weights.len()],
            generations: vec![0; weights.len()],
            ..SmoothWeightedRoundRobin::default()
        };
        for (index, weight) in weights.iter().enumerate() {
            schedule.set_weight(index, *weight);
        }
        schedule
    }

    /// Changes the weight of one entry. It is then due after half of its new interval: if it were due at once,
    /// each change would bring it a request, and after the whole interval it would come late.
    pub fn set_weight(&mut self, index: usize, weight: u32) {
        if self.weights[index] == weight {
            return;
        }
        self.weights[index] = weight;
        self.generations[index] = self.generations[index].wrapping_add(1);
        if weight > 0 {
            self.push(index, self.now + interval(weight) / 2);
        }
        self.discard_outdated();
    }

    /// Number of items in the queue, outdated ones included. It stays within a constant factor of the entries.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// The next entry for which `is_open` holds. Entries that are passed over keep their turn: they come first
    /// once they open, but only once, so that no burst reaches an endpoint that returns.
    pub fn next(&mut self, is_open: impl Fn(usize) -> bool) -> Option<usize> {
        let mut passed_over = Vec::new();
        let mut found = None;
        while let Some(Reverse(entry)) = self.queue.pop() {
            if self.generations[entry.index] != entry.generation {
                continue;
            }
            if is_open(entry.index) {
                found = Some(entry);
                break;
            }
            passed_over.push(Reverse(entry));
        }
        self.queue.extend(passed_over);
        let DueEntry { due_at, index, .. } = found?;
        self.now = self.now.max(due_at);
        self.push(index, self.now + interval(self.weights[index]));
        Some(index)
    }

    fn push(&mut self, index: usize, due_at: u64) {
        self.queue.push(Reverse(DueEntry { due_at, generation: self.generations[index], index }));
    }

    /// Keeps outdated items from outgrowing the entries.
    fn discard_outdated(&mut self) {
        if self.queue.len() > 2 * self.weights.len() + MIN_QUEUE_SLACK {
            let generations = &self.generations;
            self.queue.retain(|Reverse(entry)| generations[entry.index] == entry.generation);
        }
    }
}

fn interval(weight: u32) -> u64 {
    ROUND / u64::from(weight)
}
