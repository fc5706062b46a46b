//! The controller: takes inputs in, and gives out the actions that follow.
//!
//! A host makes one [`Controller`] an instance and calls the method named for what happened (`update_endpoints`,
//! `health_check_finished`, `attach_proxy`, ...), which only updates state. It then pulls [`Controller::next_action`]
//! until there is none, and comes back at [`Controller::next_due`]. Once a tick, and at news that cannot wait, a plan of
//! updates is made; updates are sent from its top as far as the rate limit allows, and the next plan
//! replaces what is left. What each mechanism decides stands in its own module.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::attempt_stats::AttemptStats;
use crate::health::HealthCheckSchedule;
use crate::load_shedding::{ClassAdmission, adjust_admission, mean_latency_objective, update_table_latency};
use crate::outlier::OutlierCriteria;
use crate::proxies::{ProxySet, ProxyState, Recipients};
use crate::publish::{PendingUpdate, PlanInputs, Priority, Update, assignments};
use crate::random::Random;
use crate::rate_limit::{Reservation, UpdateChannel};
use crate::slow_start::Stability;
use crate::startup_hold::HoldConditions;
use crate::state::{EndpointState, RoutingTable, Snapshot};
use crate::subsets::{Spillover, SubsetLayout, build_tables, dealing_key, update_spillover};
use crate::thresholds::{HEALTHY_FAILURE_RATIO, HIGH_LATENCY_RATIO, MIN_ADMISSION, TICK_INTERVAL};
use crate::weight_reduction::MIN_WEIGHT_FACTOR;
use crate::weights::{Member, WeightInputs, desired_weights};
use crate::{
    Action, ClassId, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome, ProxyId,
    RecoveredEndpoint, Settings, TableId, ZoneId,
};

/// The fraction of earlier attempts that stays in the recent sums at each evaluation.
const ATTEMPTS_KEPT: f64 = 0.3;
/// The fraction of earlier requests that stays in a class's demand at each evaluation.
const DEMAND_KEPT: f64 = 0.9;
/// Reports tell of a change after this many report periods and the way of a message.
const SETTLE_PERIODS: f64 = 1.5;

/// One controller instance: all state that decisions rest on.
pub struct Controller {
    settings: Settings,
    random: Random,
    layout: SubsetLayout,
    tables: Vec<RoutingTable>,
    /// Sorted by value density, least first.
    admissions: Vec<ClassAdmission>,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    proxies: ProxySet,
    channel: UpdateChannel,
    health_checks: HealthCheckSchedule,
    stability: Stability,
    /// By subset.
    spillover: Vec<Spillover>,
    /// The endpoint list changed before this start.
    list_is_not_first: bool,
    /// Actions that need no capacity in the channel.
    ready: VecDeque<Action>,
    /// What is still to be sent of the last plan.
    pending: VecDeque<PendingUpdate>,
    /// Whether something happened that asks for another plan.
    plan_is_stale: bool,
    /// Whether the next plan includes common updates.
    publishing: bool,
    next_tick: Duration,
    next_evaluation: Duration,
    /// When common updates may go out again.
    next_publication: Duration,
    /// Admission rates rest until then, for reports to tell what they changed.
    next_admission_change: Duration,
}

impl Controller {
    /// An instance that knows nothing yet. Two with the same settings, seed and inputs act alike.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            settings,
            random: Random::new(seed),
            layout: SubsetLayout::default(),
            tables: Vec::new(),
            admissions: Vec::new(),
            endpoints: BTreeMap::new(),
            proxies: ProxySet::default(),
            channel: UpdateChannel::default(),
            health_checks: HealthCheckSchedule::default(),
            stability: Stability::default(),
            spillover: Vec::new(),
            list_is_not_first: false,
            ready: VecDeque::new(),
            pending: VecDeque::new(),
            plan_is_stale: false,
            publishing: false,
            next_tick: Duration::ZERO,
            next_evaluation: Duration::ZERO,
            next_publication: Duration::ZERO,
            next_admission_change: Duration::ZERO,
        }
    }

    /// What is believed of each endpoint, the tables as desired and published, and what is admitted.
    pub fn snapshot(&self) -> Snapshot<'_> {
        Snapshot { endpoints: &self.endpoints, tables: &self.tables, admissions: &self.admissions }
    }
}

/// Inputs: the endpoint list.
impl Controller {
    /// The endpoint list is at this version; `full` says that the records are all of it. Version 0 is the first: nothing was
    /// ever taken off it.
    pub fn update_endpoints(&mut self, now: Duration, full: bool, version: u64, records: &[EndpointRecord]) {
        self.list_is_not_first |= self.endpoints.is_empty() && version > 0;
        self.plan_is_stale = true;
        if full && self.removal_binds() {
            self.remove_unlisted(records);
        }
        if self.tables.is_empty() && !records.is_empty() {
            self.lay_out(records.len());
        }
        self.add_new(records);
        for record in records {
            self.update_record(now, record);
        }
    }

    /// Where only draining forbids requests, a list that calls endpoints removed takes nothing from them.
    fn removal_binds(&self) -> bool {
        !self.settings.rules.only_draining_binds
    }

    fn remove_unlisted(&mut self, records: &[EndpointRecord]) {
        let listed: BTreeSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        for (_, state) in self.endpoints.iter_mut().filter(|(endpoint, _)| !listed.contains(endpoint)) {
            state.record.status = EndpointStatus::Removed;
        }
    }

    fn lay_out(&mut self, endpoints: usize) {
        self.layout = SubsetLayout::new(&self.settings, endpoints);
        (self.tables, self.admissions) = build_tables(&self.settings, &mut self.layout);
        self.stability = Stability::new(self.layout.subsets);
        self.spillover = vec![Spillover::none(); self.layout.subsets];
    }

    fn add_new(&mut self, records: &[EndpointRecord]) {
        let is_new = |record: &&EndpointRecord| {
            record.status != EndpointStatus::Removed && !self.endpoints.contains_key(&record.endpoint)
        };
        let mut new: Vec<EndpointRecord> = records.iter().filter(is_new).copied().collect();
        new.sort_by_key(|record| (dealing_key(record), record.endpoint));
        for record in new {
            let subset = self.layout.subset_for_endpoint(&record, &self.endpoints);
            self.endpoints.insert(record.endpoint, EndpointState::new(record, subset));
        }
    }

    fn update_record(&mut self, now: Duration, record: &EndpointRecord) {
        if !self.removal_binds() && record.status == EndpointStatus::Removed {
            return;
        }
        let settle_time = self.settle_time();
        let allowed = self.settings.health_checks_allowed;
        let window = self.settings.rules.slow_start_window;
        let Some(state) = self.endpoints.get_mut(&record.endpoint) else { return };
        let was_out = state.check.is_new() || state.is_not_ready();
        state.record = *record;
        let started = state.record_start(now, record.age.unwrap_or(window), window);
        if started || was_out && !state.is_not_ready() {
            // A new process has a health of its own. Where health checks are not allowed, all have passed them.
            state.reset_health(now + settle_time, !allowed);
            let timer = &mut state.check;
            self.health_checks.plan_first(now, record.endpoint, timer, allowed, &mut self.random);
        }
    }
}

/// Inputs: measurements.
impl Controller {
    /// A health check ended after `elapsed`.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        outcome: HealthCheckOutcome,
        elapsed: Duration,
    ) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            self.health_checks.record_outcome(now, state, outcome, elapsed, &mut self.random);
        }
    }

    /// Proxies report their attempts at an endpoint; `mean_latency` is that of the answered ones.
    pub fn record_attempts(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        attempts: u32,
        failed: u32,
        mean_latency: Duration,
    ) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        if now >= state.reports_valid_from {
            state.unevaluated =
                AttemptStats::new(attempts, failed, mean_latency).plus(state.unevaluated, 1.0);
        }
    }

    /// A proxy reports the requests of a class that came to it.
    pub fn record_requests(&mut self, proxy: ProxyId, class: ClassId, requests: u32) {
        let subset = self.proxies.get(proxy).and_then(|state| state.subset);
        for admission in self.admissions.iter_mut().filter(|admission| admission.class == class) {
            if subset == Some(self.tables[admission.table].subset) {
                admission.demand += f64::from(requests);
            }
        }
    }
}

/// Inputs: proxies and the channel to them.
impl Controller {
    /// A proxy has attached. Its tables are those of an earlier controller, unless `has_no_table`; it may have ejected what
    /// failed it. `request_rate` is what it usually has, in requests a second.
    pub fn attach_proxy(&mut self, proxy: ProxyId, zone: ZoneId, request_rate: f64, has_no_table: bool) {
        let subset = (self.layout.subsets == 1).then_some(0);
        self.proxies.attach(proxy, ProxyState::new(zone, request_rate, has_no_table, subset));
        self.plan_is_stale = true;
    }

    /// A proxy has detached.
    pub fn detach_proxy(&mut self, proxy: ProxyId) {
        self.proxies.detach(proxy);
    }

    /// This many table entries wait in the channel, where the host can tell; a proxy that has stalled takes none.
    pub fn set_queued_entries(&mut self, entries: usize) {
        self.channel.set_queued(entries as f64);
    }

    /// This many messages with this many entries went out since the last call, where the host can tell. Gives the
    /// position to name when one of them is acknowledged.
    pub fn record_sent(&mut self, messages: usize, entries: usize) -> f64 {
        let overhead = self.settings.fleet.message_overhead_entries;
        self.channel.record_sent(entries as f64 + messages as f64 * overhead)
    }

    /// A message with this many entries, sent at this position, was acknowledged.
    pub fn record_acknowledged(&mut self, position: f64, entries: usize) {
        self.channel.record_acknowledged(position, entries as f64);
    }
}

/// Inputs: plans made ahead and state of before this start.
impl Controller {
    /// A plan made ahead has capacity for this fraction of a class's requests; no more is admitted, however fast its endpoints are.
    pub fn set_planned_fraction(&mut self, class: ClassId, fraction: f64) {
        let of_class = self.admissions.iter_mut().filter(|admission| admission.class == class);
        of_class.for_each(|admission| admission.planned_rate = fraction);
    }

    /// A plan made ahead for one table: the fraction of its listed weight that each endpoint has there, none for those not
    /// named. Where too few of them are healthy, all of the locality group stand in, as listed.
    pub fn set_planned_weights(&mut self, table: TableId, fractions: BTreeMap<EndpointId, f64>) {
        if let Some(table) = self.tables.get_mut(table) {
            table.planned_weights = fractions;
        }
    }

    /// Takes in what was known of an endpoint before this start and is still valid. An endpoint that was removed since is
    /// named here, as proxies may still use it.
    pub fn recover_endpoint(&mut self, now: Duration, recovered: RecoveredEndpoint) {
        let RecoveredEndpoint { record, weight_factor, slow_start, outlier_for } = recovered;
        let subset = self.layout.first_for_zone(record.zone);
        let Some(state) = self.endpoints.get_mut(&record.endpoint) else {
            if record.status == EndpointStatus::Removed && self.layout.subsets > 0 {
                self.endpoints.insert(record.endpoint, EndpointState::new(record, subset));
                self.plan_is_stale = true;
            }
            return;
        };
        state.weight_factor = state.weight_factor.min(weight_factor.max(MIN_WEIGHT_FACTOR));
        state.outlier_until = state.outlier_until.max(now + outlier_for);
        if let Some(slow_start) = slow_start
            && now + slow_start.remaining > state.warmed_up_at
        {
            state.started_at = now.saturating_sub(slow_start.age);
            state.warmed_up_at = now + slow_start.remaining;
        }
    }

    /// Takes in an admission rate of before this start that is still valid.
    pub fn recover_admission(&mut self, class: ClassId, table: TableId, rate: f64) {
        let is_meant = |admission: &&mut ClassAdmission| admission.class == class && admission.table == table;
        for admission in self.admissions.iter_mut().filter(is_meant) {
            admission.rate = admission.rate.min(rate.max(MIN_ADMISSION));
        }
    }
}

/// Outputs.
impl Controller {
    /// When [`Controller::next_action`] has to be called at the latest.
    pub fn next_due(&self) -> Duration {
        self.health_checks.next_due().map_or(self.next_tick, |due| self.next_tick.min(due))
    }

    /// The next action that is due, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        self.advance_time(now);
        if std::mem::take(&mut self.plan_is_stale) {
            self.plan(now);
        }
        while let Some(pending) = self.pending.pop_front() {
            if self.is_already_ejected(pending.update) {
                continue;
            }
            let action = self.apply(now, pending);
            if action.is_some() {
                return action;
            }
            self.keep_pending_behind(pending);
        }
        self.ready.pop_front()
    }

    /// All proxies that an ejection is for may have been told since the plan was made.
    fn is_already_ejected(&self, update: Update) -> bool {
        let Update::Eject(endpoint) = update else { return false };
        self.endpoints[&endpoint].ejected_up_to_generation >= self.newest_unassigned()
    }

    /// Updates are sent from the top: what ranks no higher than one that had to wait waits as well, but for proxies that
    /// need a table.
    fn keep_pending_behind(&mut self, waiting: PendingUpdate) {
        let is_assignment = |update: Update| matches!(update, Update::AssignTable(..));
        let one_proxy_waits = is_assignment(waiting.update);
        self.pending.retain(|pending| {
            one_proxy_waits || pending.priority > waiting.priority || is_assignment(pending.update)
        });
    }

    fn advance_time(&mut self, now: Duration) {
        let started = self.health_checks.start_due(now, &mut self.endpoints, &mut self.random);
        self.ready.extend(started.into_iter().map(Action::CheckHealth));
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.plan_is_stale = true;
        if now >= self.next_evaluation {
            self.next_evaluation = now + self.settings.fleet.report_period.max(TICK_INTERVAL);
            self.evaluate_reports(now);
        }
        self.publishing |= now >= self.next_publication;
    }

    fn raise_event(&mut self, endpoint: Option<EndpointId>, text: String) {
        self.ready.push_back(Action::RaiseEvent { endpoint, text });
    }
}

/// Evaluation of reports, once a report period.
impl Controller {
    fn evaluate_reports(&mut self, now: Duration) {
        let subsets = self.evaluate_endpoints(now);
        let admission_may_change = now >= self.next_admission_change;
        let initial_fraction = self.settings.rules.initial_weight_fraction;
        update_spillover(&mut self.spillover, &self.layout, &self.endpoints, now, initial_fraction);
        let objective = mean_latency_objective(&self.admissions);
        update_table_latency(&mut self.tables, &self.endpoints, objective);
        for (subset, evaluated) in subsets.into_iter().enumerate() {
            if admission_may_change {
                let tables = self.layout.tables_of(subset);
                adjust_admission(&mut self.admissions, &mut self.tables, tables);
            }
            let sheds = self.sheds_load(subset);
            if sheds && admission_may_change {
                self.next_admission_change = now + self.settle_time();
            }
            if sheds || !evaluated.is_healthy() {
                self.mark_unstable(now, subset);
            }
        }
    }

    /// Moves the health and weight factor of each endpoint; gives what its evaluation showed of each subset.
    fn evaluate_endpoints(&mut self, now: Duration) -> Vec<EvaluatedSubset> {
        let latency_objective = mean_latency_objective(&self.admissions);
        let criteria = OutlierCriteria {
            now,
            settle_time: self.settle_time(),
            health_checks_allowed: self.settings.health_checks_allowed,
        };
        let subsets = self.unevaluated_by_subset();
        self.admissions.iter_mut().for_each(|admission| admission.demand *= DEMAND_KEPT);
        for (endpoint, state) in &mut self.endpoints {
            let seen = std::mem::take(&mut state.unevaluated);
            state.recent = seen.plus(state.recent, ATTEMPTS_KEPT);
            let subset = subsets[state.subset];
            if let Some(text) = state.evaluate_attempts(seen, subset, &criteria) {
                self.ready.push_back(Action::RaiseEvent { endpoint: Some(*endpoint), text });
            }
            state.adjust_weight_factor(subset, latency_objective);
        }
        subsets.into_iter().map(|attempts| EvaluatedSubset { attempts, latency_objective }).collect()
    }

    fn unevaluated_by_subset(&self) -> Vec<AttemptStats> {
        let mut subsets = vec![AttemptStats::default(); self.layout.subsets];
        for state in self.endpoints.values().filter(|state| state.is_up()) {
            subsets[state.subset] = state.unevaluated.plus(subsets[state.subset], 1.0);
        }
        subsets
    }

    fn sheds_load(&self, subset: usize) -> bool {
        self.admissions
            .iter()
            .any(|admission| admission.rate < 1.0 && self.tables[admission.table].subset == subset)
    }

    fn mark_unstable(&mut self, now: Duration, subset: usize) {
        self.stability.mark_unstable(now, subset, self.settings.rules.slow_start_window);
    }

    /// Reports tell of a change after this time.
    fn settle_time(&self) -> Duration {
        let fleet = &self.settings.fleet;
        fleet.report_period.mul_f64(SETTLE_PERIODS) + fleet.message_delay
    }
}

/// What the attempts since the last evaluation showed of a subset.
struct EvaluatedSubset {
    attempts: AttemptStats,
    latency_objective: f64,
}

impl EvaluatedSubset {
    fn is_healthy(&self) -> bool {
        self.attempts.attempts >= 1.0
            && self.attempts.failure_ratio() <= HEALTHY_FAILURE_RATIO
            && self.attempts.latency_ratio(self.latency_objective) <= HIGH_LATENCY_RATIO
    }
}

/// Plans: what should be sent, the most urgent first.
impl Controller {
    fn plan(&mut self, now: Duration) {
        self.release_tables(now);
        for table in 0..self.tables.len() {
            self.tables[table].desired = desired_weights(&self.weight_inputs(now, table));
        }
        let publishing = std::mem::take(&mut self.publishing);
        let inputs = self.plan_inputs(now);
        let mut updates = if publishing { inputs.changed_admissions() } else { Vec::new() };
        let entries = inputs.changed_entries(publishing);
        let ejections = inputs.changed_ejections(self.newest_unassigned());
        if entries.iter().any(|pending| pending.priority == Priority::Common) {
            self.next_publication = now + self.publication_interval();
        }
        updates.extend(entries);
        updates.extend(self.assignments());
        updates.extend(ejections);
        self.pending = updates.into();
    }

    fn plan_inputs(&self, now: Duration) -> PlanInputs<'_> {
        PlanInputs {
            now,
            tables: &self.tables,
            admissions: &self.admissions,
            endpoints: &self.endpoints,
            start_up_hold: self.tables.iter().any(|table| !table.released),
        }
    }

    fn assignments(&mut self) -> Vec<PendingUpdate> {
        let expected_proxies = self.settings.fleet.proxies.unwrap_or(0.0);
        assignments(&mut self.proxies, &self.layout, &self.tables, &self.endpoints, expected_proxies)
    }

    /// This far apart, common updates leave capacity within the limit on messages.
    fn publication_interval(&self) -> Duration {
        let fleet = &self.settings.fleet;
        let common_messages = fleet.max_messages * Priority::Common.limit_fraction();
        TICK_INTERVAL.max(fleet.message_window.div_f64(common_messages))
    }

    /// Ends the start-up hold of each table for which it is time.
    fn release_tables(&mut self, now: Duration) {
        let drain_grace = self.settings.rules.drain_grace.filter(|_| self.list_is_not_first);
        let conditions = HoldConditions::new(now, drain_grace, &self.endpoints);
        for index in 0..self.tables.len() {
            let table = &self.tables[index];
            if table.released {
                continue;
            }
            let usable = self.endpoints.values().filter(|state| self.layout.may_use(table, state));
            let Some(reason) = conditions.release_reason(usable) else { continue };
            let names: Vec<&str> =
                self.admissions_at(index).map(|admission| admission.name.as_str()).collect();
            let text = format!("{}: table released, {reason}", names.join(", "));
            self.raise_event(None, text);
            self.tables[index].released = true;
            self.publishing = true;
        }
    }

    fn weight_inputs(&self, now: Duration, table: TableId) -> WeightInputs<'_> {
        let subset = self.tables[table].subset;
        let is_member =
            |(_, state): &(&EndpointId, &EndpointState)| self.layout.may_use(&self.tables[table], state);
        let members = self.endpoints.iter().filter(is_member);
        WeightInputs {
            now,
            rules: &self.settings.rules,
            table: &self.tables[table],
            subset_tables: &self.tables[self.layout.tables_of(subset)],
            members: members.map(|(endpoint, state)| Member { endpoint: *endpoint, state }).collect(),
            unstable: self.stability.is_unstable(now, subset),
            is_assigned: self.proxies.count(Recipients::OnTable(table)) > 0,
            spillover: self.spillover[subset],
        }
    }

    fn admissions_at(&self, table: TableId) -> impl Iterator<Item = &ClassAdmission> {
        self.admissions.iter().filter(move |admission| admission.table == table)
    }

    /// The newest attachment generation of a proxy that may still hold tables of an earlier controller; 0 if none does. Only those
    /// that were not told of an ejection count: where many attach one by one, each would else be told for all.
    fn newest_unassigned(&self) -> u64 {
        let unassigned = Recipients::OnFewerTables { than: self.layout.tables_per_subset, attached_after: 0 };
        self.proxies.newest_generation(unassigned)
    }
}

/// Applies updates of a plan, as far as the rate limit allows.
impl Controller {
    /// The action for an update, if the channel has capacity for it.
    fn apply(&mut self, now: Duration, pending: PendingUpdate) -> Option<Action> {
        let PendingUpdate { priority, update } = pending;
        match update {
            Update::Eject(endpoint) => self.apply_ejection(now, priority, endpoint),
            Update::Restore(endpoint) => self.apply_restoration(now, priority, endpoint),
            Update::SetWeight(table, endpoint) => self.apply_weight(now, priority, table, endpoint),
            Update::SetAdmission { admission, fraction } => {
                self.apply_admission(now, priority, admission, fraction)
            }
            Update::AssignTable(table, proxy) => self.apply_assignment(now, priority, table, proxy),
        }
    }

    #[must_use]
    fn try_reserve(
        &mut self,
        now: Duration,
        priority: Priority,
        entries: usize,
        recipients: Recipients,
    ) -> bool {
        let reservation = Reservation { entries, recipients, priority };
        self.channel.try_reserve(&mut self.proxies, &self.settings.fleet, now, reservation)
    }

    fn apply_ejection(&mut self, now: Duration, priority: Priority, endpoint: EndpointId) -> Option<Action> {
        let attached_after = self.endpoints[&endpoint].ejected_up_to_generation;
        let untold = Recipients::OnFewerTables { than: self.layout.tables_per_subset, attached_after };
        if !self.try_reserve(now, priority, 1, untold) {
            return None;
        }
        let state = self.endpoints.get_mut(&endpoint)?;
        state.ejected = true;
        state.ejected_up_to_generation = self.proxies.latest_generation();
        Some(Action::Eject { endpoint })
    }

    fn apply_restoration(
        &mut self,
        now: Duration,
        priority: Priority,
        endpoint: EndpointId,
    ) -> Option<Action> {
        if !self.try_reserve(now, priority, 1, Recipients::ALL) {
            return None;
        }
        let state = self.endpoints.get_mut(&endpoint)?;
        state.ejected = false;
        state.ejected_up_to_generation = 0;
        Some(Action::Restore { endpoint })
    }

    fn apply_weight(
        &mut self,
        now: Duration,
        priority: Priority,
        table: TableId,
        endpoint: EndpointId,
    ) -> Option<Action> {
        if !self.try_reserve(now, priority, 1, Recipients::OnTable(table)) {
            return None;
        }
        let weight = self.tables[table].desired_weight(endpoint);
        self.tables[table].published.insert(endpoint, weight);
        Some(Action::SetWeight { table, endpoint, weight })
    }

    fn apply_admission(
        &mut self,
        now: Duration,
        priority: Priority,
        admission: usize,
        fraction: f64,
    ) -> Option<Action> {
        let ClassAdmission { table, class, .. } = self.admissions[admission];
        if !self.try_reserve(now, priority, 1, Recipients::OnTable(table)) {
            return None;
        }
        let latency_ratio = self.tables[table].latency_ratio;
        let admission = &mut self.admissions[admission];
        if admission.published.replace(fraction).is_some_and(|before| before != fraction) {
            let percent = fraction * 100.0;
            let name = &admission.name;
            let text = format!("{name}: {percent:.0}% in, late by {latency_ratio:.1} contract times");
            self.raise_event(None, text);
        }
        Some(Action::SetAdmission { table, class, fraction, retry: fraction >= 1.0 })
    }

    fn apply_assignment(
        &mut self,
        now: Duration,
        priority: Priority,
        table: TableId,
        proxy: ProxyId,
    ) -> Option<Action> {
        let entries = self.tables[table].published_entries();
        if entries == 0 {
            return None;
        }
        let classes: Vec<ClassId> = self.admissions_at(table).map(|admission| admission.class).collect();
        let has_no_table = self.proxies.get(proxy).is_some_and(|state| state.has_no_table);
        // Ejections that the proxy keeps from an earlier controller are ended with the entry that restores the endpoint.
        let keeps_ejections = !has_no_table && self.settings.fleet.keeps_ejections;
        let restorations = if keeps_ejections { entries } else { 0 };
        let cost = 1 + classes.len() + entries + restorations;
        if !self.try_reserve(now, priority, cost, Recipients::Proxy(proxy)) {
            return None;
        }
        self.proxies.assign(proxy, table);
        if !has_no_table && self.proxies_eject() {
            self.mark_unstable(now, self.tables[table].subset);
        }
        Some(Action::AssignTable { table, classes, proxy })
    }

    /// Whether proxies eject endpoints on their own.
    fn proxies_eject(&self) -> bool {
        self.settings.fleet.proxy_ejection_threshold.is_some_and(|attempts| attempts > 0.0)
    }
}
