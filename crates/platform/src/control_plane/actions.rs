//! Application of the controller's actions. Actions change published or assigned tables and mark the affected proxies
//! as pending, or become effects. Updates to proxies are sent in `updates`.

use lockcroft::{Action, ClassId, EndpointId, ProxyId, TableId};
use lockcroft_host::Admission;
use tracing::{debug, info};

use super::{ControlPlane, Effect};

impl ControlPlane {
    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::CheckHealth(endpoint) => self.check_health(endpoint),
            Action::SetWeight { table, endpoint, weight } => self.set_weight(table, endpoint, weight),
            Action::AssignTable { table, classes, proxy } => self.assign_table(table, classes, proxy),
            Action::Eject { endpoint } => self.eject(endpoint),
            Action::Restore { endpoint } => self.restore(endpoint),
            Action::SetAdmission { table, class, fraction, retry } => {
                self.set_admission(table, class, Admission { fraction, retry });
            }
            Action::RaiseEvent { endpoint, text } => {
                let endpoint = endpoint.map(|endpoint| self.endpoints.name(endpoint));
                info!(target: "lockcroft::event", endpoint, "{text}");
            }
        }
    }

    fn check_health(&mut self, endpoint: EndpointId) {
        let address = self.endpoints.address(endpoint);
        self.effects.extend(address.map(|address| Effect::CheckHealth { endpoint, address }));
    }

    fn set_weight(&mut self, table: TableId, endpoint: EndpointId, weight: f64) {
        let name = self.endpoints.name(endpoint);
        debug!(target: "lockcroft::action", table, endpoint = name, weight, "set weight");
        self.published.set_weight(table, endpoint, weight);
        self.mark_assigned_proxies(table);
    }

    fn assign_table(&mut self, table: TableId, classes: Vec<ClassId>, proxy: ProxyId) {
        debug!(target: "lockcroft::action", table, proxy, "assigned table");
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream.assign(table, classes);
            self.pending_proxies.insert(proxy);
        }
    }

    fn set_admission(&mut self, table: TableId, class: ClassId, admission: Admission) {
        let Admission { fraction, retry } = admission;
        debug!(target: "lockcroft::action", table, class, fraction, retry, "set admission");
        self.published.set_admission(table, class, admission);
        self.mark_assigned_proxies(table);
    }

    fn eject(&mut self, endpoint: EndpointId) {
        debug!(target: "lockcroft::action", endpoint = self.endpoints.name(endpoint), "ejected endpoint");
        self.published.set_ejected(endpoint, true);
        let class_count = self.names.classes.len();
        self.streams.values_mut().for_each(|stream| stream.eject(endpoint, class_count));
        self.pending_proxies.extend(self.streams.keys());
    }

    fn restore(&mut self, endpoint: EndpointId) {
        debug!(target: "lockcroft::action", endpoint = self.endpoints.name(endpoint), "restored endpoint");
        self.published.set_ejected(endpoint, false);
        self.streams.values_mut().for_each(|stream| stream.restore(endpoint));
        self.pending_proxies.extend(self.streams.keys());
    }

    /// Marks all proxies that are assigned to a table as pending.
    fn mark_assigned_proxies(&mut self, table: TableId) {
        let affected = self.streams.iter().filter(|(_, stream)| stream.has_table(table));
        self.pending_proxies.extend(affected.map(|(proxy, _)| *proxy));
    }
}
