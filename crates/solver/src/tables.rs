//! Tables of their own for classes and zones, as shares of the listed weights. A plan places each class of
//! each zone; classes that share a table share what was planned for all of them. Tables are held like
//! weights: demand that trembles moves none.

use std::collections::{BTreeMap, BTreeSet};

use crate::answer::Answer;
use crate::problem::Problem;
use crate::steady::TREMBLE;

/// One table that proxies of a zone use for some classes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableScope {
    pub zone: usize,
    pub classes: Vec<usize>,
}

/// What each server has of its listed weight in a table, above 0 and up to 1; others have nothing there.
pub type Shares = BTreeMap<usize, f64>;

/// A share below this is less than what a table's grid of twentieths can say.
const LEAST: f64 = 1.0 / 40.0;

/// The tables in force, by the host's own numbers of servers.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    held: Vec<Shares>,
    known: BTreeSet<usize>,
}

impl Tables {
    /// Takes an answer to a problem whose servers have these numbers and these listed weights. Gives the tables
    /// that change, by their place among the lanes. With `anew`, as after listed weights have changed, all are
    /// worked out on them again.
    pub fn take(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        answer: &Answer,
        lanes: &[TableScope],
        listed: &BTreeMap<usize, u32>,
        anew: bool,
    ) -> Vec<(usize, Shares)> {
        self.held.resize(lanes.len(), Shares::new());
        let came: BTreeSet<usize> =
            numbers.iter().copied().filter(|server| !self.known.contains(server)).collect();
        self.known = numbers.iter().copied().collect();
        let mut changed = Vec::new();
        for (place, lane) in lanes.iter().enumerate() {
            let shares = shares(problem, numbers, answer, lane, listed);
            let held = &mut self.held[place];
            let newcomer = shares.keys().any(|server| came.contains(server));
            let differs = *held != shares;
            if differs && (anew || newcomer || moved(held, &shares, listed) > TREMBLE) {
                held.clone_from(&shares);
                changed.push((place, shares));
            }
        }
        changed
    }
}

fn shares(
    problem: &Problem,
    numbers: &[usize],
    answer: &Answer,
    lane: &TableScope,
    listed: &BTreeMap<usize, u32>,
) -> Shares {
    let mut parts: BTreeMap<usize, f64> = BTreeMap::new();
    for (server, work) in lane.classes.iter().flat_map(|class| &answer.placed[*class][lane.zone]) {
        // Its share if it were warm: what holds a cold one back is decided with each minute of its warm-up.
        let warmth = problem.servers[*server].warmth;
        let weight = listed.get(&numbers[*server]).copied().unwrap_or(0);
        if warmth > 0.0 && weight > 0 {
            *parts.entry(numbers[*server]).or_default() += work / warmth / f64::from(weight);
        }
    }
    let most = parts.values().copied().fold(0.0, f64::max);
    parts.into_iter().map(|(server, part)| (server, part / most)).filter(|(_, part)| *part >= LEAST).collect()
}

/// The part of a table's visits that would go elsewhere, from 0 to 1.
fn moved(held: &Shares, new: &Shares, listed: &BTreeMap<usize, u32>) -> f64 {
    let weigh = |shares: &Shares| -> BTreeMap<usize, f64> {
        let weight = |server: &usize| f64::from(listed.get(server).copied().unwrap_or(0));
        let sum: f64 = shares.iter().map(|(server, share)| weight(server) * share).sum();
        shares.iter().map(|(server, share)| (*server, weight(server) * share / sum.max(1e-9))).collect()
    };
    let (held, new) = (weigh(held), weigh(new));
    let all: BTreeSet<&usize> = held.keys().chain(new.keys()).collect();
    let of = |weights: &BTreeMap<usize, f64>, server: &usize| weights.get(server).copied().unwrap_or(0.0);
    all.into_iter().map(|server| (of(&held, server) - of(&new, server)).abs()).sum::<f64>() / 2.0
}
