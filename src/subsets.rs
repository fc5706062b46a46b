//! Subsetting: a fleet that is too large for one table is divided into subsets, each managed like a small
//! fleet.
//!
//! Decides the number of subsets from the sizes at the first endpoint list, the endpoints of each subset, and
//! the fraction of its requests that a saturated subset sends to another one (deterministic subsetting as in
//! the SRE literature, with spillover between localities as in Envoy). Subsets form locality groups with one
//! subset for each zone, so that a zone that has lost its endpoints can use the others of its group.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::load_shedding::ClassAdmission;
use crate::state::{EndpointState, Restriction, RoutingTable};
use crate::thresholds::{COMFORTABLE_LOAD, WEAK_FRACTION};
use crate::{EndpointId, EndpointRecord, Settings, TableId, ZoneId};

/// Fraction of the queue above which publishing one table of all endpoints to every proxy is too expensive.
const MAX_QUEUE_FRACTION: f64 = 0.2;
/// Fraction of the connections accepted by an endpoint that the proxies of its subset may open.
const MAX_CONNECTION_FRACTION: f64 = 0.1;
/// Minimum number of proxies that share a table.
const MIN_PROXIES_PER_SUBSET: f64 = 5.0;

/// The division of the fleet into subsets.
#[derive(Default)]
pub struct SubsetLayout {
    /// The number of subsets; 0 before the first endpoint list.
    pub subsets: usize,
    /// The number of subsets in a locality group.
    group_size: usize,
    /// The number of tables of each subset.
    pub tables_per_subset: usize,
    /// The number of zones that subsets are distributed over; 1 if each subset has endpoints of all zones.
    zone_slots: usize,
}

impl SubsetLayout {
    /// Returns the layout for a fleet with this many endpoints.
    pub fn new(settings: &Settings, endpoints: usize) -> Self {
        let by_zone = settings.solver.by_zone;
        let too_large = table_cost(settings, endpoints) > MAX_QUEUE_FRACTION;
        let group_size = if by_zone || too_large { settings.zones.len().max(1) } else { 1 };
        let no_class_is_restricted_to_zones = settings.classes.iter().all(|class| class.only_zones.is_none());
        SubsetLayout {
            subsets: if too_large { subsets_by_size(settings).max(group_size) } else { group_size },
            group_size,
            tables_per_subset: 0,
            zone_slots: if by_zone || no_class_is_restricted_to_zones { group_size } else { 1 },
        }
    }

    /// Returns the tables of a subset.
    pub fn tables_of(&self, subset: usize) -> Range<TableId> {
        subset * self.tables_per_subset..(subset + 1) * self.tables_per_subset
    }

    /// Returns true if a subset serves a zone.
    pub fn serves_zone(&self, subset: usize, zone: ZoneId) -> bool {
        subset % self.zone_slots == zone % self.zone_slots
    }

    /// Returns the locality group of a subset. Subsets beyond the last complete group belong to that group,
    /// as a subset without a group would have no other to fall back to.
    pub fn group_of(&self, subset: usize) -> usize {
        (subset / self.group_size).min(self.subsets / self.group_size - 1)
    }

    /// Returns the first subset that serves a zone; 0 if there are no subsets yet.
    pub fn first_for_zone(&self, zone: ZoneId) -> usize {
        (0..self.subsets).find(|subset| self.serves_zone(*subset, zone)).unwrap_or(0)
    }

    /// Returns true if a table may use an endpoint: its restriction allows it, and both belong to the same
    /// locality group.
    pub fn may_use(&self, table: &RoutingTable, state: &EndpointState) -> bool {
        self.group_of(state.subset) == self.group_of(table.subset) && table.restriction.allows(&state.record)
    }

    /// Returns the subset for a new endpoint. Endpoints are distributed evenly, so that each subset gets its
    /// share of every zone and machine type.
    pub fn subset_for_endpoint(
        &self,
        record: &EndpointRecord,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
    ) -> usize {
        let mut members = vec![MemberCount::default(); self.subsets];
        for state in endpoints.values().filter(|state| !state.is_not_ready()) {
            let count = &mut members[state.subset];
            count.similar += usize::from(placement_key(&state.record) == placement_key(record));
            count.all += 1;
        }
        let serving = (0..self.subsets).filter(|subset| self.serves_zone(*subset, record.zone));
        serving.min_by_key(|subset| members[*subset]).unwrap_or(0)
    }

    fn groups(&self) -> usize {
        self.subsets / self.group_size.max(1)
    }
}

/// The number of endpoints in a subset. Compares by those with the same zone and machine type as the endpoint
/// to be placed, then by all.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct MemberCount {
    similar: usize,
    all: usize,
}

/// Returns the key by which endpoints are distributed: machine type and zone.
pub fn placement_key(record: &EndpointRecord) -> (usize, usize) {
    (record.machine_type, record.zone)
}

/// Returns the fraction of the queue that it takes to publish one table of all endpoints to all proxies of a
/// controller.
fn table_cost(settings: &Settings, endpoints: usize) -> f64 {
    let proxies = settings.fleet.proxies.unwrap_or(0.0);
    endpoints as f64 * proxies / settings.controllers / settings.fleet.max_queued_entries
}

/// Returns the number of subsets that bounds the connections to each endpoint and keeps the minimum number of
/// proxies per subset.
fn subsets_by_size(settings: &Settings) -> usize {
    let proxies = settings.fleet.proxies.unwrap_or(0.0);
    let by_connections = proxies / (MAX_CONNECTION_FRACTION * settings.fleet.min_endpoint_connections);
    by_connections.min(proxies / settings.controllers / MIN_PROXIES_PER_SUBSET) as usize
}

/// Builds the tables of each subset, and the admissions at them sorted by value density, lowest first.
/// Classes with the same restriction share a table, so that each of its entries and assignments is sent only
/// once.
pub fn build_tables(
    settings: &Settings,
    layout: &mut SubsetLayout,
) -> (Vec<RoutingTable>, Vec<ClassAdmission>) {
    let mut tables: Vec<RoutingTable> = Vec::new();
    let mut admissions = Vec::new();
    for subset in 0..layout.subsets {
        for (class, class_settings) in settings.classes.iter().enumerate() {
            let restriction = Restriction {
                zones: class_settings.only_zones.clone(),
                machine_types: class_settings.only_machine_types.clone(),
            };
            let is_same = |table: &RoutingTable| table.subset == subset && table.restriction == restriction;
            let table = tables.iter().position(is_same).unwrap_or(tables.len());
            if table == tables.len() {
                tables.push(RoutingTable::new(subset, restriction));
            }
            admissions.push(ClassAdmission::new(class_settings, class, table));
        }
    }
    layout.tables_per_subset = tables.len() / layout.subsets;
    admissions.sort_by(|a, b| a.value_density().total_cmp(&b.value_density()));
    (tables, admissions)
}

/// The spillover of a subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spillover {
    /// The fraction of its requests that its own endpoints get.
    pub local_fraction: f64,
    /// The subset of its locality group that gets the rest.
    pub target: usize,
}

impl Spillover {
    /// Returns the spillover of a subset that keeps all of its requests.
    pub fn none() -> Self {
        Spillover { local_fraction: 1.0, target: 0 }
    }
}

/// The sum of the reported loads of several endpoints, each times its weight, and the sum of the weights.
#[derive(Clone, Copy)]
struct WeightedLoad {
    load: f64,
    weight: f64,
}

impl WeightedLoad {
    /// Returns the weighted mean load, from 0 to 1; 1 if there is no weight.
    fn utilization(self) -> f64 {
        if self.weight > 1e-6 { self.load / self.weight } else { 1.0 }
    }
}

/// Updates the spillover of each subset. A subset with a higher utilization than its whole locality group
/// sends a fraction of its requests to the least utilized subset of the group, and takes them back once its
/// own endpoints have headroom. Otherwise a zone that has lost endpoints, or gets more requests than
/// expected, would shed load while other zones are idle. Utilization follows from the load that endpoints
/// report, where an endpoint without a report counts as idle. Without load reports, endpoints that are idle
/// because they are warming up or unreachable would look like headroom, so nothing spills over then.
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
        let least_utilized =
            members.iter().copied().min_by(|a, b| utilization(*a).total_cmp(&utilization(*b)));
        for subset in members {
            let Spillover { local_fraction, target } = &mut spillover[subset];
            if *local_fraction == 1.0 || utilization(*target) > utilization(subset) {
                *target = least_utilized.unwrap_or(subset);
            }
            let correction = COMFORTABLE_LOAD.max(mean) / utilization(subset).max(1e-9);
            // The square root is half of the correction on a logarithmic scale, as loads are reported late.
            *local_fraction = (*local_fraction * correction.sqrt()).clamp(WEAK_FRACTION, 1.0);
        }
    }
}

/// Returns the reported load of the usable endpoints of each subset.
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
