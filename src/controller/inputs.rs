//! The inputs of the controller. They only update state; the next plan takes it into account.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Controller;
use crate::attempt_stats::AttemptStats;
use crate::load_shedding::ClassAdmission;
use crate::proxies::ProxyState;
use crate::slow_start::Stability;
use crate::state::EndpointState;
use crate::subsets::{Spillover, SubsetLayout, build_tables, placement_key};
use crate::thresholds::MIN_ADMISSION;
use crate::weight_reduction::MIN_WEIGHT_FACTOR;
use crate::{
    ClassId, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome, ProxyId, RecoveredEndpoint,
    TableId, ZoneId,
};

/// The endpoint list.
impl Controller {
    /// Records an update of the endpoint list to this version. `is_complete` is true if `records` are the
    /// complete list, so that all other endpoints are removed. Version 0 is the first, from which nothing was
    /// removed yet.
    pub fn update_endpoints(
        &mut self,
        now: Duration,
        is_complete: bool,
        version: u64,
        records: &[EndpointRecord],
    ) {
        self.list_changed_before_start |= self.endpoints.is_empty() && version > 0;
        self.plan_is_stale = true;
        if is_complete {
            self.record_unlisted(now, records);
        }
        if self.tables.is_empty() && !records.is_empty() {
            self.build_layout(records.len());
        }
        self.add_new(records);
        for record in records {
            self.earlier_ejections.record_change(record);
            self.update_record(now, record);
        }
    }

    /// Returns false if the settings ignore removals, so that removed endpoints keep their weight.
    fn removal_forbids_requests(&self) -> bool {
        !self.settings.rules.ignore_removals
    }

    /// Records the endpoints that a complete list no longer contains.
    fn record_unlisted(&mut self, now: Duration, records: &[EndpointRecord]) {
        let listed: BTreeSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        let is_unlisted = |endpoint: &EndpointId| !listed.contains(endpoint);
        self.earlier_ejections.record_removed(self.endpoints.keys().copied().filter(is_unlisted));
        if !self.removal_forbids_requests() {
            return;
        }
        for (_, state) in self.endpoints.iter_mut().filter(|(endpoint, _)| is_unlisted(endpoint)) {
            if !state.is_not_ready() {
                state.list_changed_at = Some(now);
            }
            state.record.status = EndpointStatus::Removed;
        }
    }

    fn build_layout(&mut self, endpoints: usize) {
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
        new.sort_by_key(|record| (placement_key(record), record.endpoint));
        for record in new {
            let subset = self.layout.subset_for_endpoint(&record, &self.endpoints);
            self.endpoints.insert(record.endpoint, EndpointState::new(record, subset));
        }
    }

    fn update_record(&mut self, now: Duration, record: &EndpointRecord) {
        if !self.removal_forbids_requests() && record.status == EndpointStatus::Removed {
            return;
        }
        let settle_time = self.settle_time();
        let checks_allowed = self.settings.health_checks_allowed;
        let window = self.settings.rules.slow_start_window;
        let Some(state) = self.endpoints.get_mut(&record.endpoint) else { return };
        let was_not_ready = state.is_not_ready();
        let was_out_of_use = state.health_check.is_unscheduled() || was_not_ready;
        state.record = *record;
        let started = state.record_start(now, record.age.unwrap_or(window), window);
        if started || state.is_not_ready() && !was_not_ready {
            state.list_changed_at = Some(now);
        }
        if started || was_out_of_use && !state.is_not_ready() {
            // The health described an earlier process. An endpoint that may not be checked counts as healthy.
            state.reset_health(now + settle_time, !checks_allowed);
            let timer = &mut state.health_check;
            self.health_checks.schedule_first(now, record.endpoint, timer, checks_allowed, &mut self.random);
        }
    }
}

/// Measurements.
impl Controller {
    /// Records that a health check ended at `now`, `elapsed` after its start.
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

    /// Records attempts that a proxy reports of an endpoint; `mean_latency` is that of the answered ones.
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
            state.unevaluated_attempts =
                AttemptStats::new(attempts, failed, mean_latency).add_scaled(state.unevaluated_attempts, 1.0);
        }
    }

    /// Records the number of requests of a class that a proxy received.
    pub fn record_requests(&mut self, proxy: ProxyId, class: ClassId, requests: u32) {
        let subset = self.proxies.get(proxy).and_then(|state| state.subset);
        for admission in self.admissions.iter_mut().filter(|admission| admission.class == class) {
            if subset == Some(self.tables[admission.table].subset) {
                admission.demand += f64::from(requests);
            }
        }
    }
}

/// Proxies and the channel to them.
impl Controller {
    /// Records that a proxy has attached. Unless `has_no_table`, it uses tables of an earlier controller and
    /// may have ejected endpoints on its own. `request_rate` is its usual rate, in requests per second.
    pub fn attach_proxy(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        zone: ZoneId,
        request_rate: f64,
        has_no_table: bool,
    ) {
        let subset = (self.layout.subsets == 1).then_some(0);
        self.proxies.attach(proxy, ProxyState::new(now, zone, request_rate, has_no_table, subset));
        self.plan_is_stale = true;
    }

    /// Records that a proxy has detached.
    pub fn detach_proxy(&mut self, proxy: ProxyId) {
        self.proxies.detach(proxy);
    }

    /// Sets the number of table entries that wait in the channel, if the host can count them. Entries to
    /// stalled proxies are included.
    pub fn set_queued_entries(&mut self, entries: usize) {
        self.channel.set_queued(entries as f64);
    }

    /// Records the number of messages and entries sent since the last call, if the host can count them.
    /// Returns the position to pass to [`Controller::record_acknowledged`] for each of these messages.
    pub fn record_sent(&mut self, messages: usize, entries: usize) -> f64 {
        let overhead = self.settings.fleet.message_overhead_entries;
        self.channel.record_sent(entries as f64 + messages as f64 * overhead)
    }

    /// Records the acknowledgement of a message with this many entries, sent at this position.
    pub fn record_acknowledged(&mut self, position: f64, entries: usize) {
        self.channel.record_acknowledged(position, entries as f64);
    }
}

/// Plans of the solver, and recovered state.
impl Controller {
    /// Sets the fraction of a class's requests, from 0 to 1, that the solver's plan has capacity for. No more
    /// are admitted, however fast the endpoints are.
    pub fn set_planned_admission(&mut self, class: ClassId, fraction: f64) {
        let class_admissions = self.admissions.iter_mut().filter(|admission| admission.class == class);
        class_admissions.for_each(|admission| admission.planned_rate = fraction);
    }

    /// Sets the solver's plan for one table: the fraction of its listed weight that each endpoint has there;
    /// other endpoints have none. If too few of them are healthy, the table falls back to all endpoints of
    /// the locality group with their listed weights.
    pub fn set_planned_weights(&mut self, table: TableId, fractions: BTreeMap<EndpointId, f64>) {
        if let Some(table) = self.tables.get_mut(table) {
            table.planned_weights = fractions;
        }
    }

    /// Recovers the persisted state of an endpoint, as far as it is still valid. An endpoint that was removed
    /// from the list since is included, as proxies may still use it.
    pub fn recover_endpoint(&mut self, now: Duration, recovered: RecoveredEndpoint) {
        let RecoveredEndpoint { record, weight_factor, slow_start, outlier_remaining } = recovered;
        let subset = self.layout.first_for_zone(record.zone);
        let Some(state) = self.endpoints.get_mut(&record.endpoint) else {
            if record.status == EndpointStatus::Removed && self.layout.subsets > 0 {
                self.endpoints.insert(record.endpoint, EndpointState::new(record, subset));
                self.plan_is_stale = true;
            }
            return;
        };
        state.weight_factor = state.weight_factor.min(weight_factor.max(MIN_WEIGHT_FACTOR));
        state.outlier_until = state.outlier_until.max(now + outlier_remaining);
        if let Some(slow_start) = slow_start
            && now + slow_start.remaining > state.warmed_up_at
        {
            state.started_at = now.saturating_sub(slow_start.age);
            state.warmed_up_at = now + slow_start.remaining;
        }
    }

    /// Recovers a persisted admission rate that is still valid.
    pub fn recover_admission(&mut self, class: ClassId, table: TableId, rate: f64) {
        let matches = |admission: &&mut ClassAdmission| admission.class == class && admission.table == table;
        for admission in self.admissions.iter_mut().filter(matches) {
            admission.rate = admission.rate.min(rate.max(MIN_ADMISSION));
        }
    }
}
