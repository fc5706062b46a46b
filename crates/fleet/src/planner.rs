//! Listed weights worked out ahead: what the solver needs is gathered here from what the pilot is told,
//! and what it answers becomes the list's weights and a ceiling for what is let in. When it is solved,
//! and on which thread, is the host's matter; until there is an answer the last one stands.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lockcroft::{
    ClassAdmission, ClassId, ClassSettings, EndpointId, EndpointState, MachineTypeId, RoutingTable, Settings,
    TableId, ZoneId,
};
use lockcroft_solver::{
    Answer, CapacityEstimator, CapacityPrior, ChangePrice, LoadSample, PlanStabilizer, Problem, Shares,
    TableScope, Tables,
};

/// Evidence of a capacity loses half of its force in so many plans.
const FADES_PLANS: f64 = 12.0;
/// Each plan moves the demand that is known by this share towards what was counted since.
const DEMAND_MOVES: f64 = 0.5;
/// Counts that are off by more than so many of their own square roots did not come about by chance.
const SUDDEN: f64 = 4.0;
/// Each probe moves a server's load by this share.
const LOAD_MOVES: f64 = 0.25;
/// The changed lines of one plan fill the queue to this share at most.
const QUEUE_SHARE: f64 = 0.25;

/// A problem to be solved, and the servers that its places stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct SolverTask {
    pub problem: Problem,
    pub servers: Vec<EndpointId>,
}

/// What was reported of a server since the last plan.
#[derive(Clone, Copy, Default)]
struct Seen {
    tries: f64,
    failed: f64,
    seconds: f64,
}

/// What a plan changes.
#[derive(Default)]
pub struct Plan {
    /// Listed weights, in steps of the greatest.
    pub lines: Vec<(EndpointId, u32)>,
    /// Tables with the share that each server has there of its listed weight.
    pub tables: Vec<(TableId, Shares)>,
}

/// The classes of each table and the zone of its proxies: tables of zones lie in rows of one each.
fn lanes(zones: usize, tables: &[RoutingTable], gates: &[ClassAdmission]) -> Vec<TableScope> {
    let classes = |number| gates.iter().filter(move |gate| gate.table == number).map(|gate| gate.class);
    let lane = |(number, table): (usize, &RoutingTable)| TableScope {
        zone: table.subset % zones.max(1),
        classes: classes(number).collect(),
    };
    tables.iter().enumerate().map(lane).collect()
}

pub struct Planner {
    every: Duration,
    /// Cores of a server before anything was learnt: of its kind, or of any.
    cores: f64,
    kinds: BTreeMap<MachineTypeId, f64>,
    crossing: f64,
    cold_share: f64,
    /// Lines a second and lines in the queue, for a line at one proxy.
    pace: f64,
    queue: f64,
    /// Classes as the terms state them, without demand; and kinds that they are bound to.
    classes: Vec<(lockcroft_solver::Class, Option<Vec<MachineTypeId>>)>,
    learner: CapacityEstimator,
    /// Cores that servers had before the start.
    recalled: BTreeMap<EndpointId, f64>,
    /// Whether sizes were learnt since they were asked for.
    learnt: bool,
    loads: BTreeMap<EndpointId, f64>,
    seen: BTreeMap<EndpointId, Seen>,
    /// Visits a second by class and zone, and visits counted since the last plan.
    demand: Vec<Vec<f64>>,
    counted: Vec<Vec<f64>>,
    keeper: PlanStabilizer,
    /// Whether tables are laid for each zone.
    by_zone: bool,
    tables: Tables,
    since: Duration,
    due: Duration,
    /// The task that is being solved.
    out: Option<Arc<SolverTask>>,
    /// The last answer, its task, and the lines that it changed, for those who ask.
    pub last: Option<(Arc<SolverTask>, Answer, usize)>,
}

impl Planner {
    /// None unless the terms ask for plans.
    pub fn new(settings: &Settings, zones: usize) -> Option<Self> {
        let every = settings.solver.interval.filter(|every| !every.is_zero())?;
        let stated = |class: &ClassSettings| {
            let contract_time = class.latency_objective.as_secs_f64();
            let stated = lockcroft_solver::Class {
                // What is not stated is taken for a tenth of the latency objective.
                work: class.work.map_or(contract_time / 10.0, |work| work.as_secs_f64()).max(1e-6),
                contract_time: contract_time.max(1e-6),
                earnings: class.value,
                zones: class.only_zones.clone().unwrap_or_default(),
                servers: None,
                demand: Vec::new(),
            };
            (stated, class.only_machine_types.clone())
        };
        let classes: Vec<_> = settings.classes.iter().map(stated).collect();
        let by_zone = settings.solver.by_zone;
        let none = vec![vec![0.0; zones]; classes.len()];
        Some(Planner {
            every,
            cores: settings.solver.cores,
            kinds: settings.solver.cores_by_machine_type.clone(),
            // One table for all zones sends as many visits across as it does, whatever that costs: to plan
            // against it would only load one zone's servers more than the other's.
            crossing: if by_zone { settings.solver.crossing_cost } else { 0.0 },
            cold_share: settings.rules.initial_weight_fraction,
            pace: settings.fleet.max_entries_per_second,
            queue: settings.fleet.max_queued_entries,
            classes,
            learner: CapacityEstimator::new(every.mul_f64(FADES_PLANS)),
            recalled: BTreeMap::new(),
            learnt: false,
            loads: BTreeMap::new(),
            seen: BTreeMap::new(),
            demand: none.clone(),
            counted: none,
            keeper: PlanStabilizer::default(),
            by_zone,
            tables: Tables::default(),
            since: Duration::ZERO,
            due: every,
            out: None,
            last: None,
        })
    }

    /// What servers turned out to have before the start: what they are taken for until they show more.
    pub fn recall(&mut self, sizes: impl Iterator<Item = (EndpointId, f64)>) {
        self.recalled = sizes.collect();
    }

    /// Cores by server as learnt, if anything was since this was asked last.
    pub fn sizes(
        &mut self,
        now: Duration,
        servers: &BTreeMap<EndpointId, EndpointState>,
    ) -> Vec<(EndpointId, f64)> {
        if !std::mem::take(&mut self.learnt) {
            return Vec::new();
        }
        let alike = self.alike(now, servers);
        let size = |(server, known): (&EndpointId, &EndpointState)| {
            let estimate = self.learner.estimate(now, *server, self.prior(&alike, known));
            estimate.age.map(|_| (*server, estimate.capacity))
        };
        servers.iter().filter_map(size).collect()
    }

    /// The load that a server told a probe.
    pub fn probed(&mut self, server: EndpointId, load: f64) {
        let was = self.loads.entry(server).or_insert(load);
        *was += (load - *was) * LOAD_MOVES;
    }

    pub fn reported(&mut self, server: EndpointId, tries: u32, failed: u32, took: Duration) {
        let seen = self.seen.entry(server).or_default();
        seen.tries += f64::from(tries);
        seen.failed += f64::from(failed);
        seen.seconds += took.as_secs_f64() * f64::from(tries.saturating_sub(failed));
    }

    pub fn counted(&mut self, zone: ZoneId, class: ClassId, visits: u32) {
        self.counted[class][zone] += f64::from(visits);
    }

    /// When [`Planner::task`] has to be asked; while one is out, its answer is waited for.
    pub fn next_due(&self) -> Duration {
        if self.out.is_some() { Duration::MAX } else { self.due }
    }

    /// A task, if one is due and none is out.
    pub fn task(
        &mut self,
        now: Duration,
        servers: &BTreeMap<EndpointId, EndpointState>,
    ) -> Option<Arc<SolverTask>> {
        if now < self.next_due() {
            return None;
        }
        self.due = now + self.every;
        self.take_demand(now);
        self.take_looks(now, servers);
        // Before anything was counted there is nothing to plan for, and the list stands.
        if self.demand.iter().flatten().sum::<f64>() <= 0.0 {
            return None;
        }
        self.out = Some(Arc::new(self.problem(now, servers)));
        self.out.clone()
    }

    fn take_demand(&mut self, now: Duration) {
        let span = now.saturating_sub(self.since).as_secs_f64().max(1e-3);
        self.since = now;
        for (known, counted) in self.demand.iter_mut().flatten().zip(self.counted.iter_mut().flatten()) {
            let (rate, expected) = (*counted / span, *known * span);
            // A step that chance does not explain is taken at once: a plan that is late sheds late.
            let sudden = (*counted - expected).abs() > SUDDEN * expected.sqrt();
            *known += (rate - *known) * if sudden { 1.0 } else { DEMAND_MOVES };
            *counted = 0.0;
        }
    }

    fn take_looks(&mut self, now: Duration, servers: &BTreeMap<EndpointId, EndpointState>) {
        let (mut visits, mut work, mut contract) = (0.0, 0.0, 0.0);
        for ((class, _), demand) in self.classes.iter().zip(&self.demand) {
            let demand: f64 = demand.iter().sum();
            visits += demand;
            work += demand * class.work;
            contract += demand * class.contract_time;
        }
        if visits <= 0.0 {
            return;
        }
        let (work, contract) = (work / visits, contract / visits);
        let span = self.every.as_secs_f64();
        let alike = self.alike(now, servers);
        for (server, seen) in std::mem::take(&mut self.seen) {
            let Some(known) = servers.get(&server) else { continue };
            // A cold server shows what a cold one can do, and not what it can do.
            if known.is_warming_up(now) || seen.tries <= 0.0 {
                continue;
            }
            let fulfilled = seen.tries - seen.failed;
            let took = seen.seconds / fulfilled.max(1.0);
            let late = took > contract || seen.failed * 2.0 > seen.tries;
            let load = self.loads.get(&server).copied();
            let slowdown = took / work;
            let look = LoadSample { done: fulfilled * work / span, late, slowdown, load };
            let prior = self.prior(&alike, known);
            self.learner.look(now, server, prior, look);
        }
        self.learnt = true;
        self.learner.keep(|server| servers.contains_key(&server));
        self.loads.retain(|server, _| servers.contains_key(server));
    }

    /// What servers of each kind turned out to have, where enough of them showed it.
    fn alike(
        &self,
        now: Duration,
        servers: &BTreeMap<EndpointId, EndpointState>,
    ) -> BTreeMap<MachineTypeId, f64> {
        let mut kinds: BTreeMap<MachineTypeId, Vec<EndpointId>> = BTreeMap::new();
        for (server, known) in servers {
            kinds.entry(known.record.machine_type).or_default().push(*server);
        }
        let cores = |(kind, servers): (MachineTypeId, Vec<EndpointId>)| {
            Some((kind, self.learner.alike(now, servers.into_iter())?))
        };
        kinds.into_iter().filter_map(cores).collect()
    }

    fn prior(&self, alike: &BTreeMap<MachineTypeId, f64>, known: &EndpointState) -> CapacityPrior {
        let kind = &known.record.machine_type;
        let shown = || self.recalled.get(&known.record.endpoint).or_else(|| alike.get(kind));
        match (self.kinds.get(kind), shown()) {
            (Some(stated), _) => CapacityPrior::stated(*stated),
            (None, Some(shown)) => CapacityPrior::alike(*shown),
            (None, None) => CapacityPrior::guessed(self.cores),
        }
    }

    fn problem(&self, now: Duration, servers: &BTreeMap<EndpointId, EndpointState>) -> SolverTask {
        let mut task = SolverTask { problem: Problem::default(), servers: Vec::new() };
        let (mut kinds, alike) = (Vec::new(), self.alike(now, servers));
        for (server, known) in servers {
            if known.is_not_ready() || !known.is_up() || known.outlier_until > now {
                continue;
            }
            let capacity = self.learner.estimate(now, *server, self.prior(&alike, known)).capacity;
            let warmth = known.slow_start_factor(now, self.cold_share);
            task.servers.push(*server);
            kinds.push(known.record.machine_type);
            let zone = known.record.zone;
            task.problem.servers.push(lockcroft_solver::Endpoint {
                zone,
                capacity,
                warmth,
                withdrawn: false,
            });
        }
        let places = |only: &Option<Vec<MachineTypeId>>| {
            let only = only.as_ref()?;
            Some((0..kinds.len()).filter(|place| only.contains(&kinds[*place])).collect())
        };
        task.problem.zones = self.demand.first().map_or(0, Vec::len);
        task.problem.crossing = self.crossing;
        task.problem.classes = self
            .classes
            .iter()
            .zip(&self.demand)
            .map(|((class, only), demand)| lockcroft_solver::Class {
                servers: places(only),
                demand: demand.clone(),
                ..class.clone()
            })
            .collect();
        task
    }

    /// Takes the answer to the task that is out, and gives what changes by it.
    pub fn answered(
        &mut self,
        answer: Option<Answer>,
        proxies: usize,
        tables: &[RoutingTable],
        gates: &[ClassAdmission],
    ) -> Plan {
        let (Some(task), Some(mut answer)) = (self.out.take(), answer) else { return Plan::default() };
        // Where no server is up that a class may use, to refuse its visits would mend nothing: the module
        // keeps what stands, and probes may be wrong.
        for dropped in answer.dropped.iter().filter(|dropped| dropped.room <= 0.0) {
            answer.let_in[dropped.class] = 1.0;
        }
        let proxies = proxies.max(1) as f64;
        let asked = |class: &lockcroft_solver::Class| class.demand.iter().sum::<f64>() * class.earnings;
        let earnings: f64 = task.problem.classes.iter().map(asked).sum();
        let price = ChangePrice {
            // While a line goes out to all proxies, everything else waits for so long.
            line: earnings * proxies / self.pace,
            lines_most: (self.queue * QUEUE_SHARE / proxies).clamp(1.0, 1e6) as usize,
            stands: self.every.as_secs_f64(),
        };
        let lines = self.keeper.take(&task.problem, &task.servers, &answer, price);
        let lanes = if self.by_zone { lanes(task.problem.zones, tables, gates) } else { Vec::new() };
        let (listed, anew) = (self.keeper.weights(), !lines.is_empty());
        let tables = self.tables.take(&task.problem, &task.servers, &answer, &lanes, listed, anew);
        self.last = Some((task, answer, lines.len()));
        Plan { lines, tables }
    }

    /// The share of each class that may be let in; none before the first answer.
    pub fn let_in(&self) -> &[f64] {
        self.keeper.let_in()
    }
}
