//! Smooth weighted round robin, implemented as earliest deadline first scheduling: after each choice an entry
//! is due again after an interval inversely proportional to its weight, and the entry with the earliest due time
//! is chosen next. A heap finds it in logarithmic time, while the usual implementation scans all entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The interval of an entry of weight 1, in units of virtual time. Intervals are integers, so that rounding errors
/// do not accumulate.
const UNIT_INTERVAL: u64 = 1 << 40;

/// Outdated queue items are removed once the queue has more than twice as many items as there are entries, plus
/// this number.
const MIN_QUEUE_SLACK: usize = 16;

/// A queue item for an entry, ordered by due time, then by generation and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    /// The virtual time at which the entry is due.
    due_at: u64,
    /// The number of weight changes of the entry when the item was queued.
    generation: u32,
    index: usize,
}

/// A schedule of entries, ordered by the virtual time at which they are due.
#[derive(Clone, Debug, Default)]
pub struct SmoothWeightedRoundRobin {
    weights: Vec<u32>,
    /// The number of weight changes of each entry, wrapping. Queue items of another generation are outdated.
    generations: Vec<u32>,
    queue: BinaryHeap<Reverse<DueEntry>>,
    /// The current virtual time: the latest due time of any entry chosen so far.
    now: u64,
}

impl SmoothWeightedRoundRobin {
    /// Returns a schedule of entries with these weights, at virtual time 0.
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

    /// Changes the weight of one entry, which is then due after half of its new interval. If it were due
    /// immediately, each weight change would cause a request to it; after a full interval it would be due too late.
    ///
    /// # Panics
    /// There is no entry with this index.
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

    /// Returns the number of items in the queue, including outdated ones. It is bounded by a constant factor of
    /// the number of entries.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the index of the next entry for which `is_open` returns true, or `None` if no entry with a weight
    /// above 0 is open. Entries that are not open keep their due time, so they are chosen first once they open,
    /// but only once: an endpoint that returns receives no burst.
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

    /// Removes outdated items if they make up most of the queue.
    fn discard_outdated(&mut self) {
        if self.queue.len() > 2 * self.weights.len() + MIN_QUEUE_SLACK {
            let generations = &self.generations;
            self.queue.retain(|Reverse(entry)| generations[entry.index] == entry.generation);
        }
    }
}

fn interval(weight: u32) -> u64 {
    UNIT_INTERVAL / u64::from(weight)
}
