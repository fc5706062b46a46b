//! The weights that a table should hold: a pure function of the endpoint list, health and measurements.
//!
//! An endpoint that is up has its listed weight, times its slow-start factor and its load-based reduction;
//! any other has none. Where all look down, the last published weights stay, so that no proxy is left without
//! an endpoint. A subset that is too weak on its own takes in the others of its group, and a full one spills
//! over to one of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::startup_hold::MIN_HOLD;
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::Spillover;
use crate::thresholds::{
    COMFORTABLE_LOAD, HEALTHY_FAILURE_RATIO, HIGH_LATENCY_RATIO, SATURATED_LOAD, WEAK_FRACTION, round_to_step,
};
use crate::{EndpointId, RuleSettings};

/// What an endpoint that is warming up gets of its usual weight while its subset is unstable or slow, if it
/// reports headroom.
pub const CAUTIOUS_FRACTION: f64 = 0.5;
/// Where no report of the subset's attempts came, such an endpoint counts from this part of its slow start
/// on.
const MIN_SLOW_START_PROGRESS: f64 = 0.5;

/// An endpoint that a table may use.
pub struct Member<'a> {
    pub endpoint: EndpointId,
    pub state: &'a EndpointState,
}

/// What the weights of a table depend on.
pub struct WeightInputs<'a> {
    pub now: Duration,
    pub rules: &'a RuleSettings,
    pub table: &'a RoutingTable,
    /// All tables of its subset.
    pub subset_tables: &'a [RoutingTable],
    /// The endpoints of its locality group that its restriction allows.
    pub members: Vec<Member<'a>>,
    /// Whether its subset is unstable, so that endpoints that are warming up are at risk.
    pub unstable: bool,
    /// Whether some proxy is on the table.
    pub is_assigned: bool,
    /// What its subset sends elsewhere.
    pub spillover: Spillover,
}

/// The weight of every endpoint that the table may use, 0 for those that it should not.
pub fn desired_weights(inputs: &WeightInputs) -> BTreeMap<EndpointId, f64> {
    let weighting = Weighting { inputs, basis: inputs.basis() };
    let scope = weighting.scope();
    let spilled_fraction = weighting.spilled_fraction(scope);
    let weight = |member: &Member| match weighting.fraction_in(scope, member) {
        0.0 if spilled_fraction.is_some() && member.state.subset == inputs.spillover.target => {
            weighting.weight(member, spilled_fraction.unwrap_or(0.0).min(1.0))
        }
        0.0 => 0.0,
        fraction => weighting.weight(member, fraction),
    };
    inputs.members.iter().map(|member| (member.endpoint, weight(member))).collect()
}

/// What weights rest on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// Some endpoint is up: those that are down have no weight.
    Health,
    /// All look down, which is likelier to be wrong than true: the last published weights stay.
    LastPublished,
    /// All look down and nothing was published: as listed.
    Listed,
}

/// The endpoints that a table looks to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Those of its own subset, or those of its plan.
    Own,
    /// All of its locality group.
    Group,
}

impl WeightInputs<'_> {
    fn basis(&self) -> Basis {
        let usable = |member: &&Member| !member.state.is_not_ready() && self.full_weight(member.state) > 0.0;
        let mut usable_members = self.members.iter().filter(usable);
        if usable_members.any(|member| self.counts_as_up(member.state)) {
            return Basis::Health;
        }
        let is_published = |member: &Member| self.table.published_weight(member.endpoint) > 0.0;
        if self.is_assigned && self.members.iter().filter(usable).any(is_published) {
            Basis::LastPublished
        } else {
            Basis::Listed
        }
    }

    /// A table that had to be released early counts on all endpoints that are not known to be down.
    fn counts_as_up(&self, state: &EndpointState) -> bool {
        state.is_up() || !state.health.is_known() && self.now < MIN_HOLD
    }

    /// The listed weight as far as slow start allows, times a fraction.
    fn listed_weight(&self, state: &EndpointState, fraction: f64) -> f64 {
        let factor = state.slow_start_factor(self.now, self.rules.initial_weight_fraction);
        state.record.weight * round_to_step(factor * fraction)
    }

    fn full_weight(&self, state: &EndpointState) -> f64 {
        self.listed_weight(state, self.usable_fraction(state))
    }

    /// The fraction of its listed weight that an endpoint may have, slow start aside.
    fn usable_fraction(&self, state: &EndpointState) -> f64 {
        let when_warming = if self.is_safe(state) { 1.0 } else { self.cautious_fraction(state) };
        self.reduced_fraction(state) * when_warming
    }

    /// Whether the slow-start factor alone protects the endpoint.
    fn is_safe(&self, state: &EndpointState) -> bool {
        let checks_pass = !state.health.is_known() || state.health.is_saturated();
        !state.is_warming_up(self.now) || !self.unstable && checks_pass
    }

    /// What an endpoint that is warming up gets where it is at risk. It takes part where it reports headroom:
    /// a subset that is unstable for want of endpoints would else keep out those that it needs. Where many
    /// attempts fail, all may be retried at once, and would overload it before it reports so.
    fn cautious_fraction(&self, state: &EndpointState) -> f64 {
        let failures_are_few =
            self.table.failure_ratio.is_some_and(|failing| failing <= HEALTHY_FAILURE_RATIO);
        let has_progressed = self.table.failure_ratio.is_none()
            && state.slow_start_factor(self.now, 0.0) >= MIN_SLOW_START_PROGRESS;
        match state.load.filter(|_| state.health.is_saturated()) {
            Some(load)
                if failures_are_few
                    && load < COMFORTABLE_LOAD
                    && self.table.latency_ratio <= HIGH_LATENCY_RATIO =>
            {
                1.0
            }
            Some(load) if (failures_are_few || has_progressed) && load < SATURATED_LOAD => CAUTIOUS_FRACTION,
            _ => 0.0,
        }
    }

    /// Load-based reduction, and what is left to classes that may use few endpoints.
    fn reduced_fraction(&self, state: &EndpointState) -> f64 {
        if self.rules.fixed_weights {
            return 1.0;
        }
        let makes_room = !self.table.restriction.is_restricted() && self.is_needed_by_restricted(state);
        state.weight_factor * if makes_room { self.table.unreserved_fraction } else { 1.0 }
    }

    fn is_needed_by_restricted(&self, state: &EndpointState) -> bool {
        self.subset_tables
            .iter()
            .any(|table| table.restriction.is_restricted() && table.restriction.allows(&state.record))
    }
}

struct Weighting<'a> {
    inputs: &'a WeightInputs<'a>,
    basis: Basis,
}

impl Weighting<'_> {
    /// The weight of an endpoint of which the table uses this fraction.
    fn weight(&self, member: &Member, fraction: f64) -> f64 {
        let (inputs, state) = (self.inputs, member.state);
        if state.is_not_ready() {
            return 0.0;
        }
        match self.basis {
            Basis::Health if inputs.counts_as_up(state) => {
                inputs.listed_weight(state, inputs.usable_fraction(state) * fraction)
            }
            Basis::Health => 0.0,
            // Endpoints that have started since do not keep what they had before.
            Basis::LastPublished => {
                inputs.table.published_weight(member.endpoint).min(inputs.full_weight(state))
            }
            Basis::Listed => inputs.listed_weight(state, fraction),
        }
    }

    fn scope(&self) -> Scope {
        if self.strength(Scope::Own) >= WEAK_FRACTION * self.strength(Scope::Group) {
            Scope::Own
        } else {
            Scope::Group
        }
    }

    /// The fraction of an endpoint's weight that the table uses in this scope.
    fn fraction_in(&self, scope: Scope, member: &Member) -> f64 {
        let table = self.inputs.table;
        match (scope, table.planned_weights.get(&member.endpoint)) {
            (Scope::Group, _) => 1.0,
            (Scope::Own, Some(planned)) => *planned,
            (Scope::Own, None) => {
                let is_own = table.planned_weights.is_empty() && member.state.subset == table.subset;
                f64::from(is_own)
            }
        }
    }

    /// The weight that can serve in a scope, over the listed weight. Endpoints at risk count little: alone
    /// they would get the requests of all that the scope has lost.
    fn strength(&self, scope: Scope) -> f64 {
        let fractions = self.inputs.members.iter().map(|member| (member, self.fraction_in(scope, member)));
        let in_scope = fractions.filter(|(_, fraction)| *fraction > 0.0);
        let serving = in_scope.clone().filter(|(member, fraction)| self.weight(member, *fraction) > 0.0);
        let strength = |state: &EndpointState| {
            let counted = if self.inputs.is_safe(state) { 1.0 } else { CAUTIOUS_FRACTION };
            self.inputs.listed_weight(state, counted)
        };
        let sum: f64 = serving.map(|(member, fraction)| strength(member.state) * fraction).sum();
        let listed = in_scope.map(|(member, fraction)| member.state.record.weight * fraction);
        sum / listed.sum::<f64>().max(1e-9)
    }

    /// The fraction of the target's weight that a subset uses which spills over; `None` if it does not.
    fn spilled_fraction(&self, scope: Scope) -> Option<f64> {
        let Spillover { local_fraction, target } = self.inputs.spillover;
        let own_subset = self.inputs.table.subset;
        let spills =
            scope == Scope::Own && local_fraction < 1.0 && self.inputs.table.planned_weights.is_empty();
        spills.then(|| {
            (1.0 / local_fraction - 1.0) * self.subset_weight(own_subset)
                / self.subset_weight(target).max(1e-9)
        })
    }

    fn subset_weight(&self, subset: usize) -> f64 {
        let members = self.inputs.members.iter().filter(|member| member.state.subset == subset);
        members.map(|member| self.weight(member, 1.0)).sum()
    }
}
