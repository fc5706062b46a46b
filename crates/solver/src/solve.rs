//! Translates a problem to a flow network, and the maximum-gain flow to a solution. Each source is a class in a zone of
//! proxies; each sink is a segment of a group's capacity.

use crate::endpoint_group::{EndpointGroup, group_endpoints};
use crate::flow::{FlowNetwork, max_gain_flow};
use crate::latency::latency_segments;
use crate::problem::{Problem, ProblemError, UNITS_PER_CORE};
use crate::solution::{Objective, PlannedWork, ShedReason, Solution, to_weights};

/// Gains are scaled so that the greatest gain of any class equals this, and rounded to integers.
const GAIN_STEPS: f64 = 1e9;

/// Returns the plan with the greatest objective. The result is deterministic. The time depends on the numbers of zones,
/// classes and endpoint groups more than on that of endpoints.
///
/// # Errors
/// Returns an error if a value of the problem is out of range; see [`Problem::validate`].
pub fn solve(problem: &Problem) -> Result<Solution, ProblemError> {
    problem.validate()?;
    let groups = group_endpoints(problem);
    let model = FlowModel::new(problem, &groups);
    let flow = max_gain_flow(&model.network());
    Ok(model.plan(&flow).solution())
}

/// The demand of a class in one zone of proxies.
struct Source {
    class: usize,
    zone: usize,
}

/// A segment of a group's capacity.
struct Sink {
    /// Index of the group.
    group: usize,
    /// Capacity in integer units of work per second.
    capacity: i64,
    /// Cost of latency of a second of work on one core.
    latency_cost: f64,
}

/// A problem as sources and sinks of a flow network.
struct FlowModel<'a> {
    problem: &'a Problem,
    groups: &'a [EndpointGroup],
    sources: Vec<Source>,
    sinks: Vec<Sink>,
}

impl<'a> FlowModel<'a> {
    fn new(problem: &'a Problem, groups: &'a [EndpointGroup]) -> Self {
        let classes = 0..problem.classes.len();
        let sources =
            classes.flat_map(|class| (0..problem.zone_count).map(move |zone| Source { class, zone }));
        let sources = sources.filter(|source| problem.demand_units(source.class, source.zone) > 0).collect();
        let mut sinks = Vec::new();
        for (index, group) in groups.iter().enumerate() {
            sinks.extend(latency_segments(problem, group).into_iter().map(|segment| Sink {
                group: index,
                capacity: segment.capacity,
                latency_cost: segment.cost,
            }));
        }
        FlowModel { problem, groups, sources, sinks }
    }

    /// Returns the network with all gains as integers.
    fn network(&self) -> FlowNetwork {
        let max_gain =
            self.sources.iter().map(|source| self.problem.work_gain(source.class, false)).fold(0.0, f64::max);
        let steps_per_gain = if max_gain > 0.0 { GAIN_STEPS / max_gain } else { 0.0 };
        let gains =
            |source: &Source| self.sinks.iter().map(|sink| self.gain(source, sink, steps_per_gain)).collect();
        FlowNetwork {
            supply: self
                .sources
                .iter()
                .map(|source| self.problem.demand_units(source.class, source.zone))
                .collect(),
            capacity: self.sinks.iter().map(|sink| sink.capacity).collect(),
            gain: self.sources.iter().map(gains).collect(),
        }
    }

    /// Returns the scaled gain of a unit of work, or `None` if the class may not use the group.
    fn gain(&self, source: &Source, sink: &Sink, steps_per_gain: f64) -> Option<i64> {
        let group = &self.groups[sink.group];
        if !group.is_usable_by(source.class) {
            return None;
        }
        let gain = self.problem.work_gain(source.class, source.zone != group.zone);
        Some(((gain - sink.latency_cost) * steps_per_gain).round() as i64)
    }

    /// Sums the flow by class, zone and group.
    fn plan(&self, flow: &[Vec<i64>]) -> Plan<'a> {
        let zones = vec![vec![0_i64; self.groups.len()]; self.problem.zone_count];
        let mut units = vec![zones; self.problem.classes.len()];
        let mut latency_cost = 0.0;
        for (source, row) in self.sources.iter().zip(flow) {
            for (sink, flow_units) in self.sinks.iter().zip(row) {
                units[source.class][source.zone][sink.group] += flow_units;
                latency_cost += sink.latency_cost * *flow_units as f64 / UNITS_PER_CORE;
            }
        }
        Plan { problem: self.problem, groups: self.groups, units, latency_cost }
    }
}

/// The flow by class, zone and group.
struct Plan<'a> {
    problem: &'a Problem,
    groups: &'a [EndpointGroup],
    /// Integer units of work per second by class, zone of the proxies, and group.
    units: Vec<Vec<Vec<i64>>>,
    /// Cost of latency, in value per second.
    latency_cost: f64,
}

impl Plan<'_> {
    fn solution(&self) -> Solution {
        let loads = self.loads();
        let mut admission_rates = Vec::new();
        let mut shed = Vec::new();
        for class in 0..self.units.len() {
            let demand: i64 =
                (0..self.problem.zone_count).map(|zone| self.problem.demand_units(class, zone)).sum();
            let admitted = self.admitted_units(class);
            admission_rates.push(if demand > 0 { admitted as f64 / demand as f64 } else { 1.0 });
            if admitted < demand {
                shed.push(self.shed_reason(class, demand - admitted));
            }
        }
        Solution {
            weights: self.weights(&loads),
            planned_work: self
                .units
                .iter()
                .map(|zones| zones.iter().map(|zone| self.planned_work(zone)).collect())
                .collect(),
            loads,
            admission_rates,
            shed,
            objective: self.objective(),
        }
    }

    fn admitted_units(&self, class: usize) -> i64 {
        self.units[class].iter().flatten().sum()
    }

    /// Returns the load of each endpoint, in cores. All endpoints of a group have the same utilization.
    fn loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.problem.endpoints.len()];
        for (index, group) in self.groups.iter().enumerate() {
            let work: i64 = self.units.iter().flatten().map(|groups| groups[index]).sum();
            for endpoint in &group.endpoints {
                let fraction = self.problem.capacity_units(*endpoint) as f64 / group.capacity as f64;
                loads[*endpoint] = work as f64 * fraction / UNITS_PER_CORE;
            }
        }
        loads
    }

    fn objective(&self) -> Objective {
        let mut value = 0.0;
        let mut crossing_cost = 0.0;
        for (class, zones) in self.units.iter().enumerate() {
            for (zone, groups) in zones.iter().enumerate() {
                let crossing = self.groups.iter().zip(groups).filter(|(group, _)| group.zone != zone);
                let units: i64 = crossing.map(|(_, units)| units).sum();
                let requests = units as f64 / UNITS_PER_CORE / self.problem.classes[class].work;
                crossing_cost += requests * self.problem.crossing_cost;
            }
            let admitted = self.admitted_units(class) as f64 / UNITS_PER_CORE;
            value += admitted * self.problem.work_gain(class, false);
        }
        Objective { value, crossing_cost, latency_cost: self.latency_cost }
    }

    fn shed_reason(&self, class: usize, shed_units: i64) -> ShedReason {
        let usable = self.groups.iter().filter(|group| group.is_usable_by(class));
        let capacity: i64 = usable.map(|group| group.capacity).sum();
        let is_competitor = |other: &usize| *other != class && self.units_in_groups_of(class, *other) > 0;
        let used: i64 = (0..self.units.len()).map(|other| self.units_in_groups_of(class, other)).sum();
        // Assumes that added cores would have the same utilization as the present ones.
        let utilization = if used > 0 { used as f64 / capacity as f64 } else { 1.0 };
        let shed_work = shed_units as f64 / UNITS_PER_CORE;
        ShedReason {
            class,
            request_rate: shed_work / self.problem.classes[class].work,
            missing_capacity: shed_work / utilization,
            capacity: capacity as f64 / UNITS_PER_CORE,
            competing_classes: (0..self.units.len()).filter(is_competitor).collect(),
        }
    }

    /// Returns the units of work of the class `other` in the groups that `class` may use.
    fn units_in_groups_of(&self, class: usize, other: usize) -> i64 {
        let in_zone = |groups: &Vec<i64>| -> i64 {
            let usable = self.groups.iter().zip(groups).filter(|(group, _)| group.is_usable_by(class));
            usable.map(|(_, units)| units).sum()
        };
        self.units[other].iter().map(in_zone).sum()
    }

    /// Returns weights proportional to the load that each endpoint would have after slow start, because the controller
    /// reduces weights during slow start itself. If no work is planned, weights are proportional to capacity.
    fn weights(&self, loads: &[f64]) -> Vec<u32> {
        let is_idle = loads.iter().all(|load| *load <= 0.0);
        let share = |endpoint: usize| {
            let slow_start_factor = self.problem.endpoints[endpoint].slow_start_factor;
            if is_idle {
                let is_available = self.problem.capacity_units(endpoint) > 0;
                if is_available { self.problem.endpoints[endpoint].capacity } else { 0.0 }
            } else if slow_start_factor > 0.0 {
                loads[endpoint] / slow_start_factor
            } else {
                0.0
            }
        };
        to_weights(&(0..loads.len()).map(share).collect::<Vec<_>>())
    }

    /// Returns the work of one class and zone by endpoint, in ascending order of endpoints. `groups` are its units by
    /// group.
    fn planned_work(&self, groups: &[i64]) -> Vec<PlannedWork> {
        let mut planned = Vec::new();
        for (group, units) in self.groups.iter().zip(groups).filter(|(_, units)| **units > 0) {
            let utilization = *units as f64 / group.capacity as f64 / UNITS_PER_CORE;
            planned.extend(group.endpoints.iter().map(|endpoint| PlannedWork {
                endpoint: *endpoint,
                work: utilization * self.problem.capacity_units(*endpoint) as f64,
            }));
        }
        planned.sort_by_key(|planned| planned.endpoint);
        planned
    }
}
