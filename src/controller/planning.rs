//! Plans: collects the inputs of weights and updates, and orders the updates to send, the most urgent first.

use std::time::Duration;

use super::Controller;
use crate::load_shedding::ClassAdmission;
use crate::proxies::Recipients;
use crate::publish::{PendingUpdate, PlanInputs, Priority, UnassignedProxies, assignments, order_updates};
use crate::startup_hold::HoldConditions;
use crate::state::EndpointState;
use crate::thresholds::TICK_INTERVAL;
use crate::weights::{Member, WeightInputs, desired_weights};
use crate::{EndpointId, TableId};

impl Controller {
    /// Replaces the pending updates by a new plan: changed admission rates, followed by all other updates in
    /// the order of [`order_updates`].
    pub(super) fn plan(&mut self, now: Duration) {
        self.release_tables(now);
        for table in 0..self.tables.len() {
            self.tables[table].desired = desired_weights(&self.weight_inputs(now, table));
        }
        let publishing = std::mem::take(&mut self.publishing);
        let inputs = self.plan_inputs(now);
        let mut updates = if publishing { inputs.changed_admissions() } else { Vec::new() };
        let entries = inputs.changed_entries(publishing);
        let ejections = inputs.changed_ejections(&self.unassigned_proxies());
        if entries.iter().any(|pending| pending.priority == Priority::Common) {
            self.next_publication = now + self.publication_interval();
        }
        let mut ranked = entries;
        ranked.extend(self.assignments());
        updates.extend(order_updates(now, ranked, ejections));
        self.pending = updates.into();
        self.deferred_due = None;
    }

    fn plan_inputs(&self, now: Duration) -> PlanInputs<'_> {
        PlanInputs {
            now,
            tables: &self.tables,
            admissions: &self.admissions,
            endpoints: &self.endpoints,
            startup_hold: self.tables.iter().any(|table| !table.released),
        }
    }

    fn assignments(&mut self) -> Vec<PendingUpdate> {
        let expected_proxies = self.settings.fleet.proxies.unwrap_or(0.0);
        assignments(&mut self.proxies, &self.layout, &self.tables, &self.endpoints, expected_proxies)
    }

    /// Returns the time between two publications of common updates that keeps them within their fraction of
    /// the limit on messages.
    fn publication_interval(&self) -> Duration {
        let fleet = &self.settings.fleet;
        let common_messages = fleet.max_messages * Priority::Common.limit_fraction();
        TICK_INTERVAL.max(fleet.message_window.div_f64(common_messages))
    }

    /// Ends the start-up hold of each table whose conditions are met.
    fn release_tables(&mut self, now: Duration) {
        let drain_grace = self.settings.rules.drain_grace.filter(|_| self.list_changed_before_start);
        let conditions = HoldConditions::new(now, drain_grace, &self.endpoints);
        for index in 0..self.tables.len() {
            let table = &self.tables[index];
            if table.released {
                continue;
            }
            let table_endpoints = self.endpoints.values().filter(|state| self.layout.may_use(table, state));
            let Some(reason) = conditions.release_reason(table_endpoints) else { continue };
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

    /// Returns the admissions of the classes that use a table.
    pub(super) fn admissions_at(&self, table: TableId) -> impl Iterator<Item = &ClassAdmission> {
        self.admissions.iter().filter(move |admission| admission.table == table)
    }

    /// Returns the newest attachment generation of a proxy that may still use tables of an earlier
    /// controller; 0 if there is none. Comparing it with the generation that an ejection was sent to avoids
    /// sending the ejection again to all proxies whenever one attaches.
    pub(super) fn newest_unassigned_generation(&self) -> u64 {
        self.proxies.newest_generation(self.unassigned())
    }

    fn unassigned_proxies(&self) -> UnassignedProxies {
        UnassignedProxies::new(self.proxies.attachments(self.unassigned()))
    }

    /// Returns the proxies that lack tables and so may still use those of an earlier controller.
    fn unassigned(&self) -> Recipients {
        Recipients::OnFewerTables { than: self.layout.tables_per_subset, attached_after: 0 }
    }
}
