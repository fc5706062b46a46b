//! Generates the commands that change the routing state to a snapshot read from table files. They are executed
//! like any other batch of commands: as a whole, and between requests.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft_runtime_api::Command;
use lockcroft_runtime_api::tables::class_variable_name;
use lockcroft_table_format::{ProxyAssignment, Table, TableEntry as SnapshotEntry};
use lockcroft_table_store::ProxySnapshot;

use crate::routing::{ADMISSION_VARIABLE, Backend, RETRY_VARIABLE, RoutingState, TableEntry};

/// Turns successive snapshots into commands.
#[derive(Clone, Debug, Default)]
pub struct SnapshotCommands {
    /// The endpoints ejected by the snapshot from which the current tables come. They stay ejected, together with
    /// those of the latest snapshot, as long as a later controller has not assigned tables to the proxy.
    ejected_with_tables: BTreeSet<String>,
}

impl SnapshotCommands {
    /// Returns the commands that change the current state to a snapshot; none if they do not differ.
    pub fn commands(&mut self, state: &RoutingState, snapshot: &ProxySnapshot) -> Vec<Command> {
        let ejected = self.ejected(snapshot);
        let mut commands = CommandWriter { commands: Vec::new(), ejected: &ejected };
        for (number, table) in &snapshot.tables {
            let name = table_name(*number);
            commands.write_table(&name, state.backends.get(&name).map(|backend| &**backend), table);
        }
        for (class, assignment) in &snapshot.assignments {
            commands.write_class(state, class, assignment);
        }
        let table_names: BTreeSet<String> = snapshot.tables.keys().copied().map(table_name).collect();
        for (name, backend) in state.backends.iter().filter(|(name, _)| !table_names.contains(*name)) {
            // Nothing else deletes tables that are no longer assigned to any class.
            if !snapshot.assignments.is_empty() && name.starts_with('t') {
                commands.delete_entries(name, backend);
            } else {
                commands.write_ejections(name, backend);
            }
        }
        commands.commands
    }

    /// Returns the endpoints ejected by this snapshot and by the one from which the current tables come.
    fn ejected(&mut self, snapshot: &ProxySnapshot) -> BTreeSet<String> {
        if snapshot.assignments.is_empty() {
            return self.ejected_with_tables.union(&snapshot.ejected).cloned().collect();
        }
        self.ejected_with_tables.clone_from(&snapshot.ejected);
        snapshot.ejected.clone()
    }
}

fn table_name(number: impl std::fmt::Display) -> String {
    format!("t{number}")
}

/// Generates commands; `ejected` has the names of the endpoints to eject in all tables.
struct CommandWriter<'a> {
    commands: Vec<Command>,
    ejected: &'a BTreeSet<String>,
}

impl CommandWriter<'_> {
    fn push(&mut self, words: &[&str]) {
        let words = words.iter().map(|word| (*word).to_string()).collect();
        self.commands.push(Command { words, payload: None });
    }

    fn set_ejected(&mut self, path: &str, ejected: bool) {
        self.push(&["set", "server", path, "state", if ejected { "maint" } else { "ready" }]);
    }

    fn delete(&mut self, path: &str) {
        self.set_ejected(path, true);
        self.push(&["del", "server", path]);
    }

    fn write_table(&mut self, name: &str, backend: Option<&Backend>, table: &Table) {
        let current: BTreeMap<&str, &TableEntry> = backend
            .into_iter()
            .flat_map(|backend| backend.entries())
            .map(|entry| (&*entry.name, entry))
            .collect();
        for (endpoint, wanted) in &table.entries {
            let path = format!("{name}/{endpoint}");
            let ejected = self.ejected.contains(endpoint);
            match current.get(endpoint.as_str()) {
                Some(entry) => self.change_entry(&path, entry, wanted, ejected),
                None => self.add_entry(&path, wanted, ejected),
            }
        }
        for (endpoint, entry) in current {
            if !table.entries.contains_key(endpoint) {
                self.drain_or_delete(&format!("{name}/{endpoint}"), entry);
            }
        }
    }

    fn add_entry(&mut self, path: &str, wanted: &SnapshotEntry, ejected: bool) {
        let (address, weight) = (wanted.address.to_string(), wanted.weight.to_string());
        self.push(&["add", "server", path, &address, "weight", &weight]);
        // New entries are in maintenance.
        if !ejected {
            self.set_ejected(path, false);
        }
    }

    fn change_entry(&mut self, path: &str, entry: &TableEntry, wanted: &SnapshotEntry, ejected: bool) {
        if entry.address != wanted.address {
            let (ip, port) = (wanted.address.ip().to_string(), wanted.address.port().to_string());
            self.push(&["set", "server", path, "addr", &ip, "port", &port]);
        }
        if entry.weight != wanted.weight {
            self.push(&["set", "server", path, "weight", &wanted.weight.to_string()]);
        }
        if entry.is_not_ready() != ejected {
            self.set_ejected(path, ejected);
        }
    }

    /// Removes an entry in two steps, so that attempts in flight at it stay counted: sets its weight to 0, and
    /// deletes it with a later snapshot once it has no attempts in flight.
    fn drain_or_delete(&mut self, path: &str, entry: &TableEntry) {
        if entry.weight > 0 {
            self.push(&["set", "server", path, "weight", "0"]);
        } else if entry.in_flight() == 0 {
            self.delete(path);
        }
    }

    fn write_class(&mut self, state: &RoutingState, class: &str, assignment: &ProxyAssignment) {
        self.write_class_variable(
            state,
            ADMISSION_VARIABLE,
            class,
            i64::from(assignment.admission_per_mille),
        );
        self.write_class_variable(state, RETRY_VARIABLE, class, i64::from(assignment.allows_retries));
        let table = table_name(assignment.table);
        if state.class_map.get(class) != Some(&table) {
            let action = if state.class_map.contains_key(class) { "set" } else { "add" };
            self.push(&[action, "map", "classes", class, &table]);
        }
    }

    fn write_class_variable(&mut self, state: &RoutingState, prefix: &str, class: &str, value: i64) {
        let name = class_variable_name(prefix, class);
        if state.variables.get(&name) != Some(&value) {
            self.push(&["set", "var", &name, &format!("int({value})")]);
        }
    }

    fn delete_entries(&mut self, name: &str, backend: &Backend) {
        for entry in backend.entries() {
            self.delete(&format!("{name}/{}", entry.name));
        }
    }

    /// Ejects and restores entries of a table that is not part of the snapshot.
    fn write_ejections(&mut self, name: &str, backend: &Backend) {
        for entry in backend.entries() {
            let ejected = self.ejected.contains(&*entry.name);
            if entry.is_not_ready() != ejected {
                self.set_ejected(&format!("{name}/{}", entry.name), ejected);
            }
        }
    }
}
