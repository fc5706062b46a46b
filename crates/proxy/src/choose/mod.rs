//! Load balancing policies, which choose an entry of a table. Each policy has its own data structure, which is
//! rebuilt when entries are added or removed and updated in place when a weight changes. `benches/choose.rs`
//! compares them with a linear scan.

mod smooth_weighted_round_robin;
mod weighted_random;

use std::str::FromStr;

use nanorand::{Rng, WyRand};

pub use smooth_weighted_round_robin::SmoothWeightedRoundRobin;
pub use weighted_random::WeightedRandom;

/// The policy by which a proxy chooses among the entries of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadBalancingPolicy {
    /// Entries are chosen in proportion to their weights, with the requests to each entry spread evenly.
    #[default]
    SmoothWeightedRoundRobin,
    /// Entries are chosen at random, with probabilities proportional to their weights.
    WeightedRandom,
    /// Two entries are drawn at random by weight; the one with fewer requests in flight is chosen.
    PowerOfTwoChoices,
}

/// The error for a policy name that the schema of the configuration file does not define.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown load balancing policy {0:?}, expected wheel, lottery or pair")]
pub struct UnknownPolicy(pub String);

/// Parses the names that the configuration file uses.
impl FromStr for LoadBalancingPolicy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        match text {
            "wheel" => Ok(LoadBalancingPolicy::SmoothWeightedRoundRobin),
            "lottery" => Ok(LoadBalancingPolicy::WeightedRandom),
            "pair" => Ok(LoadBalancingPolicy::PowerOfTwoChoices),
            _ => Err(UnknownPolicy(text.to_string())),
        }
    }
}

/// Maximum number of random draws before falling back to a scan over all entries. If few entries are open, most
/// draws hit closed ones.
const MAX_DRAWS: usize = 8;

/// The data structure of a policy over the entries of one table, which it refers to by index.
#[derive(Clone, Debug)]
pub enum Chooser {
    /// See [`LoadBalancingPolicy::SmoothWeightedRoundRobin`].
    SmoothWeightedRoundRobin(SmoothWeightedRoundRobin),
    /// See [`LoadBalancingPolicy::WeightedRandom`].
    WeightedRandom(WeightedRandom),
    /// See [`LoadBalancingPolicy::PowerOfTwoChoices`].
    PowerOfTwoChoices(WeightedRandom),
}

impl Chooser {
    /// Returns a chooser over entries with these weights.
    #[must_use]
    pub fn new(policy: LoadBalancingPolicy, weights: &[u32]) -> Self {
        match policy {
            LoadBalancingPolicy::SmoothWeightedRoundRobin => {
                Chooser::SmoothWeightedRoundRobin(SmoothWeightedRoundRobin::new(weights))
            }
            LoadBalancingPolicy::WeightedRandom => Chooser::WeightedRandom(WeightedRandom::new(weights)),
            LoadBalancingPolicy::PowerOfTwoChoices => {
                Chooser::PowerOfTwoChoices(WeightedRandom::new(weights))
            }
        }
    }

    /// Changes the weight of one entry.
    ///
    /// # Panics
    /// There is no entry with this index.
    pub fn set_weight(&mut self, index: usize, weight: u32) {
        match self {
            Chooser::SmoothWeightedRoundRobin(schedule) => schedule.set_weight(index, weight),
            Chooser::WeightedRandom(weights) | Chooser::PowerOfTwoChoices(weights) => {
                weights.set_weight(index, weight);
            }
        }
    }

    /// Returns the index of the next entry for which `is_open` returns true, or `None` if no entry with a weight
    /// above 0 is open. `in_flight` returns the number of requests in flight at an entry.
    pub fn next(
        &mut self,
        rng: &mut WyRand,
        is_open: impl Fn(usize) -> bool,
        in_flight: impl Fn(usize) -> usize,
    ) -> Option<usize> {
        match self {
            Chooser::SmoothWeightedRoundRobin(schedule) => schedule.next(is_open),
            Chooser::WeightedRandom(weights) => draw_open(weights, rng, &is_open),
            Chooser::PowerOfTwoChoices(weights) => {
                let first = draw_open(weights, rng, &is_open)?;
                let second = draw_open(weights, rng, &|index| index != first && is_open(index));
                let less_loaded = second.filter(|second| in_flight(*second) < in_flight(first));
                Some(less_loaded.unwrap_or(first))
            }
        }
    }
}

/// Draws an open entry at random by weight; `None` if no entry with a weight above 0 is open.
fn draw_open(weights: &WeightedRandom, rng: &mut WyRand, is_open: &impl Fn(usize) -> bool) -> Option<usize> {
    if weights.total_weight() == 0 {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let index = weights.index_at(rng.generate_range(0..weights.total_weight().max(1)));
        if is_open(index) {
            return Some(index);
        }
    }
    scan_open(weights, rng, is_open)
}

/// Draws like [`draw_open`], but scans all entries, which always finds an open one if there is any.
fn scan_open(weights: &WeightedRandom, rng: &mut WyRand, is_open: &impl Fn(usize) -> bool) -> Option<usize> {
    let is_candidate = |index: &usize| weights.weight(*index) > 0 && is_open(*index);
    let candidates = || (0..weights.len()).filter(is_candidate);
    let total: u64 = candidates().map(|index| u64::from(weights.weight(index))).sum();
    let mut remaining = rng.generate_range(0..total.max(1));
    candidates().find(|index| {
        let weight = u64::from(weights.weight(*index));
        let found = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        found
    })
}
