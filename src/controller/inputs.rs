//! What happened, taken into state. Nothing is sent here: the next plan sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Controller;
use crate::attempt_stats::AttemptStats;
use crate::load_shedding::ClassAdmission;
use crate::proxies::ProxyState;
use crate::slow_start::Stability;
use crate::state::EndpointState;
use crate::subsets::{Spillover, SubsetLayout, build_tables, dealing_key};
use crate::thresholds::MIN_ADMISSION;
use crate::weight_reduction::MIN_WEIGHT_FACTOR;
use crate::{
    ClassId, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome, ProxyId, RecoveredEndpoint,
    TableId, ZoneId,
};

/// The endpoint list.
impl Controller {
    /// The endpoint list is at this version; `full` says that the records are all of it. Version 0 is the
    /// first: nothing was ever taken off it.
    pub fn update_endpoints(&mut self, now: Duration, full: bool, version: u64, records: &[EndpointRecord]) {
        self.list_is_not_first |= self.endpoints.is_empty() && version > 0;
        self.plan_is_stale = true;
        if full && self.removal_binds() {
            self.remove_unlisted(now, records);
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
        !self.settings.rules.ignore_removals
    }

    fn remove_unlisted(&mut self, now: Duration, records: &[EndpointRecord]) {
        let listed: BTreeSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        for (_, state) in self.endpoints.iter_mut().filter(|(endpoint, _)| !listed.contains(endpoint)) {
            if !state.is_not_ready() {
                state.list_changed_at = Some(now);
            }
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
        let was_not_ready = state.is_not_ready();
        let was_out = state.health_check.is_unscheduled() || was_not_ready;
        state.record = *record;
        let started = state.record_start(now, record.age.unwrap_or(window), window);
        if started || state.is_not_ready() && !was_not_ready {
            state.list_changed_at = Some(now);
        }
        if started || was_out && !state.is_not_ready() {
            // A new process has a health of its own. Where health checks are not allowed, all have passed
            // them.
            state.reset_health(now + settle_time, !allowed);
            let timer = &mut state.health_check;
            self.health_checks.schedule_first(now, record.endpoint, timer, allowed, &mut self.random);
        }
    }
}

/// Measurements.
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
            state.unevaluated_attempts =
                AttemptStats::new(attempts, failed, mean_latency).add_scaled(state.unevaluated_attempts, 1.0);
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

/// Proxies and the channel to them.
impl Controller {
    /// A proxy has attached. Its tables are those of an earlier controller, unless `has_no_table`; it may
    /// have ejected what failed it. `request_rate` is what it usually has, in requests a second.
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

    /// A proxy has detached.
    pub fn detach_proxy(&mut self, proxy: ProxyId) {
        self.proxies.detach(proxy);
    }

    /// This many table entries wait in the channel, where the host can tell; a proxy that has stalled takes
    /// none.
    pub fn set_queued_entries(&mut self, entries: usize) {
        self.channel.set_queued(entries as f64);
    }

    /// This many messages with this many entries went out since the last call, where the host can tell. Gives
    /// the position to name when one of them is acknowledged.
    pub fn record_sent(&mut self, messages: usize, entries: usize) -> f64 {
        let overhead = self.settings.fleet.message_overhead_entries;
        self.channel.record_sent(entries as f64 + messages as f64 * overhead)
    }

    /// A message with this many entries, sent at this position, was acknowledged.
    pub fn record_acknowledged(&mut self, position: f64, entries: usize) {
        self.channel.record_acknowledged(position, entries as f64);
    }
}

/// Plans made ahead, and state of before this start.
impl Controller {
    /// A plan made ahead has capacity for this fraction of a class's requests; no more is admitted, however
    /// fast its endpoints are.
    pub fn set_planned_admission(&mut self, class: ClassId, fraction: f64) {
        let of_class = self.admissions.iter_mut().filter(|admission| admission.class == class);
        of_class.for_each(|admission| admission.planned_rate = fraction);
    }

    /// A plan made ahead for one table: the fraction of its listed weight that each endpoint has there, none
    /// for those not named. Where too few of them are healthy, all of the locality group stand in, as listed.
    pub fn set_planned_weights(&mut self, table: TableId, fractions: BTreeMap<EndpointId, f64>) {
        if let Some(table) = self.tables.get_mut(table) {
            table.planned_weights = fractions;
        }
    }

    /// Takes in what was known of an endpoint before this start and is still valid. An endpoint that was
    /// removed since is named here, as proxies may still use it.
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

    /// Takes in an admission rate of before this start that is still valid.
    pub fn recover_admission(&mut self, class: ClassId, table: TableId, rate: f64) {
        let is_meant = |admission: &&mut ClassAdmission| admission.class == class && admission.table == table;
        for admission in self.admissions.iter_mut().filter(is_meant) {
            admission.rate = admission.rate.min(rate.max(MIN_ADMISSION));
        }
    }
}
