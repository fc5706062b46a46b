//! Choosing a line of a table. Each way has a structure of its own, made anew when the table
//! changes as a whole and mended when one line does; `benches/choose.rs` holds them against a plain scan.

mod draw;
mod wheel;

use std::str::FromStr;

use nanorand::{Rng, WyRand};

pub use draw::WeightedRandom;
pub use wheel::SmoothWeightedRoundRobin;

/// How a proxy chooses, by the words of the terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadBalancingPolicy {
    /// Evenly by weight, smoothly and without bursts.
    #[default]
    SmoothWeightedRoundRobin,
    /// By chance, by weight.
    WeightedRandom,
    /// Of two drawn by weight, the one with fewer visits outstanding.
    LeastOutstandingOfTwo,
}

impl FromStr for LoadBalancingPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "wheel" => Ok(LoadBalancingPolicy::SmoothWeightedRoundRobin),
            "lottery" => Ok(LoadBalancingPolicy::WeightedRandom),
            "pair" => Ok(LoadBalancingPolicy::LeastOutstandingOfTwo),
            _ => Err(format!("{text:?} is none of wheel, lottery, pair")),
        }
    }
}

/// Draws by chance before a plain look at all lines: where most are shut, chance alone is slow.
const DRAWS: usize = 8;

/// The lines of one table, by place, in the form that its way needs.
#[derive(Clone, Debug)]
pub enum Chooser {
    SmoothWeightedRoundRobin(SmoothWeightedRoundRobin),
    Lottery(WeightedRandom),
    Pair(WeightedRandom),
}

impl Chooser {
    pub fn new(way: LoadBalancingPolicy, weights: &[u32]) -> Self {
        match way {
            LoadBalancingPolicy::SmoothWeightedRoundRobin => {
                Chooser::SmoothWeightedRoundRobin(SmoothWeightedRoundRobin::new(weights))
            }
            LoadBalancingPolicy::WeightedRandom => Chooser::Lottery(WeightedRandom::new(weights)),
            LoadBalancingPolicy::LeastOutstandingOfTwo => Chooser::Pair(WeightedRandom::new(weights)),
        }
    }

    /// One line has another weight now.
    pub fn set(&mut self, place: usize, weight: u32) {
        match self {
            Chooser::SmoothWeightedRoundRobin(wheel) => wheel.set(place, weight),
            Chooser::Lottery(draw) | Chooser::Pair(draw) => draw.set(place, weight),
        }
    }

    /// The next line for which `open` holds; `outstanding` counts what each has in hand. `None` if
    /// no line of a weight above 0 is open.
    pub fn next(
        &mut self,
        chance: &mut WyRand,
        open: impl Fn(usize) -> bool,
        outstanding: impl Fn(usize) -> usize,
    ) -> Option<usize> {
        match self {
            Chooser::SmoothWeightedRoundRobin(wheel) => wheel.next(open),
            Chooser::Lottery(draw) => one(draw, chance, &open),
            Chooser::Pair(draw) => {
                let first = one(draw, chance, &open)?;
                let second = one(draw, chance, &|place| place != first && open(place));
                let less = second.filter(|second| outstanding(*second) < outstanding(first));
                Some(less.unwrap_or(first))
            }
        }
    }
}

/// A line by weight among the open ones.
fn one(draw: &WeightedRandom, chance: &mut WyRand, open: &impl Fn(usize) -> bool) -> Option<usize> {
    let at = |chance: &mut WyRand, total: u64| chance.generate_range(0..total.max(1));
    if draw.total() == 0 {
        return None;
    }
    for _ in 0..DRAWS {
        let place = draw.at(at(chance, draw.total()));
        if open(place) {
            return Some(place);
        }
    }
    let free = |place: &usize| draw.weight(*place) > 0 && open(*place);
    let total: u64 = (0..draw.len()).filter(free).map(|place| u64::from(draw.weight(place))).sum();
    let mut left = at(chance, total);
    (0..draw.len()).filter(free).find(|place| {
        let weight = u64::from(draw.weight(*place));
        let here = left < weight;
        left = left.saturating_sub(weight);
        here
    })
}
