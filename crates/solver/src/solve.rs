//! A problem becomes a net of sources (a class in a zone) and sinks (a piece of a group's room), the
//! net's flow becomes loads, and loads become weights.

use crate::answer::{Answer, Objective, ShedReason, weigh};
use crate::flow::{FlowNetwork, most_gain};
use crate::groups::{Group, groups};
use crate::lateness::pieces;
use crate::problem::{Problem, ProblemError, UNIT};

/// Gains become whole numbers: this many steps in the greatest gain of a unit of work.
const STEPS: f64 = 1e9;

/// Works out an answer.
///
/// # Errors
/// The problem makes no sense; the fault names the entry.
pub fn solve(problem: &Problem) -> Result<Answer, ProblemError> {
    problem.check()?;
    let groups = groups(problem);
    let plan = Plan::new(problem, &groups);
    let flow = most_gain(&plan.net);
    Ok(plan.answer(&flow))
}

struct Plan<'a> {
    problem: &'a Problem,
    groups: &'a [Group],
    /// Class and zone of each source.
    sources: Vec<(usize, usize)>,
    /// Group of each sink, and what a unit of work costs there by lateness.
    sinks: Vec<(usize, f64)>,
    net: FlowNetwork,
}

impl<'a> Plan<'a> {
    fn new(problem: &'a Problem, groups: &'a [Group]) -> Self {
        let classes = 0..problem.classes.len();
        let all = classes.flat_map(|class| (0..problem.zones).map(move |zone| (class, zone)));
        let sources: Vec<_> = all.filter(|(class, zone)| problem.asked(*class, *zone) > 0).collect();
        let (mut sinks, mut room) = (Vec::new(), Vec::new());
        for (place, group) in groups.iter().enumerate() {
            for piece in pieces(problem, group) {
                sinks.push((place, piece.cost));
                room.push(piece.room);
            }
        }
        let work = sources.iter().map(|(class, zone)| problem.asked(*class, *zone)).collect();
        let most = sources.iter().map(|(class, _)| problem.gain(*class, false)).fold(0.0, f64::max);
        let step = if most > 0.0 { STEPS / most } else { 0.0 };
        let gain = |(class, zone): &(usize, usize), (group, cost): &(usize, f64)| {
            let group = &groups[*group];
            let may = group.classes.binary_search(class).is_ok();
            may.then(|| ((problem.gain(*class, *zone != group.zone) - cost) * step).round() as i64)
        };
        let gain = sources.iter().map(|from| sinks.iter().map(|to| gain(from, to)).collect()).collect();
        Plan { problem, groups, sources, sinks, net: FlowNetwork { work, room, gain } }
    }

    fn answer(&self, flow: &[Vec<i64>]) -> Answer {
        let problem = self.problem;
        // By class, zone of the proxies, and group.
        let mut placed = vec![vec![vec![0_i64; self.groups.len()]; problem.zones]; problem.classes.len()];
        let mut lateness = 0.0;
        for ((class, zone), row) in self.sources.iter().zip(flow) {
            for ((group, cost), units) in self.sinks.iter().zip(row) {
                placed[*class][*zone][*group] += units;
                lateness += cost * *units as f64 / UNIT;
            }
        }
        let mut loads = vec![0.0; problem.servers.len()];
        for (place, group) in self.groups.iter().enumerate() {
            let work: i64 = placed.iter().flatten().map(|groups| groups[place]).sum();
            for server in &group.servers {
                loads[*server] = work as f64 * (problem.room(*server) as f64 / group.room as f64) / UNIT;
            }
        }
        let (mut earned, mut crossing) = (0.0, 0.0);
        let mut let_in = Vec::new();
        let mut dropped = Vec::new();
        for (class, zones) in placed.iter().enumerate() {
            let (mut asked, mut got) = (0_i64, 0_i64);
            for (zone, groups) in zones.iter().enumerate() {
                asked += problem.asked(class, zone);
                got += groups.iter().sum::<i64>();
                let abroad = self.groups.iter().zip(groups).filter(|(group, _)| group.zone != zone);
                let abroad: i64 = abroad.map(|(_, units)| units).sum();
                crossing += abroad as f64 / UNIT / problem.classes[class].work * problem.crossing;
            }
            earned += got as f64 / UNIT * problem.gain(class, false);
            let_in.push(if asked > 0 { got as f64 / asked as f64 } else { 1.0 });
            if got < asked {
                dropped.push(self.dropped(class, asked - got, &placed));
            }
        }
        Answer {
            weights: self.weights(&loads),
            placed: self.placed(&placed),
            loads,
            let_in,
            dropped,
            objective: Objective { earned, crossing, lateness },
        }
    }

    fn dropped(&self, class: usize, units: i64, placed: &[Vec<Vec<i64>>]) -> ShedReason {
        let work = self.problem.classes[class].work;
        let own = |group: &&Group| group.classes.binary_search(&class).is_ok();
        let room: i64 = self.groups.iter().filter(own).map(|group| group.room).sum();
        let own_work = |zones: &Vec<Vec<i64>>| {
            let there = |groups: &Vec<i64>| -> i64 {
                self.groups.iter().zip(groups).filter(|(group, _)| own(group)).map(|(_, units)| units).sum()
            };
            zones.iter().map(there).sum::<i64>()
        };
        let before = |other: &usize| *other != class && own_work(&placed[*other]) > 0;
        let before = (0..placed.len()).filter(before).collect();
        // New cores would be used no further than those that are there.
        let used = placed.iter().map(own_work).sum::<i64>();
        let share = if used > 0 { used as f64 / room as f64 } else { 1.0 };
        let visits = units as f64 / UNIT / work;
        ShedReason {
            class,
            visits,
            restored_by: units as f64 / UNIT / share,
            room: room as f64 / UNIT,
            before,
        }
    }

    /// A server's listed weight is its part of the planned work if it were warm: what holds a cold
    /// one back is decided by the module, with each minute of its warm-up.
    fn weights(&self, loads: &[f64]) -> Vec<u32> {
        let warm = |server: usize| {
            let warmth = self.problem.servers[server].warmth;
            if warmth > 0.0 { loads[server] / warmth } else { 0.0 }
        };
        let mut weights = weigh(&(0..loads.len()).map(warm).collect::<Vec<_>>());
        // Where nothing is asked for, room alone says what a visit that does come should find.
        let idle = loads.iter().all(|load| *load <= 0.0);
        if idle {
            let room = (0..loads.len()).map(|server| {
                if self.problem.room(server) > 0 { self.problem.servers[server].capacity } else { 0.0 }
            });
            weights = weigh(&room.collect::<Vec<_>>());
        }
        weights
    }

    /// By class and zone of the proxies: work of each server that has some.
    fn placed(&self, placed: &[Vec<Vec<i64>>]) -> Vec<Vec<Vec<(usize, f64)>>> {
        let table = |groups: &Vec<i64>| {
            let mut parts: Vec<(usize, f64)> = Vec::new();
            for (group, units) in self.groups.iter().zip(groups).filter(|(_, units)| **units > 0) {
                let each = *units as f64 / group.room as f64 / UNIT;
                let work = |server: &usize| (*server, each * self.problem.room(*server) as f64);
                parts.extend(group.servers.iter().map(work));
            }
            parts.sort_by_key(|(server, _)| *server);
            parts
        };
        placed.iter().map(|zones| zones.iter().map(table).collect()).collect()
    }
}
