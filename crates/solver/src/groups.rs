//! Servers that nothing tells apart but their size, taken together. Gains depend on zones and on
//! which classes may come, not on the single server: a fleet of thousands is a problem of some dozen
//! groups, and this is what makes it quick.

use std::collections::BTreeMap;

use crate::problem::Problem;

/// Servers of one zone, or of all where crossing costs nothing, that the same classes may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub zone: usize,
    /// Classes that may use it, in order.
    pub classes: Vec<usize>,
    pub servers: Vec<usize>,
    /// Work in a second now, in whole units.
    pub room: i64,
}

/// The groups of a problem, in the order of zones and then of classes.
pub fn groups(problem: &Problem) -> Vec<Group> {
    let mut named: Vec<Option<Vec<bool>>> = Vec::new();
    for class in &problem.classes {
        named.push(class.servers.as_ref().map(|servers| {
            let mut may = vec![false; problem.servers.len()];
            servers.iter().for_each(|server| may[*server] = true);
            may
        }));
    }
    let may = |class: usize, server: usize| {
        let zones = &problem.classes[class].zones;
        let zone = zones.is_empty() || zones.contains(&problem.servers[server].zone);
        zone && named[class].as_ref().is_none_or(|may| may[server])
    };
    let mut found: BTreeMap<(usize, Vec<usize>), (Vec<usize>, i64)> = BTreeMap::new();
    for server in 0..problem.servers.len() {
        let room = problem.room(server);
        if room == 0 {
            continue;
        }
        let classes = (0..problem.classes.len()).filter(|class| may(*class, server)).collect();
        // Where crossing costs nothing, zones tell nobody apart either.
        let zone = if problem.crossing > 0.0 { problem.servers[server].zone } else { 0 };
        let (servers, sum) = found.entry((zone, classes)).or_default();
        servers.push(server);
        *sum += room;
    }
    let group = |((zone, classes), (servers, room))| Group { zone, classes, servers, room };
    found.into_iter().map(group).collect()
}
