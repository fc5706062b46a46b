//! Groups of endpoints that differ only in their capacity.
//!
//! The gain of work at an endpoint depends only on the endpoint's zone and on the classes that may use it. Grouping
//! endpoints by these reduces a fleet of thousands to some dozen groups, which keeps solving fast.

use std::collections::BTreeMap;

use crate::problem::Problem;

/// Endpoints of one zone that the same classes may use. If crossing zones is free, all zones count as zone 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndpointGroup {
    pub zone: usize,
    /// Indices of the classes that may use its endpoints, in ascending order.
    pub classes: Vec<usize>,
    /// Indices of its endpoints, in ascending order.
    pub endpoints: Vec<usize>,
    /// Sum of the available capacities, in integer units of work per second.
    pub capacity: i64,
}

impl EndpointGroup {
    /// Returns true if a class may use the endpoints of this group.
    pub fn is_usable_by(&self, class: usize) -> bool {
        self.classes.binary_search(&class).is_ok()
    }
}

/// The properties that all endpoints of a group share.
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

/// Returns the groups of a problem, ordered by zone and then by classes. Endpoints without available capacity are in no
/// group.
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
        // If crossing zones is free, the zone does not affect any gain.
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

/// Returns, for each endpoint, true if a class may use it.
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
