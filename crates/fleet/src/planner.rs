//! Plans of the solver. Builds solver problems from load reports, attempts and demand, and turns the solutions into
//! planned weights for the endpoint list and upper limits of the admission rates. The host solves a problem on a
//! thread of its choice; the previous plan stays in use until the solution arrives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lockcroft::{
    ClassAdmission, ClassId, ControllerState, EndpointId, RoutingTable, Settings, TableId, ZoneId,
};
use lockcroft_solver::{
    ChangeCost, Class as ProblemClass, Endpoint as ProblemEndpoint, PlanStabilizer, Problem, Solution,
    TableScope, TableStabilizer, WeightFractions,
};

use crate::capacity_model::{CapacityModel, Endpoints, RequestMix};
use crate::demand_estimate::DemandEstimate;
use crate::planned_class::PlannedClass;

/// The fraction of the limit on queued entries that the changed entries of one plan may take up.
const MAX_QUEUE_FRACTION: f64 = 0.25;
/// An upper limit on the entries that one plan may change, whatever the limit on queued entries is.
const MAX_CHANGED_ENTRIES: f64 = 1e6;

/// A problem for the solver, with the id of the endpoint at each position.
#[derive(Clone, Debug, PartialEq)]
pub struct SolverTask {
    /// The capacities of the endpoints and the demand of the classes.
    pub problem: Problem,
    /// The ids of the problem's endpoints, in the order of [`Problem::endpoints`].
    pub endpoints: Vec<EndpointId>,
}

/// The changes that a plan makes to weights and tables.
#[derive(Default)]
pub struct Plan {
    /// New weights of the endpoint list, in units of [`crate::WeightScale`].
    pub weights: Vec<(EndpointId, u32)>,
    /// For each changed table, the fraction of its listed weight that each endpoint has there.
    pub tables: Vec<(TableId, WeightFractions)>,
}

/// A solved task with its solution, kept for `show plan`.
pub struct SolvedPlan {
    pub task: Arc<SolverTask>,
    pub solution: Solution,
    /// The number of endpoints whose weight the plan changed.
    pub changed_entries: usize,
}

/// Builds solver tasks at a fixed interval and turns their solutions into plans.
pub struct Planner {
    interval: Duration,
    crossing_cost: f64,
    initial_weight_fraction: f64,
    max_entries_per_second: f64,
    max_queued_entries: f64,
    classes: Vec<PlannedClass>,
    capacity: CapacityModel,
    demand: DemandEstimate,
    stabilizer: PlanStabilizer,
    /// True if tables are separate for each zone; false if all zones share them.
    by_zone: bool,
    tables: TableStabilizer,
    /// The time from which the next task may be built.
    due: Duration,
    /// The task that is being solved; `None` if no task is in flight.
    in_flight: Option<Arc<SolverTask>>,
    /// The most recently solved task with its solution; `None` before the first solution.
    pub last: Option<SolvedPlan>,
}

impl Planner {
    /// Returns a planner, or `None` if the settings state no solver interval.
    pub fn new(settings: &Settings, zones: usize) -> Option<Self> {
        let solver = &settings.solver;
        let interval = solver.interval.filter(|interval| !interval.is_zero())?;
        let classes: Vec<_> = settings.classes.iter().map(PlannedClass::new).collect();
        Some(Planner {
            interval,
            // A table shared by all zones sends the same fraction of requests across zones whatever the plan: a
            // cost of crossing would only load the endpoints of one zone more than those of another.
            crossing_cost: if solver.by_zone { solver.crossing_cost } else { 0.0 },
            initial_weight_fraction: settings.rules.initial_weight_fraction,
            max_entries_per_second: settings.fleet.max_entries_per_second,
            max_queued_entries: settings.fleet.max_queued_entries,
            demand: DemandEstimate::new(classes.len(), zones),
            classes,
            capacity: CapacityModel::new(interval, solver.cores, solver.cores_by_machine_type.clone()),
            stabilizer: PlanStabilizer::default(),
            by_zone: solver.by_zone,
            tables: TableStabilizer::default(),
            due: interval,
            in_flight: None,
            last: None,
        })
    }

    /// Sets the capacities, in cores, that were recovered from before the start.
    pub fn recover_capacities(&mut self, capacities: impl Iterator<Item = (EndpointId, f64)>) {
        self.capacity.recover(capacities);
    }

    /// Returns the learned capacities, in cores, if any were learned since the last call; otherwise an empty list.
    pub fn take_changed_capacities(
        &mut self,
        now: Duration,
        endpoints: &Endpoints,
    ) -> Vec<(EndpointId, f64)> {
        self.capacity.take_changed(now, endpoints)
    }

    /// Records the fraction of its cores in use that an endpoint reported to a health check.
    pub fn record_load(&mut self, endpoint: EndpointId, load: f64) {
        self.capacity.record_load(endpoint, load);
    }

    /// Records attempts that ended; `mean_latency` is that of the attempts that did not fail.
    pub fn record_attempts(
        &mut self,
        endpoint: EndpointId,
        attempts: u32,
        failed: u32,
        mean_latency: Duration,
    ) {
        self.capacity.record_attempts(endpoint, attempts, failed, mean_latency);
    }

    /// Records requests of a class that arrived at a proxy of a zone.
    pub fn record_requests(&mut self, zone: ZoneId, class: ClassId, requests: u32) {
        self.demand.count(zone, class, requests);
    }

    /// Returns the time at which [`Planner::next_task`] is due; `Duration::MAX` while a task is in flight.
    pub fn next_due(&self) -> Duration {
        if self.in_flight.is_some() { Duration::MAX } else { self.due }
    }

    /// Returns the next task if one is due, none is in flight and demand is known. Learns capacities from what was
    /// recorded since the last task was due.
    pub fn next_task(&mut self, now: Duration, endpoints: &Endpoints) -> Option<Arc<SolverTask>> {
        if now < self.next_due() {
            return None;
        }
        self.due = now + self.interval;
        self.demand.update(now);
        if let Some(mix) = self.request_mix() {
            self.capacity.learn(now, endpoints, mix);
        }
        // Without known demand there is nothing to plan for: the listed weights stay in use.
        if !self.demand.is_known() {
            return None;
        }
        self.in_flight = Some(Arc::new(self.task(now, endpoints)));
        self.in_flight.clone()
    }

    /// Returns the means over the requests of all classes and zones, or `None` if there is no demand.
    fn request_mix(&self) -> Option<RequestMix> {
        let mut requests = 0.0;
        let mut work = 0.0;
        let mut latency_objective = 0.0;
        for (planned, demand) in self.classes.iter().zip(self.demand.rates()) {
            let demand: f64 = demand.iter().sum();
            requests += demand;
            work += demand * planned.class.work;
            latency_objective += demand * planned.class.latency_objective;
        }
        (requests > 0.0)
            .then(|| RequestMix { work: work / requests, latency_objective: latency_objective / requests })
    }

    /// Builds the problem from the endpoints that may take requests now and the estimated demand.
    fn task(&self, now: Duration, endpoints: &Endpoints) -> SolverTask {
        let mut task = SolverTask { problem: Problem::default(), endpoints: Vec::new() };
        let mut machine_types = Vec::new();
        let type_capacities = self.capacity.type_capacities(now, endpoints);
        for (endpoint, state) in endpoints {
            if state.is_not_ready() || !state.is_up() || state.outlier_until > now {
                continue;
            }
            task.endpoints.push(*endpoint);
            machine_types.push(state.record.machine_type);
            task.problem.endpoints.push(ProblemEndpoint {
                zone: state.record.zone,
                capacity: self.capacity.capacity(now, &type_capacities, state),
                slow_start_factor: state.slow_start_factor(now, self.initial_weight_fraction),
                is_unavailable: false,
            });
        }
        let rates = self.demand.rates();
        task.problem.zone_count = rates.first().map_or(0, Vec::len);
        task.problem.crossing_cost = self.crossing_cost;
        let classes = self.classes.iter().zip(rates);
        task.problem.classes =
            classes.map(|(planned, demand)| planned.with_demand(demand, &machine_types)).collect();
        task
    }

    /// Takes the solution of the task in flight and returns the resulting changes. Returns no changes if there is no
    /// solution or no task in flight.
    pub fn take_solution(
        &mut self,
        solution: Option<Solution>,
        proxies: usize,
        state: ControllerState,
    ) -> Plan {
        let Some(task) = self.in_flight.take() else { return Plan::default() };
        let Some(mut solution) = solution else { return Plan::default() };
        // A class without any usable endpoint is not limited: rejecting its requests would relieve no endpoint, the
        // decisions keep the published entries, and the health checks may be wrong.
        for dropped in solution.shed.iter().filter(|dropped| dropped.capacity <= 0.0) {
            solution.admission_rates[dropped.class] = 1.0;
        }
        let change_cost = self.change_cost(&task.problem, proxies);
        let SolverTask { problem, endpoints } = &*task;
        let weights = self.stabilizer.update(problem, endpoints, &solution, change_cost);
        let scopes = match self.by_zone {
            true => table_scopes(problem.zone_count, state.tables, state.admissions),
            false => Vec::new(),
        };
        let listed = self.stabilizer.weights();
        let tables = self.tables.update(problem, endpoints, &solution, &scopes, listed, !weights.is_empty());
        self.last = Some(SolvedPlan { task, solution, changed_entries: weights.len() });
        Plan { weights, tables }
    }

    /// Returns the cost of changing an entry. While a changed entry is sent to all proxies, other updates wait; the
    /// cost is the value of the requests that arrive during that time.
    fn change_cost(&self, problem: &Problem, proxies: usize) -> ChangeCost {
        let proxies = proxies.max(1) as f64;
        let value = |class: &ProblemClass| class.demand.iter().sum::<f64>() * class.value;
        let total_value: f64 = problem.classes.iter().map(value).sum();
        let max_entries = self.max_queued_entries * MAX_QUEUE_FRACTION / proxies;
        ChangeCost {
            per_entry: total_value * proxies / self.max_entries_per_second,
            max_entries: max_entries.clamp(1.0, MAX_CHANGED_ENTRIES) as usize,
            horizon_secs: self.interval.as_secs_f64(),
        }
    }

    /// Returns the planned admission rate of each class; empty before the first solution.
    pub fn planned_fractions(&self) -> &[f64] {
        self.stabilizer.admission_rates()
    }
}

/// Returns the classes of each table and the zone of the proxies that it is assigned to. Subsets are assigned to the
/// zones in turn, so the zone of a table is its subset modulo the number of zones.
fn table_scopes(zones: usize, tables: &[RoutingTable], admissions: &[ClassAdmission]) -> Vec<TableScope> {
    let mut classes: BTreeMap<TableId, Vec<ClassId>> = BTreeMap::new();
    for admission in admissions {
        classes.entry(admission.table).or_default().push(admission.class);
    }
    let scope = |(table, routing): (TableId, &RoutingTable)| TableScope {
        zone: routing.subset % zones.max(1),
        classes: classes.remove(&table).unwrap_or_default(),
    };
    tables.iter().enumerate().map(scope).collect()
}
