//! Load shedding: where the endpoints of a class are too slow as a whole, fewer of its requests are admitted.
//!
//! Decides, from the latency of each table once an evaluation, the admission rate of each class. The classes
//! with the least value per work are cut first, and every class keeps a minimum. A class that may use any
//! endpoint also makes room at those that a restricted class needs.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::state::{EndpointState, RoutingTable};
use crate::thresholds::{
    COMFORTABLE_LOAD, HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO, MIN_ADMISSION, SATURATED_LOAD,
    WEIGHT_RECOVERY_STEP,
};
use crate::{ClassId, ClassSettings, EndpointId, TableId};

/// One evaluation leaves at least this fraction of the admitted work.
const MAX_CUT: f64 = 0.6;
/// One evaluation raises an admission rate at most by this factor.
const MAX_GROWTH: f64 = 2.0;
/// For its table an endpoint counts as at most this slow: one slow beyond measure must not close all others.
const MAX_LATENCY_RATIO: f64 = 1.1;
/// A latency objective is at least this long, in seconds, so that one that is missing divides by no zero.
const MIN_LATENCY_OBJECTIVE: f64 = 1e-3;

/// What is admitted of one class at one table.
pub struct ClassAdmission {
    /// The class.
    pub class: ClassId,
    /// The table that it uses.
    pub table: TableId,
    /// The name of the class, for events.
    pub name: String,
    /// The latency objective of the class, in seconds.
    pub latency_objective: f64,
    /// What a request of the class is worth.
    pub value: f64,
    /// Requests that came of late, fading.
    pub demand: f64,
    /// The fraction of requests to admit by measured latency.
    pub rate: f64,
    /// The fraction of requests that a plan made ahead has capacity for.
    pub planned_rate: f64,
    /// The fraction that was published, once one was.
    pub published: Option<f64>,
}

impl ClassAdmission {
    /// Everything is admitted.
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

    /// What a request is worth for the time it may take.
    pub(crate) fn value_density(&self) -> f64 {
        self.value / self.latency_objective
    }

    fn work(&self) -> f64 {
        self.latency_objective * self.demand.max(1e-9)
    }

    /// Cuts the rate by as much of `to_shed` as it can bear, or raises it where its table is fast enough.
    fn adjust(&mut self, latency_ratio: f64, to_shed: &mut f64) {
        if latency_ratio > HIGH_LATENCY_RATIO {
            let work = self.work();
            let cut = to_shed.min(work * (self.rate - MIN_ADMISSION).max(0.0));
            *to_shed -= cut;
            self.rate -= cut / work;
        } else if latency_ratio < HIGH_LATENCY_RATIO {
            let growth = (HIGH_LATENCY_RATIO / latency_ratio.max(1e-9)).min(MAX_GROWTH);
            self.rate = (self.rate * growth).min(1.0);
        }
    }
}

/// The mean latency objective of the requests that come, in seconds.
pub fn mean_latency_objective(admissions: &[ClassAdmission]) -> f64 {
    let requests = |admission: &ClassAdmission| admission.demand + 1e-3;
    let sum: f64 = admissions.iter().map(|admission| requests(admission) * admission.latency_objective).sum();
    sum / admissions.iter().map(requests).sum::<f64>()
}

/// Measures how slow the endpoints of each table are and how many attempts fail there.
pub fn update_table_latency(
    tables: &mut [RoutingTable],
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    latency_objective: f64,
) {
    for table in tables {
        let mut weights = 1e-9;
        let mut latency = 0.0;
        let mut failures = 0.0;
        for (endpoint, weight) in &table.published {
            let state = &endpoints[endpoint];
            if state.recent_attempts.attempts >= 1.0 && !state.ejected {
                weights += weight;
                latency += weight * attributable_latency_ratio(state, latency_objective);
                failures += weight * state.recent_attempts.failure_ratio();
            }
        }
        table.latency_ratio = latency / weights;
        table.failure_ratio = (weights > 1e-6).then_some(failures / weights);
    }
}

/// An endpoint's latency as far as its load accounts for it: slowness beyond that is not mended by admitting
/// less.
fn attributable_latency_ratio(state: &EndpointState, latency_objective: f64) -> f64 {
    let load = state.load.filter(|load| *load < SATURATED_LOAD);
    let by_load = load.map_or(MAX_LATENCY_RATIO, |load| load / COMFORTABLE_LOAD * HIGH_LATENCY_RATIO);
    state.latency_ratio(latency_objective).min(by_load)
}

/// Moves the admission rates at the tables of one subset. `admissions` are sorted by value density, least
/// first.
pub fn adjust_admission(
    admissions: &mut [ClassAdmission],
    tables: &mut [RoutingTable],
    subset_tables: Range<TableId>,
) {
    let mut to_shed = work_to_shed(admissions, tables, &subset_tables);
    reserve_for_restricted_classes(&mut tables[subset_tables.clone()]);
    for admission in admissions.iter_mut().filter(|admission| subset_tables.contains(&admission.table)) {
        let latency_ratio = tables[admission.table].latency_ratio;
        admission.adjust(latency_ratio, &mut to_shed);
    }
}

/// The admitted work that has to go, by the slowest table.
fn work_to_shed(
    admissions: &[ClassAdmission],
    tables: &[RoutingTable],
    subset_tables: &Range<TableId>,
) -> f64 {
    let is_slow = |admission: &&ClassAdmission| {
        subset_tables.contains(&admission.table) && tables[admission.table].latency_ratio > HIGH_LATENCY_RATIO
    };
    let admitted: f64 =
        admissions.iter().filter(is_slow).map(|admission| admission.work() * admission.rate).sum();
    let slowest = tables[subset_tables.clone()]
        .iter()
        .fold(HIGH_LATENCY_RATIO, |slowest, table| slowest.max(table.latency_ratio));
    admitted * (1.0 - (HIGH_LATENCY_RATIO / slowest).max(MAX_CUT))
}

/// A class that may go elsewhere makes room where one that may not is slow.
fn reserve_for_restricted_classes(tables: &mut [RoutingTable]) {
    let restricted = tables.iter().filter(|table| table.restriction.is_restricted());
    let slowest_restricted = restricted.map(|table| table.latency_ratio).fold(0.0, f64::max);
    let recovery = if slowest_restricted < LOW_LATENCY_RATIO { WEIGHT_RECOVERY_STEP } else { 0.0 };
    for table in tables {
        let makes_room = slowest_restricted > HIGH_LATENCY_RATIO.max(table.latency_ratio);
        table.unreserved_fraction =
            if makes_room { MIN_ADMISSION } else { (table.unreserved_fraction + recovery).min(1.0) };
    }
}
