//! Applies the updates of a plan as far as the rate limit allows. Published state changes only here.

use std::time::Duration;

use super::Controller;
use crate::load_shedding::ClassAdmission;
use crate::proxies::Recipients;
use crate::publish::{PendingUpdate, Update};
use crate::rate_limit::{NoCapacity, Reservation};
use crate::{Action, ClassId, EndpointId, ProxyId, TableId};

impl Controller {
    /// Applies an update and returns its action, or the reason why the channel has no capacity for it.
    pub(super) fn apply(&mut self, now: Duration, pending: PendingUpdate) -> Result<Action, NoCapacity> {
        match pending.update {
            Update::Eject(endpoint) => self.apply_ejection(now, pending, endpoint),
            Update::Restore(endpoint) => self.apply_restoration(now, pending, endpoint),
            Update::SetWeight(table, endpoint) => self.apply_weight(now, pending, table, endpoint),
            Update::SetAdmission { admission, fraction } => {
                self.apply_admission(now, pending, admission, fraction)
            }
            Update::AssignTable(table, proxy) => self.apply_assignment(now, pending, table, proxy),
        }
    }

    fn try_reserve(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        entries: usize,
        recipients: Recipients,
    ) -> Result<(), NoCapacity> {
        let PendingUpdate { priority, pending_since, .. } = pending;
        let reservation = Reservation { entries, recipients, priority, pending_since };
        self.channel.try_reserve(&mut self.proxies, &self.settings.fleet, now, reservation)
    }

    fn apply_ejection(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        endpoint: EndpointId,
    ) -> Result<Action, NoCapacity> {
        let attached_after = self.endpoints[&endpoint].ejected_up_to_generation;
        let not_yet_notified =
            Recipients::OnFewerTables { than: self.layout.tables_per_subset, attached_after };
        self.try_reserve(now, pending, 1, not_yet_notified)?;
        let state = self.endpoints.get_mut(&endpoint).ok_or(NoCapacity::ForUpdate)?;
        state.ejected = true;
        state.ejected_up_to_generation = self.proxies.latest_generation();
        Ok(Action::Eject { endpoint })
    }

    fn apply_restoration(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        endpoint: EndpointId,
    ) -> Result<Action, NoCapacity> {
        self.try_reserve(now, pending, 1, Recipients::ALL)?;
        let state = self.endpoints.get_mut(&endpoint).ok_or(NoCapacity::ForUpdate)?;
        state.ejected = false;
        state.ejected_up_to_generation = 0;
        Ok(Action::Restore { endpoint })
    }

    fn apply_weight(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        table: TableId,
        endpoint: EndpointId,
    ) -> Result<Action, NoCapacity> {
        let weight = self.tables[table].desired_weight(endpoint);
        let is_new_entry = weight > 0.0 && self.tables[table].published_weight(endpoint) == 0.0;
        let restorations = usize::from(is_new_entry && self.is_restored_with_entry(endpoint));
        self.try_reserve(now, pending, 1 + restorations, Recipients::OnTable(table))?;
        self.tables[table].published.insert(endpoint, weight);
        Ok(Action::SetWeight { table, endpoint, weight })
    }

    fn apply_admission(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        admission: usize,
        fraction: f64,
    ) -> Result<Action, NoCapacity> {
        let ClassAdmission { table, class, .. } = self.admissions[admission];
        self.try_reserve(now, pending, 1, Recipients::OnTable(table))?;
        let latency_ratio = self.tables[table].latency_ratio;
        let admission = &mut self.admissions[admission];
        if admission.published.replace(fraction).is_some_and(|previous| previous != fraction) {
            let percent = fraction * 100.0;
            let name = &admission.name;
            let text = format!("{name}: admission rate {percent:.0}%, latency ratio {latency_ratio:.1}");
            self.raise_event(None, text);
        }
        Ok(Action::SetAdmission { table, class, fraction, retry: fraction >= 1.0 })
    }

    fn apply_assignment(
        &mut self,
        now: Duration,
        pending: PendingUpdate,
        table: TableId,
        proxy: ProxyId,
    ) -> Result<Action, NoCapacity> {
        let entries = self.tables[table].published_entries();
        if entries == 0 {
            return Err(NoCapacity::ForUpdate);
        }
        let classes: Vec<ClassId> = self.admissions_at(table).map(|admission| admission.class).collect();
        let acknowledgement = self.settings.fleet.acknowledgement_entries;
        let cost = 1 + classes.len() + entries + self.entries_to_restore(table) + acknowledgement;
        self.try_reserve(now, pending, cost, Recipients::Proxy(proxy))?;
        self.proxies.assign(proxy, table);
        let has_no_table = self.proxies.get(proxy).is_some_and(|state| state.has_no_table);
        if !has_no_table && self.proxies_eject_endpoints() {
            self.mark_unstable(now, self.tables[table].subset);
        }
        Ok(Action::AssignTable { table, classes, proxy })
    }

    /// Returns the number of entries of a table that are sent with a restoration of their endpoint.
    fn entries_to_restore(&self, table: TableId) -> usize {
        let published = self.tables[table].published.iter().filter(|(_, weight)| **weight > 0.0);
        published.filter(|(endpoint, _)| self.is_restored_with_entry(**endpoint)).count()
    }

    /// Returns true if the message that first sends an entry of this endpoint on a stream also restores the
    /// endpoint, as the proxy may keep an ejection from an earlier controller.
    fn is_restored_with_entry(&self, endpoint: EndpointId) -> bool {
        self.settings.fleet.keeps_ejections && self.may_be_ejected(endpoint)
    }

    /// Returns true if proxies eject endpoints on their own.
    fn proxies_eject_endpoints(&self) -> bool {
        self.settings.fleet.proxy_ejection_threshold.is_some_and(|attempts| attempts > 0.0)
    }
}
