//! Holding on to an answer. Another replaces it only as far as it gains more than its changed lines
//! cost, the lines that move most work first. Guards against weights that swing with every tremble of
//! demand, each swing a wave of lines through all proxies.

use std::collections::BTreeMap;

use crate::answer::{Answer, WEIGHT_STEPS};
use crate::problem::Problem;
use crate::value::LoadDistribution;

/// What changing costs, from the stated price and pace of lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangePrice {
    /// Earnings that a changed line costs, over all proxies that hold it.
    pub line: f64,
    /// So many lines may change at once.
    pub lines_most: usize,
    /// Seconds for which an answer is expected to stand: what it gains, it gains for so long.
    pub stands: f64,
}

/// Demand is known no better than this: what would move a line by less of it moves none.
pub(crate) const TREMBLE: f64 = 1.0 / 16.0;

/// The weights in force, by the host's own numbers of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanStabilizer {
    weights: BTreeMap<usize, u32>,
    let_in: Vec<f64>,
}

impl PlanStabilizer {
    pub fn weights(&self) -> &BTreeMap<usize, u32> {
        &self.weights
    }

    /// Share of each class that may be let in.
    pub fn let_in(&self) -> &[f64] {
        &self.let_in
    }

    /// Takes an answer to a problem whose servers have these numbers. Gives the lines that change.
    pub fn take(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        answer: &Answer,
        price: ChangePrice,
    ) -> Vec<(usize, u32)> {
        self.take_shares(&answer.let_in);
        let new = self.scaled(numbers, &answer.weights);
        let held: Vec<Option<u32>> = numbers.iter().map(|number| self.weights.get(number).copied()).collect();
        // A server that was not known has to weigh something, whatever it costs; and all have if none was.
        let mut now: Vec<u32> = held.iter().zip(&new).map(|(held, new)| held.unwrap_or(*new)).collect();
        let mut changed: Vec<usize> =
            (0..now.len()).filter(|place| differs(now[*place], new[*place])).collect();
        let spread = LoadDistribution::new(problem);
        let (before, after) = (spread.loads(&now, &self.let_in), spread.loads(&new, &self.let_in));
        let moved = |place: &usize| (after[*place] - before[*place]).abs();
        changed.sort_by(|a, b| moved(b).total_cmp(&moved(a)).then(a.cmp(b)));
        changed.truncate(self.best(&spread, &now, &new, &changed, price));
        changed.iter().for_each(|place| now[*place] = new[*place]);
        let lines = (0..now.len()).filter(|place| held[*place] != Some(now[*place]));
        let lines: Vec<_> = lines.map(|place| (numbers[place], now[place])).collect();
        self.weights = numbers.iter().copied().zip(now).collect();
        lines
    }

    /// How many of the changes gain most beyond what they cost; 0 if none does. Tried at one, two,
    /// four and so on, and at all.
    fn best(
        &self,
        spread: &LoadDistribution,
        now: &[u32],
        new: &[u32],
        changed: &[usize],
        price: ChangePrice,
    ) -> usize {
        let all = changed.len().min(price.lines_most);
        let before = spread.value(now, &self.let_in);
        let sizes = (0..).map(|power| 1_usize << power).take_while(|size| *size < all).chain([all]);
        let mut best = (0.0, 0);
        for size in sizes.filter(|size| *size > 0) {
            let mut tried = now.to_vec();
            changed[..size].iter().for_each(|place| tried[*place] = new[*place]);
            let gain =
                (spread.value(&tried, &self.let_in) - before) * price.stands - price.line * size as f64;
            if gain > best.0 {
                best = (gain, size);
            }
        }
        best.1
    }

    fn take_shares(&mut self, shares: &[f64]) {
        if self.let_in.len() != shares.len() {
            self.let_in = shares.to_vec();
        }
        for (held, new) in self.let_in.iter_mut().zip(shares) {
            // All or nothing is taken at once; in between a share has to move by more than demand trembles.
            if (*held - new).abs() > TREMBLE * new.max(*held) || *new == 0.0 || *new == 1.0 {
                *held = *new;
            }
        }
    }

    /// New weights on the scale of those held, so that demand which grows everywhere alike moves no
    /// line: most servers keep what they have.
    fn scaled(&self, numbers: &[usize], new: &[u32]) -> Vec<u32> {
        let held = |place: usize| self.weights.get(&numbers[place]).copied().filter(|weight| *weight > 0);
        let ratio = |place| Some(f64::from(held(place)?) / f64::from(new[place]));
        let mut ratios: Vec<f64> = (0..new.len()).filter(|place| new[*place] > 0).filter_map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let Some(middle) = ratios.get(ratios.len() / 2) else { return new.to_vec() };
        let most = new.iter().copied().max().unwrap_or(0);
        // Unless the greatest would leave the scale.
        let scale = middle.min(f64::from(WEIGHT_STEPS) / f64::from(most.max(1)));
        new.iter().map(|weight| (f64::from(*weight) * scale).round() as u32).collect()
    }
}

fn differs(held: u32, new: u32) -> bool {
    let apart = f64::from(held.abs_diff(new));
    apart > (TREMBLE * f64::from(held.max(new))).max(1.0) || (held == 0) != (new == 0)
}
