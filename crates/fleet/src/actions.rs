//! Execution of the actions of the decisions: changes the published state and marks what proxies have to be sent.

use std::time::Duration;

use lockcroft::{Action, ClassId, EndpointId, ProxyId, TableId};
use lockcroft_host::Admission;
use tracing::{debug, info};

use crate::effect::Effect;
use crate::fleet_controller::FleetController;
use crate::proxy_ledger::ProxyLedger;

impl FleetController {
    pub(crate) fn execute(&mut self, now: Duration, action: Action) {
        match action {
            Action::CheckHealth(endpoint) => self.check_health(endpoint),
            Action::SetWeight { table, endpoint, weight } => self.set_weight(now, table, endpoint, weight),
            Action::AssignTable { table, classes, proxy } => self.assign_table(now, table, &classes, proxy),
            Action::Eject { endpoint } => self.set_ejected(now, endpoint, true),
            Action::Restore { endpoint } => self.set_ejected(now, endpoint, false),
            Action::SetAdmission { table, class, fraction, retry } => {
                self.set_admission(now, table, class, Admission { fraction, retry });
            }
            Action::RaiseEvent { endpoint, text } => self.raise_event(endpoint, text),
        }
    }

    /// Requests a health check; an endpoint that is off the list has no address, and is not checked.
    fn check_health(&mut self, endpoint: EndpointId) {
        self.totals.health_checks += 1;
        if let Some(address) = self.endpoints.address(endpoint) {
            self.effects.push_back(Effect::CheckHealth { endpoint, address });
        }
    }

    fn set_weight(&mut self, now: Duration, table: TableId, endpoint: EndpointId, weight: f64) {
        self.published.set_weight(table, endpoint, weight);
        self.log_action(&format!("t{table}: {} weighs {weight}", self.endpoints.name(endpoint)));
        self.files.mark_entry(now, table, endpoint);
        let decided = self.decided_at(now);
        self.update_ledgers_of(table, |ledger| ledger.mark_entry(table, endpoint, decided));
    }

    fn assign_table(&mut self, now: Duration, table: TableId, classes: &[ClassId], proxy: ProxyId) {
        self.log_action(&format!("t{table}: assigned to proxy {}", self.sessions[proxy].config.name));
        if !self.sessions[proxy].is_attached() {
            return;
        }
        self.attached_by_table.entry(table).or_default().insert(proxy);
        if self.files.is_reader(proxy) {
            self.files.assign_table(now, proxy, table, classes);
            return;
        }
        let decided = self.decided_at(now);
        self.sessions[proxy].ledger.assign_table(table, classes, &self.published, decided);
        self.update_queue.insert(proxy);
    }

    fn set_ejected(&mut self, now: Duration, endpoint: EndpointId, ejected: bool) {
        self.published.set_ejected(endpoint, ejected);
        let verb = if ejected { "eject" } else { "restore" };
        self.log_action(&format!("{verb} {}", self.endpoints.name(endpoint)));
        self.files.mark_ejection(now, endpoint);
        let decided = self.decided_at(now);
        self.update_all_ledgers(|ledger| ledger.mark_ejection(endpoint, decided));
    }

    fn set_admission(&mut self, now: Duration, table: TableId, class: ClassId, admission: Admission) {
        let Admission { fraction, retry } = admission;
        self.published.set_admission(table, class, admission);
        let name = &self.names.classes[class];
        let retries = if retry { ", with retries" } else { "" };
        self.log_action(&format!("t{table}: {name} admission rate {fraction}{retries}"));
        self.files.mark_admission(now, table, class);
        let decided = self.decided_at(now);
        self.update_ledgers_of(table, |ledger| ledger.mark_admission(table, class, decided));
    }

    fn raise_event(&mut self, endpoint: Option<EndpointId>, text: String) {
        let text = match endpoint {
            Some(endpoint) => format!("{} {text}", self.endpoints.name(endpoint)),
            None => text,
        };
        info!(target: "lockcroft::event", wave = self.batch, "{text}");
        self.add_event(&format!("event: {text}"));
    }

    fn log_action(&mut self, text: &str) {
        debug!(target: "lockcroft::action", wave = self.batch, "{text}");
        self.add_event(text);
    }

    /// Updates the ledgers of all proxies that take commands.
    fn update_all_ledgers(&mut self, mut update: impl FnMut(&mut ProxyLedger)) {
        for (proxy, session) in self.sessions.iter_mut().enumerate() {
            if session.takes_commands() {
                update(&mut session.ledger);
                self.update_queue.insert(proxy);
            }
        }
    }

    /// Updates the ledgers of the proxies to which a table is assigned. They are looked up by table, because they are
    /// few in a large fleet.
    fn update_ledgers_of(&mut self, table: TableId, mut update: impl FnMut(&mut ProxyLedger)) {
        for proxy in self.attached_by_table.get(&table).into_iter().flatten() {
            if !self.files.is_reader(*proxy) {
                update(&mut self.sessions[*proxy].ledger);
                self.update_queue.insert(*proxy);
            }
        }
    }
}
