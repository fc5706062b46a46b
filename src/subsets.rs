//! Subsetting: a fleet too large for one table is cut into subsets, each run like a small fleet.
//!
//! Decides, from sizes at the first list, how many subsets there are, which endpoints and proxies belong to
//! each, and how much of its requests a full subset sends to another (deterministic subsetting as in the SRE
//! literature, with spillover between localities as in Envoy). Subsets lie in groups, one subset for each
//! zone, so that a zone that lost its endpoints has the others of its group beside it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::load_shedding::ClassAdmission;
use crate::state::{EndpointState, Restriction, RoutingTable};
use crate::thresholds::{COMFORTABLE_LOAD, WEAK_FRACTION};
use crate::{EndpointId, EndpointRecord, Settings, TableId, ZoneId};

/// One table for all does not fit a fleet if publishing it to every proxy takes more than this fraction of
/// the queue.
const MAX_QUEUE_FRACTION: f64 = 0.2;
/// The proxies of a subset may open this fraction of the connections that an endpoint accepts.
const MAX_CONNECTION_FRACTION: f64 = 0.1;
/// Proxies that share a table, at least.
const MIN_PROXIES_PER_SUBSET: f64 = 5.0;

/// How the fleet is cut.
#[derive(Default)]
pub struct SubsetLayout {
    /// Subsets in all; 0 before the first list.
    pub subsets: usize,
    /// Subsets of a locality group.
    group_size: usize,
    /// Tables of each subset.
    pub tables_per_subset: usize,
    /// Zones that subsets are dealt to; 1 where a subset has endpoints of all zones.
    zone_slots: usize,
}

impl SubsetLayout {
    /// Cuts a fleet with this many endpoints.
    pub fn new(settings: &Settings, endpoints: usize) -> Self {
        let by_zone = settings.solver.by_zone;
        let too_large = table_cost(settings, endpoints) > MAX_QUEUE_FRACTION;
        let group_size = if by_zone || too_large { settings.zones.len().max(1) } else { 1 };
        let no_class_is_bound_to_zones = settings.classes.iter().all(|class| class.only_zones.is_none());
        SubsetLayout {
            subsets: if too_large { subsets_by_size(settings).max(group_size) } else { group_size },
            group_size,
            tables_per_subset: 0,
            zone_slots: if by_zone || no_class_is_bound_to_zones { group_size } else { 1 },
        }
    }

    /// The tables of a subset.
    pub fn tables_of(&self, subset: usize) -> Range<TableId> {
        subset * self.tables_per_subset..(subset + 1) * self.tables_per_subset
    }

    /// Whether a subset serves a zone.
    pub fn serves_zone(&self, subset: usize, zone: ZoneId) -> bool {
        subset % self.zone_slots == zone % self.zone_slots
    }

    /// The locality group of a subset. Subsets beyond the last whole group belong to it: alone, one that is
    /// lost would have no other beside it.
    pub fn group_of(&self, subset: usize) -> usize {
        (subset / self.group_size).min(self.subsets / self.group_size - 1)
    }

    /// The first subset that serves a zone, 0 before there are any.
    pub fn first_for_zone(&self, zone: ZoneId) -> usize {
        (0..self.subsets).find(|subset| self.serves_zone(*subset, zone)).unwrap_or(0)
    }

    /// Whether a table may use an endpoint, which is in its subset or one beside it.
    pub fn may_use(&self, table: &RoutingTable, state: &EndpointState) -> bool {
        self.group_of(state.subset) == self.group_of(table.subset) && table.restriction.allows(&state.record)
    }

    /// The subset for a new endpoint. Endpoints are dealt like cards, so that each subset has its share of
    /// every zone and machine type.
    pub fn subset_for_endpoint(
        &self,
        record: &EndpointRecord,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
    ) -> usize {
        let mut members = vec![MemberCount::default(); self.subsets];
        for state in endpoints.values().filter(|state| !state.is_not_ready()) {
            let count = &mut members[state.subset];
            count.alike += usize::from(dealing_key(&state.record) == dealing_key(record));
            count.all += 1;
        }
        let serving = (0..self.subsets).filter(|subset| self.serves_zone(*subset, record.zone));
        serving.min_by_key(|subset| members[*subset]).unwrap_or(0)
    }

    fn groups(&self) -> usize {
        self.subsets / self.group_size.max(1)
    }
}

/// Endpoints of a subset: those like the one to be dealt decide, then all.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct MemberCount {
    alike: usize,
    all: usize,
}

/// Endpoints with the same key are alike.
pub fn dealing_key(record: &EndpointRecord) -> (usize, usize) {
    (record.machine_type, record.zone)
}

/// The fraction of the queue that one table of all endpoints takes at all proxies of a controller.
fn table_cost(settings: &Settings, endpoints: usize) -> f64 {
    let proxies = settings.fleet.proxies.unwrap_or(0.0);
    endpoints as f64 * proxies / settings.controllers / settings.fleet.max_queued_entries
}

fn subsets_by_size(settings: &Settings) -> usize {
    let proxies = settings.fleet.proxies.unwrap_or(0.0);
    let by_connections = proxies / (MAX_CONNECTION_FRACTION * settings.fleet.min_endpoint_connections);
    by_connections.min(proxies / settings.controllers / MIN_PROXIES_PER_SUBSET) as usize
}

/// Builds the tables of each subset, and the admissions at them sorted by value density, least first. Classes
/// that may use the same endpoints share a table: each entry and assignment then costs once.
pub fn build_tables(
    settings: &Settings,
    layout: &mut SubsetLayout,
) -> (Vec<RoutingTable>, Vec<ClassAdmission>) {
    let mut tables: Vec<RoutingTable> = Vec::new();
    let mut admissions = Vec::new();
    for subset in 0..layout.subsets {
        for (class, stated) in settings.classes.iter().enumerate() {
            let restriction = Restriction {
                zones: stated.only_zones.clone(),
                machine_types: stated.only_machine_types.clone(),
            };
            let is_alike = |table: &RoutingTable| table.subset == subset && table.restriction == restriction;
            let table = tables.iter().position(is_alike).unwrap_or(tables.len());
            if table == tables.len() {
                tables.push(RoutingTable::new(subset, restriction));
            }
            admissions.push(ClassAdmission::new(stated, class, table));
        }
    }
    layout.tables_per_subset = tables.len() / layout.subsets;
    admissions.sort_by(|a, b| a.value_density().total_cmp(&b.value_density()));
    (tables, admissions)
}

/// Where the requests of a subset go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spillover {
    /// The fraction that its own endpoints get.
    pub local_fraction: f64,
    /// The subset of its group that gets the rest.
    pub target: usize,
}

impl Spillover {
    /// All requests stay.
    pub fn none() -> Self {
        Spillover { local_fraction: 1.0, target: 0 }
    }
}

/// Reported load over a number of endpoints, by weight.
#[derive(Clone, Copy)]
struct WeightedLoad {
    load: f64,
    weight: f64,
}

impl WeightedLoad {
    /// From 0, idle, to 1; full where there is no weight.
    fn utilization(self) -> f64 {
        if self.weight > 1e-6 { self.load / self.weight } else { 1.0 }
    }
}

/// A subset whose endpoints are fuller than all of its group together sends a fraction of its requests to the
/// emptiest beside it, and takes it back as they find headroom. Guards against a zone that lost endpoints, or
/// that gets more requests than was stated, shedding load while others idle. It acts where endpoints report
/// their load: idle ones that are warming up, or that nobody reaches, would else look like headroom.
pub fn update_spillover(
    spillover: &mut [Spillover],
    layout: &SubsetLayout,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    now: Duration,
    initial_weight_fraction: f64,
) {
    let loads = reported_loads(layout, endpoints, now, initial_weight_fraction);
    let utilization = |subset: usize| loads[subset].utilization();
    for group in 0..layout.groups() {
        let members: Vec<usize> =
            (0..layout.subsets).filter(|subset| layout.group_of(*subset) == group).collect();
        let total = members.iter().fold(WeightedLoad { load: 0.0, weight: 0.0 }, |sum, subset| {
            WeightedLoad { load: sum.load + loads[*subset].load, weight: sum.weight + loads[*subset].weight }
        });
        let mean = total.utilization();
        let emptiest = members.iter().copied().min_by(|a, b| utilization(*a).total_cmp(&utilization(*b)));
        for subset in members {
            let Spillover { local_fraction, target } = &mut spillover[subset];
            if *local_fraction == 1.0 || utilization(*target) > utilization(subset) {
                *target = emptiest.unwrap_or(subset);
            }
            let even = COMFORTABLE_LOAD.max(mean) / utilization(subset).max(1e-9);
            // The square root goes half the way at a time, as loads are reported late.
            *local_fraction = (*local_fraction * even.sqrt()).clamp(WEAK_FRACTION, 1.0);
        }
    }
}

fn reported_loads(
    layout: &SubsetLayout,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    now: Duration,
    initial_weight_fraction: f64,
) -> Vec<WeightedLoad> {
    let mut loads = vec![WeightedLoad { load: 0.0, weight: 1e-9 }; layout.subsets];
    for state in endpoints.values().filter(|state| state.is_up() && !state.is_not_ready()) {
        let weight =
            state.record.weight * state.weight_factor * state.slow_start_factor(now, initial_weight_fraction);
        let sum = &mut loads[state.subset];
        sum.load += weight * state.load.unwrap_or(0.0).min(1.0);
        sum.weight += weight;
    }
    loads
}
