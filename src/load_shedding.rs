//! Load shedding: if the endpoints of a class as a whole are too slow, fewer of its requests are admitted.
//!
//! Decides the admission rate of each class, from the latency of each table, once per evaluation. The classes
//! with the least value per unit of work are reduced first, and every class keeps a minimum rate. The
//! weight of an unrestricted class at endpoints that a restricted class needs is reduced as well.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::state::{EndpointState, RoutingTable};
use crate::thresholds::{
    COMFORTABLE_LOAD, HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO, MIN_ADMISSION, SATURATED_LOAD,
    WEIGHT_RECOVERY_STEP,
};
use crate::{ClassId, ClassSettings, EndpointId, TableId};

/// Lowest fraction of the admitted work that remains after one evaluation.
const MIN_REMAINING_WORK: f64 = 0.6;
/// Largest factor by which one evaluation raises an admission rate.
const MAX_GROWTH: f64 = 2.0;
/// Largest latency ratio with which an endpoint counts for its table, so that a single very slow endpoint
/// does not shed the load of all others.
const MAX_LATENCY_RATIO: f64 = 1.1;
/// Shortest latency objective, in seconds; avoids a division by zero if a class has none.
const MIN_LATENCY_OBJECTIVE: f64 = 1e-3;

/// The admission of one class at one table.
pub struct ClassAdmission {
    /// The class.
    pub class: ClassId,
    /// The table that it uses.
    pub table: TableId,
    /// The name of the class, for events.
    pub name: String,
    /// The latency objective of the class, in seconds.
    pub latency_objective: f64,
    /// The value of a request of the class.
    pub value: f64,
    /// The number of recent requests, exponentially decayed at each evaluation.
    pub demand: f64,
    /// The admission rate that follows from measured latency, from 0 to 1.
    pub rate: f64,
    /// The fraction of requests that the solver's plan has capacity for.
    pub planned_rate: f64,
    /// The published admission rate; `None` before the first publication.
    pub published: Option<f64>,
}

impl ClassAdmission {
    /// Returns the admission of a class whose requests are all admitted.
    #[must_use]
    pub fn new(settings: &ClassSettings, class: ClassId, table: TableId) -> Self {
        ClassAdmission {
            class,
            table,
            name: settings.name.clone().unwrap_or_else(|| "a class without a name".into()),
            latency_objective: settings.latency_objective.as_secs_f64().max(MIN_LATENCY_OBJECTIVE),
            value: settings.value,
            demand: 0.0,
            rate: 1.0,
            planned_rate: 1.0,
            published: None,
        }
    }

    /// Returns the value of a request per second of its latency objective.
    pub(crate) fn value_density(&self) -> f64 {
        self.value / self.latency_objective
    }

    /// Returns the work that the class demands, taking the latency objective as the work of a request.
    fn work(&self) -> f64 {
        self.latency_objective * self.demand.max(1e-9)
    }

    /// Lowers the rate if its table is too slow, down to the minimum and by at most `work_to_shed`, which is
    /// reduced accordingly. Raises the rate if the table is fast enough.
    fn adjust(&mut self, latency_ratio: f64, work_to_shed: &mut f64) {
        if latency_ratio > HIGH_LATENCY_RATIO {
            let work = self.work();
            let cut = work_to_shed.min(work * (self.rate - MIN_ADMISSION).max(0.0));
            *work_to_shed -= cut;
            self.rate -= cut / work;
        } else if latency_ratio < HIGH_LATENCY_RATIO {
            let growth = (HIGH_LATENCY_RATIO / latency_ratio.max(1e-9)).min(MAX_GROWTH);
            self.rate = (self.rate * growth).min(1.0);
        }
    }
}

/// Returns the mean latency objective in seconds, weighted by the recent requests of each class.
pub fn mean_latency_objective(admissions: &[ClassAdmission]) -> f64 {
    let weight_of = |admission: &ClassAdmission| admission.demand + 1e-3;
    let sum: f64 =
        admissions.iter().map(|admission| weight_of(admission) * admission.latency_objective).sum();
    sum / admissions.iter().map(weight_of).sum::<f64>()
}

/// Updates the latency ratio and the failure ratio of each table from the recent attempts at its endpoints.
pub fn update_table_latency(
    tables: &mut [RoutingTable],
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    latency_objective: f64,
) {
    for table in tables {
        let mut total_weight = 1e-9;
        let mut latency = 0.0;
        let mut failures = 0.0;
        for (endpoint, weight) in &table.published {
            let state = &endpoints[endpoint];
            if state.recent_attempts.attempts >= 1.0 && !state.ejected {
                total_weight += weight;
                latency += weight * attributable_latency_ratio(state, latency_objective);
                failures += weight * state.recent_attempts.failure_ratio();
            }
        }
        table.latency_ratio = latency / total_weight;
        table.failure_ratio = (total_weight > 1e-6).then_some(failures / total_weight);
    }
}

/// Returns the part of an endpoint's latency ratio that its load explains. Admitting fewer requests would not
/// reduce the rest.
fn attributable_latency_ratio(state: &EndpointState, latency_objective: f64) -> f64 {
    let load = state.load.filter(|load| *load < SATURATED_LOAD);
    let explained_by_load =
        load.map_or(MAX_LATENCY_RATIO, |load| load / COMFORTABLE_LOAD * HIGH_LATENCY_RATIO);
    state.latency_ratio(latency_objective).min(explained_by_load)
}

/// Updates the admission rates at the tables of one subset. `admissions` must be sorted by value density,
/// lowest first.
pub fn adjust_admission(
    admissions: &mut [ClassAdmission],
    tables: &mut [RoutingTable],
    subset_tables: Range<TableId>,
) {
    let mut work_to_shed = work_to_shed(admissions, tables, &subset_tables);
    reserve_for_restricted_classes(&mut tables[subset_tables.clone()]);
    for admission in admissions.iter_mut().filter(|admission| subset_tables.contains(&admission.table)) {
        let latency_ratio = tables[admission.table].latency_ratio;
        admission.adjust(latency_ratio, &mut work_to_shed);
    }
}

/// Returns the admitted work to shed, which follows from the slowest table of the subset.
fn work_to_shed(
    admissions: &[ClassAdmission],
    tables: &[RoutingTable],
    subset_tables: &Range<TableId>,
) -> f64 {
    let is_at_slow_table = |admission: &&ClassAdmission| {
        subset_tables.contains(&admission.table) && tables[admission.table].latency_ratio > HIGH_LATENCY_RATIO
    };
    let admitted: f64 =
        admissions.iter().filter(is_at_slow_table).map(|admission| admission.work() * admission.rate).sum();
    let slowest_ratio = tables[subset_tables.clone()]
        .iter()
        .fold(HIGH_LATENCY_RATIO, |slowest_ratio, table| slowest_ratio.max(table.latency_ratio));
    admitted * (1.0 - (HIGH_LATENCY_RATIO / slowest_ratio).max(MIN_REMAINING_WORK))
}

/// Lowers the unreserved fraction of tables that are faster than a restricted table that is too slow; raises
/// it again step by step once the restricted tables have headroom.
fn reserve_for_restricted_classes(tables: &mut [RoutingTable]) {
    let restricted = tables.iter().filter(|table| table.restriction.is_restricted());
    let slowest_restricted_ratio = restricted.map(|table| table.latency_ratio).fold(0.0, f64::max);
    let recovery = if slowest_restricted_ratio < LOW_LATENCY_RATIO { WEIGHT_RECOVERY_STEP } else { 0.0 };
    for table in tables {
        let reserves_capacity = slowest_restricted_ratio > HIGH_LATENCY_RATIO.max(table.latency_ratio);
        table.unreserved_fraction =
            if reserves_capacity { MIN_ADMISSION } else { (table.unreserved_fraction + recovery).min(1.0) };
    }
}
