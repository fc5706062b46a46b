//! How much lateness a load brings: the stated queueing estimate. Of visits at a server with `c` cores
//! in use by the share `u`, so many are late as wait longer than their contract time in a queue with
//! exponential times: `u * exp(-(1 - u) * c * contract_time / work)`. Work times its lateness grows
//! ever faster with the load, so that straight pieces of it can be filled one after the other.

use crate::groups::Group;
use crate::problem::Problem;

/// The curve is cut into so many pieces: a sixteenth of a server's capacity is what a plan can tell
/// apart, given how roughly demand is known.
const PIECES: i64 = 16;

/// Where nothing is late, loads are kept even by this much of what work earns: too little to outweigh
/// a crossing, enough to keep an idle fleet from filling one zone before it uses the next.
const EVEN: f64 = 1.0 / 1024.0;

/// A piece of a group's room, and what a unit of work on it costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearSegment {
    pub room: i64,
    pub cost: f64,
}

/// The pieces of a group, from idle to full. What is late costs what a unit of work earns on average.
pub fn pieces(problem: &Problem, group: &Group) -> Vec<LinearSegment> {
    let steep = steepness(problem, group);
    let price = mean_gain(problem);
    let at = |piece: i64| group.room / PIECES * piece + group.room % PIECES * piece / PIECES;
    let piece = |i: i64| {
        let (from, to) = (i as f64 / PIECES as f64, (i + 1) as f64 / PIECES as f64);
        let cost = (late_work(to, steep) - late_work(from, steep)) / (to - from) * price;
        LinearSegment { room: at(i + 1) - at(i), cost }
    };
    (0..PIECES).map(piece).filter(|piece| piece.room > 0).collect()
}

/// The share of visits that come late at a load, from 0 to 1.
pub fn late(load: f64, steep: f64) -> f64 {
    if load >= 1.0 { 1.0 } else { load.max(0.0) * (-(1.0 - load) * steep).exp() }
}

fn late_work(load: f64, steep: f64) -> f64 {
    load * (late(load, steep) + EVEN * load)
}

/// Contract time over work, on average by the work that those who may come ask for, times the cores of
/// a server of the group.
pub fn steepness(problem: &Problem, group: &Group) -> f64 {
    let cores = group.servers.iter().map(|server| problem.servers[*server].capacity).sum::<f64>()
        / group.servers.len().max(1) as f64;
    let (mut work, mut sum) = (0.0, 0.0);
    for class in &group.classes {
        let asked: f64 = (0..problem.zones).map(|zone| problem.asked(*class, zone) as f64).sum();
        let class = &problem.classes[*class];
        sum += asked * class.contract_time / class.work;
        work += asked;
    }
    if work > 0.0 { cores.max(1.0) * sum / work } else { 0.0 }
}

/// What a unit of the work that is asked for earns on average.
pub fn mean_gain(problem: &Problem) -> f64 {
    let (mut work, mut earned) = (0.0, 0.0);
    for class in 0..problem.classes.len() {
        let asked: f64 = (0..problem.zones).map(|zone| problem.asked(class, zone) as f64).sum();
        work += asked;
        earned += asked * problem.gain(class, false);
    }
    if work > 0.0 { earned / work } else { 0.0 }
}
