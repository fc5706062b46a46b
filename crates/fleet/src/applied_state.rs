//! The state of one proxy as it reported and acknowledged it: the entries of its backends, its map of classes to
//! backends, and admission.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lockcroft::{ClassId, EndpointId, TableId};
use lockcroft_runtime_api::tables::{Digest, FORCED_DRAIN, FORCED_MAINT, StateRow, class_variable_name};

use crate::applied_entry::{AppliedEntry, Backend};
use crate::endpoint_list::EndpointList;
use crate::ledger_change::Change;

/// Admission of one class; a field is `None` until the proxy acknowledges it on this connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AppliedAdmission {
    /// The admitted fraction in thousandths.
    pub thousandths: Option<u32>,
    /// True if requests of the class may be retried.
    pub retry: Option<bool>,
}

/// The state of one proxy.
#[derive(Default)]
pub struct AppliedState {
    pub entries: BTreeMap<(Backend, EndpointId), AppliedEntry>,
    /// The names of backends at the proxy that are not tables of a controller; [`Backend::Other`] is an index.
    other_backends: Vec<String>,
    /// The backend of each class in the proxy's map.
    pub class_map: BTreeMap<ClassId, Backend>,
    pub admissions: BTreeMap<ClassId, AppliedAdmission>,
}

impl AppliedState {
    /// Builds the state from the responses to `show servers state` and `show map classes`. Assigns ids to unknown
    /// endpoint names; skips lines of the map that are incomplete or name an unknown class.
    pub fn parse(states: &[StateRow], map: &str, endpoints: &mut EndpointList, classes: &[String]) -> Self {
        let mut applied = AppliedState::default();
        for row in states {
            let endpoint = endpoints.intern(&row.endpoint);
            let backend = applied.backend(&row.backend);
            let in_maintenance = row.admin_state & (FORCED_MAINT | FORCED_DRAIN) != 0;
            let address = row.address.parse().ok().map(|ip| SocketAddr::new(ip, row.port));
            let entry = AppliedEntry { weight: row.weight, in_maintenance, address };
            applied.entries.insert((backend, endpoint), entry);
        }
        for line in map.lines() {
            let mut words = line.split_whitespace().skip(1);
            let (Some(class), Some(backend)) = (words.next(), words.next()) else { continue };
            let Some(class) = classes.iter().position(|name| name == class) else { continue };
            let backend = applied.backend(backend);
            applied.class_map.insert(class, backend);
        }
        applied
    }

    /// Returns the digest that the proxy reports if its state equals this one.
    pub fn digest(&self, endpoints: &EndpointList, classes: &[String]) -> i64 {
        let mut digest = Digest::default();
        self.digest_entries(endpoints, &mut digest);
        let class_map: BTreeMap<&str, Backend> =
            self.class_map.iter().map(|(class, backend)| (classes[*class].as_str(), *backend)).collect();
        for (class, backend) in class_map {
            digest.add_class(class, &self.backend_name(backend));
        }
        for (name, value) in self.admission_variables(classes) {
            digest.add_variable(&name, value);
        }
        digest.value()
    }

    /// Adds the entries in the order of their backend and endpoint names, as the proxy does.
    fn digest_entries(&self, endpoints: &EndpointList, digest: &mut Digest) {
        let mut entries: Vec<(String, &str, &AppliedEntry)> = Vec::with_capacity(self.entries.len());
        for ((backend, endpoint), entry) in &self.entries {
            entries.push((self.backend_name(*backend), endpoints.name(*endpoint), entry));
        }
        entries.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        for (backend, endpoint, entry) in entries {
            let address = entry.address_or_unspecified();
            digest.add_entry(&backend, endpoint, address, entry.weight, entry.in_maintenance);
        }
    }

    fn admission_variables(&self, classes: &[String]) -> BTreeMap<String, i64> {
        let mut variables = BTreeMap::new();
        for (class, admission) in &self.admissions {
            let name = |prefix: &str| class_variable_name(prefix, &classes[*class]);
            variables.extend(admission.thousandths.map(|value| (name("level"), i64::from(value))));
            variables.extend(admission.retry.map(|retry| (name("again"), i64::from(retry))));
        }
        variables
    }

    fn backend(&mut self, name: &str) -> Backend {
        if let Some(table) = table_id(name) {
            return Backend::Table(table);
        }
        let known = self.other_backends.iter().position(|other| other == name);
        let position = known.unwrap_or_else(|| {
            self.other_backends.push(name.into());
            self.other_backends.len() - 1
        });
        Backend::Other(position)
    }

    /// Returns the name of a backend at the proxy.
    pub fn backend_name(&self, backend: Backend) -> String {
        match backend {
            Backend::Table(table) => format!("t{table}"),
            Backend::Other(position) => self.other_backends[position].clone(),
        }
    }

    /// Returns true if no class is mapped to a table of a controller.
    pub fn has_no_table(&self) -> bool {
        !self.class_map.values().any(|backend| matches!(backend, Backend::Table(_)))
    }

    /// Applies the change of a command that the proxy acknowledged with this response.
    pub fn apply(&mut self, change: Change, response: &str) {
        match change {
            Change::AddEntry { backend, endpoint, entry } => {
                self.entries.insert((backend, endpoint), entry);
            }
            Change::SetWeight { backend, endpoint, weight } => {
                self.change_entry(backend, endpoint, |entry| entry.weight = weight);
            }
            Change::SetMaintenance { backend, endpoint, in_maintenance } => {
                self.change_entry(backend, endpoint, |entry| entry.in_maintenance = in_maintenance);
            }
            Change::SetAddress { backend, endpoint, address } => {
                self.change_entry(backend, endpoint, |entry| entry.address = Some(address));
            }
            // The proxy refuses to delete an entry with requests in flight; it remains in maintenance.
            Change::DeleteEntry { backend, endpoint } => {
                if response.starts_with("Server deleted") {
                    self.entries.remove(&(backend, endpoint));
                }
            }
            Change::MapClass { class, table, .. } => {
                self.class_map.insert(class, Backend::Table(table));
            }
            Change::SetAdmission { class, thousandths } => {
                self.admissions.entry(class).or_default().thousandths = Some(thousandths);
            }
            Change::SetRetry { class, retry } => {
                self.admissions.entry(class).or_default().retry = Some(retry);
            }
        }
    }

    fn change_entry(
        &mut self,
        backend: Backend,
        endpoint: EndpointId,
        change: impl FnOnce(&mut AppliedEntry),
    ) {
        if let Some(entry) = self.entries.get_mut(&(backend, endpoint)) {
            change(entry);
        }
    }
}

/// Returns the table whose backend has this name, or `None` if the backend is not a table.
pub fn table_id(backend: &str) -> Option<TableId> {
    backend.strip_prefix('t')?.parse().ok()
}
