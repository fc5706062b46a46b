//! What given weights earn: the visits that come spread by them, and what a server can not do is lost.

use crate::groups::{Group, groups};
use crate::lateness::{late, mean_gain, steepness};
use crate::problem::{Problem, UNIT};

/// Work that comes to each server, in cores, where the visits let in spread over all the servers
/// that their class may use, by weight alone.
pub fn loads(problem: &Problem, weights: &[u32], let_in: &[f64]) -> Vec<f64> {
    let mut loads = vec![0.0; problem.servers.len()];
    let groups = groups(problem);
    for class in 0..problem.classes.len() {
        let work: i64 = (0..problem.zones).map(|zone| problem.asked(class, zone)).sum();
        let own: Vec<&Group> =
            groups.iter().filter(|group| group.classes.binary_search(&class).is_ok()).collect();
        let servers = || own.iter().flat_map(|group| &group.servers);
        let sum: f64 = servers().map(|server| f64::from(weights[*server])).sum();
        if sum > 0.0 {
            let each = work as f64 / UNIT * let_in.get(class).copied().unwrap_or(1.0) / sum;
            servers().for_each(|server| loads[*server] += each * f64::from(weights[*server]));
        }
    }
    loads
}

/// Earnings a second: work that a server can do and that is not late, at what work earns on average.
pub fn value(problem: &Problem, weights: &[u32], let_in: &[f64]) -> f64 {
    let price = mean_gain(problem);
    let loads = loads(problem, weights, let_in);
    let mut sum = 0.0;
    for group in groups(problem) {
        let steep = steepness(problem, &group);
        sum +=
            group.servers.iter().map(|server| on_time(problem, *server, loads[*server], steep)).sum::<f64>();
    }
    sum * price
}

/// On-time work of one server at a load.
pub(crate) fn on_time(problem: &Problem, server: usize, load: f64, steep: f64) -> f64 {
    let room = problem.room(server) as f64 / UNIT;
    if room <= 0.0 {
        return 0.0;
    }
    // Beyond its room a server falls behind, and all that waits comes late.
    let share = load / room;
    if share >= 1.0 { 0.0 } else { load * (1.0 - late(share, steep)) }
}
