//! Publishing: the updates that are due, and their order.
//!
//! Decides, from desired and published state, the updates of a plan, the most urgent first. Only differences
//! from the published state are sent (as in incremental xDS), and changed entries are ranked by the number of
//! requests that each moves.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load_shedding::ClassAdmission;
use crate::proxies::{Attachment, ProxySet, ProxyState};
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::SubsetLayout;
use crate::thresholds::{TICK_INTERVAL, WEAK_FRACTION, round_to_step};
use crate::weights::CAUTIOUS_FRACTION;
use crate::{EndpointId, ProxyId, TableId};

/// Multiple of its fair load up to which a subset accepts proxies of its zone.
const MAX_LOAD_FACTOR: f64 = 1.1;

/// Number of table entries per replaced ejection up to which a table is sent instead of the ejections.
/// Ejections sent first would add at least half of the table's own cost, as the table has to follow them
/// anyway.
const MAX_ENTRIES_PER_EJECTION: usize = 2;

/// The priority of an update. Updates of higher priority may use more of the limits on queue and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A change that can wait for the next publication.
    Common,
    /// An assignment to a proxy that needs a table, or an entry of a table that lacks weight.
    Assignment,
    /// An update for an endpoint that must not get requests any more, as its drain grace period has started;
    /// also the end of an ejection.
    Drain,
}

impl Priority {
    /// Returns the fraction of the limits that updates of this priority may use.
    pub fn limit_fraction(self) -> f64 {
        match self {
            Priority::Common => 0.5,
            Priority::Assignment => 0.75,
            Priority::Drain => 0.95,
        }
    }
}

/// An update of the published state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// Eject an endpoint at the proxies that may use tables of an earlier controller.
    Eject(EndpointId),
    /// End the ejection of an endpoint.
    Restore(EndpointId),
    /// Publish the desired weight of an endpoint.
    SetWeight(TableId, EndpointId),
    /// Publish an admission rate, by the index of the [`ClassAdmission`].
    SetAdmission { admission: usize, fraction: f64 },
    /// Assign a table to a proxy.
    AssignTable(TableId, ProxyId),
}

/// An update of a plan that is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingUpdate {
    pub priority: Priority,
    /// The time since which the update is pending; used only if its priority is [`Priority::Drain`].
    pub pending_since: Duration,
    pub update: Update,
}

impl PendingUpdate {
    /// Returns an update without a deadline.
    fn deferrable(priority: Priority, update: Update) -> Self {
        PendingUpdate { priority, pending_since: Duration::ZERO, update }
    }

    /// Returns an update of the highest priority, which has been pending since the given time.
    fn urgent(pending_since: Duration, update: Update) -> Self {
        PendingUpdate { priority: Priority::Drain, pending_since, update }
    }
}

/// Orders the updates of a plan: urgent ones first, and among these the one that has been pending longest, as
/// its drain grace period ends first. The order of the others is kept.
///
/// Once a proxy has all of its tables, it needs no ejections. Ejections therefore follow the urgent table
/// assignments, and new ejections follow all other updates: if the assignments can be sent immediately,
/// the ejections are not needed.
pub fn order_updates(
    now: Duration,
    updates: Vec<PendingUpdate>,
    ejections: Vec<PendingUpdate>,
) -> Vec<PendingUpdate> {
    let is_urgent = |pending: &PendingUpdate| pending.priority == Priority::Drain;
    let (mut urgent, rest): (Vec<_>, Vec<_>) = updates.into_iter().partition(is_urgent);
    urgent.sort_by_key(|pending| pending.pending_since);
    let has_waited = |pending: &PendingUpdate| pending.pending_since + TICK_INTERVAL <= now;
    let (mut waiting, new): (Vec<_>, Vec<_>) = ejections.into_iter().partition(has_waited);
    waiting.sort_by_key(|pending| pending.pending_since);
    [urgent, waiting, rest, new].concat()
}

/// The attachments of the proxies that may still use tables of an earlier controller.
pub struct UnassignedProxies {
    /// The attachments, sorted by generation.
    attachments: Vec<Attachment>,
}

impl UnassignedProxies {
    /// Returns the set of these attachments, which may be in any order.
    pub fn new(mut attachments: Vec<Attachment>) -> Self {
        // Generations increase with time, so the first one above a given generation is the earliest to
        // attach.
        attachments.sort_unstable_by_key(|attachment| attachment.generation);
        UnassignedProxies { attachments }
    }

    fn is_empty(&self) -> bool {
        self.attachments.is_empty()
    }

    /// Returns the attachment time of the earliest attachment after this generation, if there is one.
    fn first_attached_after(&self, generation: u64) -> Option<Duration> {
        let index = self.attachments.partition_point(|attachment| attachment.generation <= generation);
        self.attachments.get(index).map(|attachment| attachment.at)
    }
}

/// The inputs of a plan.
pub struct PlanInputs<'a> {
    pub now: Duration,
    pub tables: &'a [RoutingTable],
    pub admissions: &'a [ClassAdmission],
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    /// True if some table is not released yet.
    pub startup_hold: bool,
}

impl PlanInputs<'_> {
    /// Returns an update for each admission rate that differs from the published one.
    pub fn changed_admissions(&self) -> Vec<PendingUpdate> {
        let mut updates = Vec::new();
        for (index, admission) in self.admissions.iter().enumerate() {
            let fraction = round_to_step(admission.rate.min(admission.planned_rate));
            if self.tables[admission.table].released && admission.published != Some(fraction) {
                let update = Update::SetAdmission { admission: index, fraction };
                updates.push(PendingUpdate::deferrable(Priority::Common, update));
            }
        }
        updates
    }

    /// Returns an update for each due entry that differs from the published one, sorted by priority and then
    /// by the number of requests that it moves. An endpoint that is draining, removed or restarted loses its
    /// weight without waiting for the next publication; `publishing` is true if common changes are due as
    /// well.
    pub fn changed_entries(&self, publishing: bool) -> Vec<PendingUpdate> {
        let mut ranked: Vec<RankedUpdate> = Vec::new();
        for (index, table) in self.tables.iter().enumerate().filter(|(_, table)| table.released) {
            let demand: f64 = self
                .admissions
                .iter()
                .filter(|admission| admission.table == index)
                .map(|admission| admission.demand)
                .sum();
            let total: f64 = table.desired.values().sum();
            let lacks_weight = lacks_weight(table, total);
            for (endpoint, desired) in &table.desired {
                let entry = EntryChange {
                    state: &self.endpoints[endpoint],
                    desired: *desired,
                    published: table.published_weight(*endpoint),
                };
                if let Some(priority) = self.entry_priority(&entry, lacks_weight, publishing) {
                    let moved = entry.moved_requests(total, demand);
                    let update = Update::SetWeight(index, *endpoint);
                    let pending_since = entry.pending_since(self.now);
                    let update = PendingUpdate { priority, pending_since, update };
                    ranked.push(RankedUpdate { moved, update });
                }
            }
        }
        ranked.sort_by(|a, b| {
            let by_priority = b.update.priority.cmp(&a.update.priority);
            by_priority.then(b.moved.total_cmp(&a.moved))
        });
        ranked.into_iter().map(|ranked| ranked.update).collect()
    }

    /// Returns the priority of a changed entry; `None` if it is not due.
    fn entry_priority(&self, entry: &EntryChange, lacks_weight: bool, publishing: bool) -> Option<Priority> {
        // An ejection ends once all proxies have their tables, and an empty table is not assigned. If all
        // endpoints were ejected, entries of usable ones must therefore be published before the ejections
        // end.
        let is_usable = !entry.state.ejected || !self.must_be_ejected(entry.state);
        let fills_table = lacks_weight && entry.desired > entry.published && is_usable;
        let is_common = publishing && entry.desired != entry.published && !entry.state.ejected;
        if entry.must_not_wait(self.now) {
            Some(Priority::Drain)
        } else if fills_table {
            // Filling a table takes many entries, which must not use the capacity kept for drains.
            Some(Priority::Assignment)
        } else if is_common {
            Some(Priority::Common)
        } else {
            None
        }
    }

    fn must_be_ejected(&self, state: &EndpointState) -> bool {
        state.must_be_ejected(self.now, self.startup_hold)
    }

    /// Returns the ejections that are due, and the ends of ejections. An endpoint that must not be used is
    /// ejected at the proxies that may still use tables of an earlier controller (`unassigned`), even during
    /// the start-up hold, as no proxy may use it after the drain grace period. The ejection ends only when no
    /// table publishes more than the desired weight, so that the endpoint returns at its initial weight and
    /// not at the weight that it had before.
    pub fn changed_ejections(&self, unassigned: &UnassignedProxies) -> Vec<PendingUpdate> {
        let update = |(endpoint, state): (&EndpointId, &EndpointState)| {
            if self.must_be_ejected(state) {
                let attached_at = unassigned.first_attached_after(state.ejected_up_to_generation)?;
                let pending_since = attached_at.max(state.list_changed_at.unwrap_or_default());
                return Some(PendingUpdate::urgent(pending_since, Update::Eject(*endpoint)));
            }
            let is_due = state.ejected && unassigned.is_empty() && !self.is_overweight(*endpoint);
            is_due.then(|| PendingUpdate::urgent(self.now, Update::Restore(*endpoint)))
        };
        self.endpoints.iter().filter_map(update).collect()
    }

    /// Returns true if some table publishes more than the desired weight of an endpoint.
    fn is_overweight(&self, endpoint: EndpointId) -> bool {
        let overweight =
            |table: &RoutingTable| table.published_weight(endpoint) > table.desired_weight(endpoint);
        self.tables.iter().any(overweight)
    }
}

/// An update with the number of requests that it moves.
struct RankedUpdate {
    moved: f64,
    update: PendingUpdate,
}

/// The desired and the published weight of an entry of a table.
struct EntryChange<'a> {
    state: &'a EndpointState,
    desired: f64,
    published: f64,
}

impl EntryChange<'_> {
    /// Returns true if the endpoint must lose weight immediately: it is draining or removed, or has restarted.
    fn must_not_wait(&self, now: Duration) -> bool {
        let is_leaving = self.state.is_not_ready() && self.desired < self.published;
        let has_restarted =
            self.state.is_warming_up(now) && self.desired < CAUTIOUS_FRACTION * self.published;
        is_leaving || has_restarted
    }

    /// Returns the time since which a change that must not wait is pending. That is the time at which the
    /// list reported the change, or now for an endpoint that is warming up and has little weight already, as
    /// a short delay does no harm there.
    fn pending_since(&self, now: Duration) -> Duration {
        let has_little_weight = self.published <= CAUTIOUS_FRACTION * self.state.record.weight;
        match self.state.list_changed_at {
            Some(list_changed_at) if self.state.is_not_ready() || !has_little_weight => list_changed_at,
            _ => now,
        }
    }

    /// Returns the relative number of requests that the change moves, to rank changes by.
    fn moved_requests(&self, total_weight: f64, demand: f64) -> f64 {
        (self.desired - self.published).abs() / total_weight.max(1e-9) * (1.0 + demand)
    }
}

/// Returns true if so little of a table's desired weight is published that it must be filled immediately:
/// the remaining endpoints must not be lost while their replacements wait in the queue.
fn lacks_weight(table: &RoutingTable, total_weight: f64) -> bool {
    let kept_weight =
        |(endpoint, desired): (&EndpointId, &f64)| desired.min(table.published_weight(*endpoint));
    let remaining: f64 = table.desired.iter().map(kept_weight).sum();
    remaining < WEAK_FRACTION * total_weight
}

/// Assigns a subset to each proxy that lacks tables, and returns the assignments of the released tables of
/// that subset. Proxies with the highest request rate come first; each gets the subset with the least load
/// for its weight.
pub fn assignments(
    proxies: &mut ProxySet,
    layout: &SubsetLayout,
    tables: &[RoutingTable],
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    expected_proxies: f64,
) -> Vec<PendingUpdate> {
    let mut loads = SubsetLoads::new(proxies, layout, endpoints, expected_proxies);
    let mut updates = Vec::new();
    for (proxy, state) in proxies.on_fewer_tables(layout.tables_per_subset) {
        let subset = match state.subset {
            Some(subset) => subset,
            None => {
                let subset = loads.least_loaded(layout, state);
                loads.request_rates[subset] += state.request_rate;
                subset
            }
        };
        state.subset = Some(subset);
        for table in layout.tables_of(subset) {
            if tables[table].released && !state.tables.contains(&table) {
                let update = Update::AssignTable(table, proxy);
                updates.push(assignment(&tables[table], state, endpoints, update));
            }
        }
    }
    updates
}

/// Returns the update that assigns a table to a proxy. A table replaces the ejections that the proxy would
/// otherwise get one by one, and is as urgent as they are if it has at most [`MAX_ENTRIES_PER_EJECTION`]
/// entries for each of them. Otherwise, proxies that attach one by one during a rollout would wait for their
/// tables while the ejections fill the queue.
fn assignment(
    table: &RoutingTable,
    proxy: &ProxyState,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    update: Update,
) -> PendingUpdate {
    let needs_ejection =
        |state: &&EndpointState| state.is_not_ready() && state.ejected_up_to_generation < proxy.generation;
    let pending_ejections = endpoints.values().filter(needs_ejection).count();
    if !(1..=MAX_ENTRIES_PER_EJECTION * pending_ejections).contains(&table.published_entries()) {
        return PendingUpdate::deferrable(Priority::Assignment, update);
    }
    let first_change =
        endpoints.values().filter(needs_ejection).filter_map(|state| state.list_changed_at).min();
    PendingUpdate::urgent(first_change.unwrap_or_default().max(proxy.attached_at), update)
}

/// The request rates and weights of all subsets.
struct SubsetLoads {
    /// Requests per second, by subset.
    request_rates: Vec<f64>,
    /// The sum of the listed weights, by subset.
    weights: Vec<f64>,
    /// The largest load that a subset accepts from its own zone, in requests per second and unit of weight.
    max_load: f64,
}

impl SubsetLoads {
    fn new(
        proxies: &ProxySet,
        layout: &SubsetLayout,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
        expected_proxies: f64,
    ) -> Self {
        let mut weights = vec![1e-9; layout.subsets];
        endpoints.values().for_each(|state| weights[state.subset] += state.record.weight);
        let expected_rate = proxies.mean_request_rate() * expected_proxies;
        SubsetLoads {
            request_rates: proxies.request_rates(layout.subsets),
            max_load: MAX_LOAD_FACTOR * expected_rate / weights.iter().sum::<f64>(),
            weights,
        }
    }

    /// Returns the least loaded subset that serves the proxy's zone, or the least loaded of all subsets if
    /// each of those would reach the maximum load.
    fn least_loaded(&self, layout: &SubsetLayout, proxy: &ProxyState) -> usize {
        let load = |subset: usize| (self.request_rates[subset] + proxy.request_rate) / self.weights[subset];
        let is_unsuited =
            |subset: usize| !layout.serves_zone(subset, proxy.zone) || load(subset) >= self.max_load;
        let least = (0..layout.subsets).min_by(|a, b| {
            let by_suitability = is_unsuited(*a).cmp(&is_unsuited(*b));
            by_suitability.then(load(*a).total_cmp(&load(*b)))
        });
        least.unwrap_or(0)
    }
}
