//! Listed weights worked out ahead: what the solver needs is gathered here from what the controller hears, and what
//! it answers becomes the weights of the endpoint list and a ceiling of admission. When a problem is solved, and on
//! which thread, is the host's matter; until there is an answer the last one stands.

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

/// The changed entries of one plan fill the queue up to this fraction.
const MAX_QUEUE_FRACTION: f64 = 0.25;
/// The most entries that one plan may change, whatever the queue holds.
const MAX_CHANGED_ENTRIES: f64 = 1e6;
/// A problem to be solved, and the endpoints that its positions stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct SolverTask {
    /// What endpoints can do, and what is asked of them.
    pub problem: Problem,
    /// The endpoint behind each position of the problem.
    pub endpoints: Vec<EndpointId>,
}

/// What a plan changes.
#[derive(Default)]
pub struct Plan {
    /// Listed weights, in steps of the greatest.
    pub weights: Vec<(EndpointId, u32)>,
    /// Tables with the fraction that each endpoint has there of its listed weight.
    pub tables: Vec<(TableId, WeightFractions)>,
}

/// The last answer, for those who ask.
pub struct SolvedPlan {
    pub task: Arc<SolverTask>,
    pub answer: Solution,
    pub changed_entries: usize,
}

/// Gathers problems, and turns their answers into plans.
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
    /// Whether each zone has tables of its own.
    by_zone: bool,
    tables: TableStabilizer,
    due: Duration,
    /// The task that is being solved.
    in_flight: Option<Arc<SolverTask>>,
    pub last: Option<SolvedPlan>,
}

impl Planner {
    /// None unless the settings ask for plans.
    pub fn new(settings: &Settings, zones: usize) -> Option<Self> {
        let solver = &settings.solver;
        let interval = solver.interval.filter(|interval| !interval.is_zero())?;
        let classes: Vec<_> = settings.classes.iter().map(PlannedClass::new).collect();
        Some(Planner {
            interval,
            // One table for all zones sends as many requests across as it does, whatever that costs: to plan
            // against it would only load one zone's endpoints more than the other's.
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

    /// Takes the cores that endpoints had before the start.
    pub fn recover_capacities(&mut self, capacities: impl Iterator<Item = (EndpointId, f64)>) {
        self.capacity.recover(capacities);
    }

    /// Cores by endpoint as learned, if anything was since this was asked last.
    pub fn take_changed_capacities(
        &mut self,
        now: Duration,
        endpoints: &Endpoints,
    ) -> Vec<(EndpointId, f64)> {
        self.capacity.take_changed(now, endpoints)
    }

    /// The fraction of its cores in use that an endpoint reported to a health check.
    pub fn record_load(&mut self, endpoint: EndpointId, load: f64) {
        self.capacity.record_load(endpoint, load);
    }

    /// Attempts that ended, with the mean time of those that did not fail.
    pub fn record_attempts(
        &mut self,
        endpoint: EndpointId,
        attempts: u32,
        failed: u32,
        mean_latency: Duration,
    ) {
        self.capacity.record_attempts(endpoint, attempts, failed, mean_latency);
    }

    /// Requests of a class that came to a proxy of a zone.
    pub fn record_requests(&mut self, zone: ZoneId, class: ClassId, requests: u32) {
        self.demand.count(zone, class, requests);
    }

    /// When [`Planner::next_task`] has to be asked; while a task is in flight, its answer is waited for.
    pub fn next_due(&self) -> Duration {
        if self.in_flight.is_some() { Duration::MAX } else { self.due }
    }

    /// A task, if one is due and none is in flight.
    pub fn next_task(&mut self, now: Duration, endpoints: &Endpoints) -> Option<Arc<SolverTask>> {
        if now < self.next_due() {
            return None;
        }
        self.due = now + self.interval;
        self.demand.update(now);
        if let Some(mix) = self.request_mix() {
            self.capacity.learn(now, endpoints, mix);
        }
        // Before anything was counted there is nothing to plan for, and the list stands.
        if !self.demand.is_known() {
            return None;
        }
        self.in_flight = Some(Arc::new(self.task(now, endpoints)));
        self.in_flight.clone()
    }

    /// The means over all demand; none where there is no demand.
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

    /// The problem of this moment: the endpoints that may take requests, and the demand on them.
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

    /// Takes the answer to the task in flight, and gives what changes by it.
    pub fn take_answer(
        &mut self,
        answer: Option<Solution>,
        proxies: usize,
        snapshot: ControllerState,
    ) -> Plan {
        let Some(task) = self.in_flight.take() else { return Plan::default() };
        let Some(mut answer) = answer else { return Plan::default() };
        // Where no endpoint is up that a class may use, to reject its requests would mend nothing: the decisions
        // keep what stands, and health checks may be wrong.
        for dropped in answer.shed.iter().filter(|dropped| dropped.capacity <= 0.0) {
            answer.admission_rates[dropped.class] = 1.0;
        }
        let price = self.change_price(&task.problem, proxies);
        let SolverTask { problem, endpoints } = &*task;
        let weights = self.stabilizer.update(problem, endpoints, &answer, price);
        let scopes = match self.by_zone {
            true => table_scopes(problem.zone_count, snapshot.tables, snapshot.admissions),
            false => Vec::new(),
        };
        let listed = self.stabilizer.weights();
        let tables = self.tables.update(problem, endpoints, &answer, &scopes, listed, !weights.is_empty());
        self.last = Some(SolvedPlan { task, answer, changed_entries: weights.len() });
        Plan { weights, tables }
    }

    /// What it costs to change an entry: while it goes out to all proxies, everything else waits.
    fn change_price(&self, problem: &Problem, proxies: usize) -> ChangeCost {
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

    /// The fraction of each class that may be admitted; none before the first answer.
    pub fn planned_fractions(&self) -> &[f64] {
        self.stabilizer.admission_rates()
    }
}

/// The classes of each table and the zone of its proxies: tables of zones lie in ranges of one each.
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
