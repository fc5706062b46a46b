//! Load balancing: choosing an entry of a table. Each policy has a data structure of its own, rebuilt when
//! entries come or go and updated when the weight of one changes. `benches/choose.rs` compares them with a
//! plain scan.

mod smooth_weighted_round_robin;
mod weighted_random;

use std::str::FromStr;

use nanorand::{Rng, WyRand};

pub use smooth_weighted_round_robin::SmoothWeightedRoundRobin;
pub use weighted_random::WeightedRandom;

/// How a proxy chooses among the entries of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadBalancingPolicy {
    /// Evenly by weight, without bursts.
    #[default]
    SmoothWeightedRoundRobin,
    /// At random, by weight.
    WeightedRandom,
    /// Of two entries drawn at random by weight, the one with fewer requests in flight.
    PowerOfTwoChoices,
}

/// A policy's name that is not one of those in the schema.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is none of wheel, lottery, pair")]
pub struct UnknownPolicy(pub String);

/// By the names of the configuration file.
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

/// Random draws before all entries are scanned. Where few entries are open, draws alone would take long.
const MAX_DRAWS: usize = 8;

/// The entries of one table, by index, in the data structure of the policy.
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
    /// A chooser over these weights.
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
    pub fn set_weight(&mut self, index: usize, weight: u32) {
        match self {
            Chooser::SmoothWeightedRoundRobin(schedule) => schedule.set_weight(index, weight),
            Chooser::WeightedRandom(weights) | Chooser::PowerOfTwoChoices(weights) => {
                weights.set_weight(index, weight);
            }
        }
    }

    /// The next entry for which `is_open` holds; `in_flight` counts the requests at each entry. `None` if no
    /// entry with a weight above 0 is open.
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

/// Draws an entry by weight among the open ones.
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

/// The same by a scan over all entries.
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
