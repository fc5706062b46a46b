//! What given weights earn: the visits that come spread by them, and what a server can not do is lost.

use crate::groups::{Group, groups};
use crate::lateness::{late, mean_gain, steepness};
use crate::problem::{Problem, UNIT};

/// How the visits of a problem spread; made once, for as many weights as are to be tried.
pub struct LoadDistribution<'a> {
    problem: &'a Problem,
    /// Each with how steeply its lateness grows.
    groups: Vec<(Group, f64)>,
    /// What a unit of work earns on average.
    price: f64,
}

impl<'a> LoadDistribution<'a> {
    pub fn new(problem: &'a Problem) -> Self {
        let steep = |group: Group| {
            let steep = steepness(problem, &group);
            (group, steep)
        };
        let groups = groups(problem).into_iter().map(steep).collect();
        LoadDistribution { problem, groups, price: mean_gain(problem) }
    }

    /// Work that comes to each server, in cores, where the visits let in spread over all the servers
    /// that their class may use, by weight alone.
    pub fn loads(&self, weights: &[u32], let_in: &[f64]) -> Vec<f64> {
        let problem = self.problem;
        let mut loads = vec![0.0; problem.servers.len()];
        for class in 0..problem.classes.len() {
            let work: i64 = (0..problem.zones).map(|zone| problem.asked(class, zone)).sum();
            let own = self.groups.iter().filter(|(group, _)| group.classes.binary_search(&class).is_ok());
            let servers = own.flat_map(|(group, _)| &group.servers);
            let sum: f64 = servers.clone().map(|server| f64::from(weights[*server])).sum();
            if sum > 0.0 {
                let each = work as f64 / UNIT * let_in.get(class).copied().unwrap_or(1.0) / sum;
                servers.for_each(|server| loads[*server] += each * f64::from(weights[*server]));
            }
        }
        loads
    }

    /// Earnings a second: work that a server can do and that is not late, at what work earns on average.
    pub fn value(&self, weights: &[u32], let_in: &[f64]) -> f64 {
        let loads = self.loads(weights, let_in);
        let on_time = |(group, steep): &(Group, f64)| -> f64 {
            group.servers.iter().map(|server| on_time(self.problem, *server, loads[*server], *steep)).sum()
        };
        self.groups.iter().map(on_time).sum::<f64>() * self.price
    }
}

/// On-time work of one server at a load.
fn on_time(problem: &Problem, server: usize, load: f64, steep: f64) -> f64 {
    let room = problem.room(server) as f64 / UNIT;
    // Beyond its room a server falls behind, and all that waits comes late.
    let share = load / room;
    if share >= 1.0 { 0.0 } else { load * (1.0 - late(share, steep)) }
}
