//! Groups of endpoints that differ in nothing but their capacity.
//!
//! Gains depend on the zone and on the classes that may use an endpoint, not on the single endpoint. A fleet of thousands
//! is therefore a problem of some dozen groups, which is what makes it quick to solve.

use std::collections::BTreeMap;

use crate::problem::Problem;

/// Endpoints of one zone, or of all zones where crossing costs nothing, that the same classes may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndpointGroup {
    pub zone: usize,
    /// The classes that may use it, in ascending order.
    pub classes: Vec<usize>,
    pub endpoints: Vec<usize>,
    /// Present capacity in whole units.
    pub capacity: i64,
}

impl EndpointGroup {
    pub fn is_usable_by(&self, class: usize) -> bool {
        self.classes.binary_search(&class).is_ok()
    }
}

/// What makes endpoints alike.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    zone: usize,
    classes: Vec<usize>,
}

#[derive(Default)]
struct GroupMembers {
    endpoints: Vec<usize>,
    capacity: i64,
}

/// The groups of a problem, ordered by zone and then by classes. Endpoints without capacity are in none.
pub(crate) fn group_endpoints(problem: &Problem) -> Vec<EndpointGroup> {
    let usability: Vec<Vec<bool>> =
        (0..problem.classes.len()).map(|class| usable_endpoints(problem, class)).collect();
    let mut groups: BTreeMap<GroupKey, GroupMembers> = BTreeMap::new();
    for (index, endpoint) in problem.endpoints.iter().enumerate() {
        let capacity = problem.capacity_units(index);
        if capacity == 0 {
            continue;
        }
        let classes = (0..problem.classes.len()).filter(|class| usability[*class][index]).collect();
        // Where crossing costs nothing, zones make no difference either.
        let zone = if problem.crossing_cost > 0.0 { endpoint.zone } else { 0 };
        let members = groups.entry(GroupKey { zone, classes }).or_default();
        members.endpoints.push(index);
        members.capacity += capacity;
    }
    let group = |(key, members): (GroupKey, GroupMembers)| EndpointGroup {
        zone: key.zone,
        classes: key.classes,
        endpoints: members.endpoints,
        capacity: members.capacity,
    };
    groups.into_iter().map(group).collect()
}

/// By endpoint, whether a class may use it.
fn usable_endpoints(problem: &Problem, class: usize) -> Vec<bool> {
    let class = &problem.classes[class];
    let mut is_listed = vec![class.allowed_endpoints.is_none(); problem.endpoints.len()];
    for endpoint in class.allowed_endpoints.iter().flatten() {
        is_listed[*endpoint] = true;
    }
    let zone_allowed = |zone: usize| class.allowed_zones.is_empty() || class.allowed_zones.contains(&zone);
    let endpoints = problem.endpoints.iter().zip(is_listed);
    endpoints.map(|(endpoint, is_listed)| is_listed && zone_allowed(endpoint.zone)).collect()
}
