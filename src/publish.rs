//! Publishing: which updates are due, and in which order.
//!
//! Decides, from desired and published state, the updates of a plan, the most urgent first. Only what differs
//! from what proxies hold is sent (as incremental xDS does), and entries are ranked by the requests that each
//! moves.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load_shedding::ClassAdmission;
use crate::proxies::{Attachment, ProxySet, ProxyState};
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::SubsetLayout;
use crate::thresholds::{TICK_INTERVAL, WEAK_FRACTION, round_to_step};
use crate::weights::CAUTIOUS_FRACTION;
use crate::{EndpointId, ProxyId, TableId};

/// A subset takes proxies of its zone up to this multiple of its fair load.
const MAX_LOAD_FACTOR: f64 = 1.1;

/// A table of up to so many entries for each ejection that it replaces is sent in their place: they would cost
/// the channel half as much once more, as the table has to follow them.
const MAX_ENTRIES_PER_EJECTION: usize = 2;

/// How urgent an update is. Higher priorities may fill more of the limits on queue and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Changes that can wait for the next publication.
    Common,
    /// Proxies that need a table, and tables that need entries.
    Assignment,
    /// Endpoints that must not get requests any more: their grace runs.
    Drain,
}

impl Priority {
    /// The fraction of the limits that updates of this priority may fill.
    pub fn limit_fraction(self) -> f64 {
        match self {
            Priority::Common => 0.5,
            Priority::Assignment => 0.75,
            Priority::Drain => 0.95,
        }
    }
}

/// One update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// Keep all proxies from an endpoint, whatever tables they hold.
    Eject(EndpointId),
    /// End an ejection.
    Restore(EndpointId),
    /// Publish the desired weight of an endpoint.
    SetWeight(TableId, EndpointId),
    /// Publish an admission rate, by the index of the [`ClassAdmission`].
    SetAdmission { admission: usize, fraction: f64 },
    /// Put a proxy on a table.
    AssignTable(TableId, ProxyId),
}

/// An update of a plan that is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingUpdate {
    pub priority: Priority,
    /// Since when it is owed, where its priority is [`Priority::Drain`].
    pub owed_since: Duration,
    pub update: Update,
}

impl PendingUpdate {
    /// An update that may wait.
    fn deferrable(priority: Priority, update: Update) -> Self {
        PendingUpdate { priority, owed_since: Duration::ZERO, update }
    }

    fn urgent(owed_since: Duration, update: Update) -> Self {
        PendingUpdate { priority: Priority::Drain, owed_since, update }
    }
}

/// Orders the updates of a plan: urgent ones first, those owed longest before others, as their grace ends
/// first. The order of the rest stays.
///
/// A table ends the need for ejections at its proxy. So ejections come behind the tables that are urgent
/// themselves, and behind all others while they are new: where these go out at once, no ejection is sent.
pub fn in_order(
    now: Duration,
    updates: Vec<PendingUpdate>,
    ejections: Vec<PendingUpdate>,
) -> Vec<PendingUpdate> {
    let is_urgent = |pending: &PendingUpdate| pending.priority == Priority::Drain;
    let (mut urgent, rest): (Vec<_>, Vec<_>) = updates.into_iter().partition(is_urgent);
    urgent.sort_by_key(|pending| pending.owed_since);
    let has_waited = |pending: &PendingUpdate| pending.owed_since + TICK_INTERVAL <= now;
    let (mut waiting, new): (Vec<_>, Vec<_>) = ejections.into_iter().partition(has_waited);
    waiting.sort_by_key(|pending| pending.owed_since);
    [urgent, waiting, rest, new].concat()
}

/// The proxies that may still hold tables of an earlier controller.
pub struct UnassignedProxies {
    attachments: Vec<Attachment>,
}

impl UnassignedProxies {
    /// Of their attachments in any order.
    pub fn new(mut attachments: Vec<Attachment>) -> Self {
        // Generations count up with time, so the first one after a generation attached before all others.
        attachments.sort_unstable_by_key(|attachment| attachment.generation);
        UnassignedProxies { attachments }
    }

    fn is_empty(&self) -> bool {
        self.attachments.is_empty()
    }

    /// When the first of those that attached after this generation did.
    fn first_attached_after(&self, generation: u64) -> Option<Duration> {
        let index = self.attachments.partition_point(|attachment| attachment.generation <= generation);
        self.attachments.get(index).map(|attachment| attachment.at)
    }
}

/// What plans are made from.
pub struct PlanInputs<'a> {
    pub now: Duration,
    pub tables: &'a [RoutingTable],
    pub admissions: &'a [ClassAdmission],
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    /// Whether some table is still held back.
    pub start_up_hold: bool,
}

impl PlanInputs<'_> {
    /// Admission rates that differ from what was published.
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

    /// Entries that differ from what was published, by priority and then by the requests that each moves. An
    /// endpoint that drains, is removed or was started anew loses its weight without waiting for the next
    /// publication.
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
            let running_empty = is_running_empty(table, total);
            for (endpoint, desired) in &table.desired {
                let entry = EntryChange {
                    state: &self.endpoints[endpoint],
                    desired: *desired,
                    published: table.published_weight(*endpoint),
                };
                if let Some(priority) = self.entry_priority(&entry, running_empty, publishing) {
                    let moved = entry.moved_requests(total, demand);
                    let update = Update::SetWeight(index, *endpoint);
                    let owed_since = entry.owed_since(self.now);
                    let update = PendingUpdate { priority, owed_since, update };
                    ranked.push(RankedUpdate { moved, update });
                }
            }
        }
        ranked.sort_by(|one, other| {
            let by_priority = other.update.priority.cmp(&one.update.priority);
            by_priority.then(other.moved.total_cmp(&one.moved))
        });
        ranked.into_iter().map(|ranked| ranked.update).collect()
    }

    /// The priority of a changed entry; `None` if it is not due.
    fn entry_priority(&self, entry: &EntryChange, running_empty: bool, publishing: bool) -> Option<Priority> {
        // Ejections end once all proxies are on tables, and an empty table is assigned to nobody: where all
        // endpoints were ejected, entries of those that are back come first.
        let is_usable = !entry.state.ejected || !self.must_be_ejected(entry.state);
        let fills = running_empty && entry.desired > entry.published && is_usable;
        let is_common = publishing && entry.desired != entry.published && !entry.state.ejected;
        if entry.must_not_wait(self.now) {
            Some(Priority::Drain)
        } else if fills {
            // Filling a table takes many entries: the capacity for drains is not for them.
            Some(Priority::Assignment)
        } else if is_common {
            Some(Priority::Common)
        } else {
            None
        }
    }

    fn must_be_ejected(&self, state: &EndpointState) -> bool {
        state.must_be_ejected(self.now, self.start_up_hold)
    }

    /// Ejections and their ends. An endpoint that must not be used is ejected at the proxies that still hold
    /// tables of an earlier controller, start-up hold or not: no proxy may use it past the grace. One that
    /// comes back returns at its initial weight, never at the weight it left with. `unassigned` are these
    /// proxies.
    pub fn changed_ejections(&self, unassigned: &UnassignedProxies) -> Vec<PendingUpdate> {
        let update = |(endpoint, state): (&EndpointId, &EndpointState)| {
            if self.must_be_ejected(state) {
                let attached_at = unassigned.first_attached_after(state.ejected_up_to_generation)?;
                let owed_since = attached_at.max(state.list_changed_at.unwrap_or_default());
                return Some(PendingUpdate::urgent(owed_since, Update::Eject(*endpoint)));
            }
            let is_due = state.ejected && unassigned.is_empty() && !self.is_overweight(*endpoint);
            is_due.then(|| PendingUpdate::urgent(self.now, Update::Restore(*endpoint)))
        };
        self.endpoints.iter().filter_map(update).collect()
    }

    /// Whether some table still publishes more than an endpoint's desired weight.
    fn is_overweight(&self, endpoint: EndpointId) -> bool {
        let overweight =
            |table: &RoutingTable| table.published_weight(endpoint) > table.desired_weight(endpoint);
        self.tables.iter().any(overweight)
    }
}

struct RankedUpdate {
    moved: f64,
    update: PendingUpdate,
}

/// An entry of a table as desired and as published.
struct EntryChange<'a> {
    state: &'a EndpointState,
    desired: f64,
    published: f64,
}

impl EntryChange<'_> {
    fn must_not_wait(&self, now: Duration) -> bool {
        let leaves = self.state.is_not_ready() && self.desired < self.published;
        let restarted = self.state.is_warming_up(now) && self.desired < CAUTIOUS_FRACTION * self.published;
        leaves || restarted
    }

    /// Since when a change that must not wait is owed: since the list told of it, where the weight is of before that. An
    /// endpoint that is warming up and has little weight already is no worse off for a while.
    fn owed_since(&self, now: Duration) -> Duration {
        let has_little = self.published <= CAUTIOUS_FRACTION * self.state.record.weight;
        match self.state.list_changed_at {
            Some(list_changed_at) if self.state.is_not_ready() || !has_little => list_changed_at,
            _ => now,
        }
    }

    fn moved_requests(&self, total_weight: f64, demand: f64) -> f64 {
        (self.desired - self.published).abs() / total_weight.max(1e-9) * (1.0 + demand)
    }
}

/// Whether so little of a table's desired weight is published that it must be filled at once: what is left
/// must not run out while what replaces it waits in the queue.
fn is_running_empty(table: &RoutingTable, total_weight: f64) -> bool {
    let common = |(endpoint, desired): (&EndpointId, &f64)| desired.min(table.published_weight(*endpoint));
    let left: f64 = table.desired.iter().map(common).sum();
    left < WEAK_FRACTION * total_weight
}

/// Gives each proxy without a full set of tables a subset, and the assignments of that subset's released
/// tables. Proxies with most requests come first, each to the subset that has least for its weight.
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

/// A table replaces the ejections that its proxy would else get one by one: where it is the shorter message,
/// it is as urgent as they are. In a rollout, those that attach one by one would else wait while the longer
/// message fills the queue.
fn assignment(
    table: &RoutingTable,
    proxy: &ProxyState,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
    update: Update,
) -> PendingUpdate {
    let is_owed =
        |state: &&EndpointState| state.is_not_ready() && state.ejected_up_to_generation < proxy.generation;
    let owed_ejections = endpoints.values().filter(is_owed).count();
    if !(1..=MAX_ENTRIES_PER_EJECTION * owed_ejections).contains(&table.published_entries()) {
        return PendingUpdate::deferrable(Priority::Assignment, update);
    }
    let first_change = endpoints.values().filter(is_owed).filter_map(|state| state.list_changed_at).min();
    PendingUpdate::urgent(first_change.unwrap_or_default().max(proxy.attached_at), update)
}

/// Requests and weights by subset.
struct SubsetLoads {
    request_rates: Vec<f64>,
    weights: Vec<f64>,
    /// Requests a second for a unit of weight that a subset takes of its own zone.
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

    /// The subset of the proxy's zone with the least load, or any other if those have their fair load.
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
