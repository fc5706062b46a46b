//! The desired weights of a table: a pure function of the endpoint list, health and measurements.
//!
//! An endpoint that is up has its listed weight, times its slow-start factor and its load-based weight
//! factor; any other has none. If all endpoints look down, the last published weights stay, so that no proxy
//! is left without an endpoint. A subset that is too weak alone also uses the other subsets of its locality
//! group, and a saturated one spills over to one of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::startup_hold::MIN_HOLD;
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::Spillover;
use crate::thresholds::{
    COMFORTABLE_LOAD, HEALTHY_FAILURE_RATIO, HIGH_LATENCY_RATIO, SATURATED_LOAD, WEAK_FRACTION, round_to_step,
};
use crate::{EndpointId, RuleSettings};

/// Fraction of its usual weight that an endpoint that is warming up and reports headroom gets while its
/// subset is unstable or slow.
pub const CAUTIOUS_FRACTION: f64 = 0.5;
/// Progress of its slow start from which such an endpoint is used if no attempts in its subset were reported.
const MIN_SLOW_START_PROGRESS: f64 = 0.5;

/// An endpoint that a table may use.
pub struct Member<'a> {
    pub endpoint: EndpointId,
    pub state: &'a EndpointState,
}

/// The inputs of the desired weights of one table.
pub struct WeightInputs<'a> {
    pub now: Duration,
    pub rules: &'a RuleSettings,
    pub table: &'a RoutingTable,
    /// All tables of its subset.
    pub subset_tables: &'a [RoutingTable],
    /// The endpoints of its locality group that its restriction allows.
    pub members: Vec<Member<'a>>,
    /// True if its subset is unstable, so that endpoints that are warming up are at risk of overload.
    pub unstable: bool,
    /// True if the table is assigned to some proxy.
    pub is_assigned: bool,
    /// The spillover of its subset.
    pub spillover: Spillover,
}

/// Returns the weight of every endpoint that the table may use; 0 for those that must get no requests.
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

/// The basis on which weights are calculated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// Some endpoint is up; those that are down have no weight.
    Health,
    /// All endpoints look down, which is probably an error; the last published weights stay.
    LastPublished,
    /// All endpoints look down and no weights were published; all have their listed weights.
    Listed,
}

/// The set of endpoints that a table uses.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// The endpoints of its own subset, or those of the solver's plan if there is one.
    Own,
    /// All endpoints of its locality group.
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

    /// Returns true if the endpoint is up, or unknown before the minimum start-up hold is over: a table that
    /// is released early uses all endpoints that are not known to be down.
    fn counts_as_up(&self, state: &EndpointState) -> bool {
        state.is_up() || !state.health.is_known() && self.now < MIN_HOLD
    }

    /// Returns the listed weight times the slow-start factor and a fraction.
    fn listed_weight(&self, state: &EndpointState, fraction: f64) -> f64 {
        let factor = state.slow_start_factor(self.now, self.rules.initial_weight_fraction);
        state.record.weight * round_to_step(factor * fraction)
    }

    /// Returns the weight of an endpoint that counts as up.
    fn full_weight(&self, state: &EndpointState) -> f64 {
        self.listed_weight(state, self.usable_fraction(state))
    }

    /// Returns the fraction of its listed weight that an endpoint may have, apart from the slow-start factor.
    fn usable_fraction(&self, state: &EndpointState) -> f64 {
        let slow_start_limit = if self.is_safe(state) { 1.0 } else { self.cautious_fraction(state) };
        self.reduced_fraction(state) * slow_start_limit
    }

    /// Returns true if the slow-start factor alone protects the endpoint from overload.
    fn is_safe(&self, state: &EndpointState) -> bool {
        let checks_pass = !state.health.is_known() || state.health.is_saturated();
        !state.is_warming_up(self.now) || !self.unstable && checks_pass
    }

    /// Returns the fraction for an endpoint that is warming up and at risk. It is used if it reports
    /// headroom; otherwise, a subset that is unstable because it lacks endpoints would exclude those that it
    /// needs. If many attempts fail, it is not used, as they may all be retried immediately and overload
    /// it before it reports so.
    fn cautious_fraction(&self, state: &EndpointState) -> f64 {
        let few_failures = self.table.failure_ratio.is_some_and(|failing| failing <= HEALTHY_FAILURE_RATIO);
        let has_minimum_progress = self.table.failure_ratio.is_none()
            && state.slow_start_factor(self.now, 0.0) >= MIN_SLOW_START_PROGRESS;
        match state.load.filter(|_| state.health.is_saturated()) {
            Some(load)
                if few_failures
                    && load < COMFORTABLE_LOAD
                    && self.table.latency_ratio <= HIGH_LATENCY_RATIO =>
            {
                1.0
            }
            Some(load) if (few_failures || has_minimum_progress) && load < SATURATED_LOAD => {
                CAUTIOUS_FRACTION
            }
            _ => 0.0,
        }
    }

    /// Returns the load-based weight factor, reduced further if weight is reserved for restricted classes.
    fn reduced_fraction(&self, state: &EndpointState) -> f64 {
        if self.rules.fixed_weights {
            return 1.0;
        }
        let reserves_weight = !self.table.restriction.is_restricted() && self.is_needed_by_restricted(state);
        state.weight_factor * if reserves_weight { self.table.unreserved_fraction } else { 1.0 }
    }

    /// Returns true if a restricted table of the subset may use the endpoint.
    fn is_needed_by_restricted(&self, state: &EndpointState) -> bool {
        self.subset_tables
            .iter()
            .any(|table| table.restriction.is_restricted() && table.restriction.allows(&state.record))
    }
}

/// The calculation of the weights of one table.
struct Weighting<'a> {
    inputs: &'a WeightInputs<'a>,
    basis: Basis,
}

impl Weighting<'_> {
    /// Returns the weight of an endpoint of which the table uses this fraction.
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
            // An endpoint that has restarted since does not keep its earlier weight.
            Basis::LastPublished => {
                inputs.table.published_weight(member.endpoint).min(inputs.full_weight(state))
            }
            Basis::Listed => inputs.listed_weight(state, fraction),
        }
    }

    /// Returns the own scope, unless it is too weak compared with the whole group.
    fn scope(&self) -> Scope {
        if self.strength(Scope::Own) >= WEAK_FRACTION * self.strength(Scope::Group) {
            Scope::Own
        } else {
            Scope::Group
        }
    }

    /// Returns the fraction of an endpoint's weight that the table uses in this scope.
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

    /// Returns the usable weight of a scope over its listed weight. Endpoints at risk count less, as they
    /// would otherwise get the requests of all endpoints that the scope has lost.
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

    /// Returns the fraction of the weight of the spillover target that the table uses; `None` without
    /// spillover.
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

    /// Returns the sum of the weights of a subset's endpoints.
    fn subset_weight(&self, subset: usize) -> f64 {
        let members = self.inputs.members.iter().filter(|member| member.state.subset == subset);
        members.map(|member| self.weight(member, 1.0)).sum()
    }
}
