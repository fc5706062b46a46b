//! What a proxy's tables held at each version, worked out again from the commands and snapshots that passed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft_testbed::{AnsweredCommand, AppliedTable, ClassTable};

/// The table that a proxy starts with, by the name that it has in commands.
const DEFAULT_TABLE: &str = "standing";
const FULL_WEIGHT: u32 = 256;

/// A table's entry as the commands left it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Entry {
    weight: u32,
    /// Draining or ejected: it gets no requests whatever its weight.
    not_ready: bool,
}

impl Entry {
    fn can_be_picked(&self) -> bool {
        self.weight > 0 && !self.not_ready
    }
}

/// A state that a table was in.
#[derive(Clone, Debug)]
struct TableVersion {
    table: String,
    version: u64,
    /// Weights of the entries that could be picked, by endpoint.
    weights: BTreeMap<String, u32>,
}

/// One proxy, followed by what passed on its sockets.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    tables: BTreeMap<String, BTreeMap<String, Entry>>,
    /// Every state that a table was in, with the version that brought it about; a proxy that restarts counts versions
    /// anew.
    history: Vec<TableVersion>,
    /// Where in the history the proxy's present process begins.
    incarnation_start: usize,
    version: u64,
    class_tables: BTreeMap<String, String>,
    /// Ejected by the controller whose tables the proxy holds, where it reads files.
    ejected: BTreeSet<String>,
    open_streams: usize,
    stalled: bool,
    /// Since when it follows a controller: a control stream is open and not stalled.
    pub attached_since: Option<Duration>,
}

impl ObservedState {
    /// The proxy started with this default table.
    pub fn start(&mut self, endpoints: &[String], classes: &[String]) {
        let entry = |name: &String| (name.clone(), Entry { weight: FULL_WEIGHT, not_ready: false });
        let default_table = endpoints.iter().map(entry).collect();
        self.tables = BTreeMap::from([(DEFAULT_TABLE.into(), default_table)]);
        self.version = 0;
        self.incarnation_start = self.history.len();
        self.ejected.clear();
        self.remember_all();
        self.class_tables = classes.iter().map(|class| (class.clone(), DEFAULT_TABLE.into())).collect();
    }

    /// A control stream was opened or closed.
    pub fn control_stream(&mut self, at: Duration, open: bool) {
        self.open_streams = if open { self.open_streams + 1 } else { self.open_streams.saturating_sub(1) };
        self.update_attached(at);
    }

    /// The control stream was stalled, or goes on.
    pub fn set_stalled(&mut self, at: Duration, stalled: bool) {
        self.stalled = stalled;
        self.update_attached(at);
    }

    fn update_attached(&mut self, at: Duration) {
        let attached = self.open_streams > 0 && !self.stalled;
        self.attached_since = if attached { self.attached_since.or(Some(at)) } else { None };
    }

    /// An update with its answers; it changes something only if all of it was carried out.
    pub fn apply_update(&mut self, commands: &[AnsweredCommand]) {
        if commands.iter().all(|answered| is_success(&answered.answer)) {
            commands.iter().for_each(|answered| self.apply_command(&answered.command));
            self.version += 1;
            self.remember_changed();
        }
    }

    /// A snapshot of the table files. Without an assignment of a class the tables stay, and its ejections come to those
    /// before.
    pub fn apply_snapshot(
        &mut self,
        version: u64,
        tables: &[AppliedTable],
        class_tables: &[ClassTable],
        ejected: &[String],
    ) {
        let mut not_ready: BTreeSet<String> = ejected.iter().cloned().collect();
        if class_tables.is_empty() {
            not_ready.extend(self.ejected.iter().cloned());
        } else {
            self.ejected.clone_from(&not_ready);
            self.replace_tables(tables);
            let assignments = class_tables.iter().map(|of| (of.class.clone(), of.table.clone()));
            self.class_tables.extend(assignments);
        }
        for (endpoint, entry) in self.tables.values_mut().flatten() {
            entry.not_ready = not_ready.contains(endpoint);
        }
        if version > 0 {
            self.version = version;
            self.remember_all();
        }
    }

    fn replace_tables(&mut self, tables: &[AppliedTable]) {
        self.tables.retain(|name, _| name == DEFAULT_TABLE);
        for table in tables {
            let entries = table.entries.iter();
            let entries =
                entries.map(|of| (of.endpoint.clone(), Entry { weight: of.weight, not_ready: false }));
            self.tables.insert(table.name.clone(), entries.collect());
        }
    }

    /// Remembers the tables that are not as they were last.
    fn remember_changed(&mut self) {
        self.remember(|last, weights| last.is_none_or(|last| last.weights != *weights));
    }

    /// Remembers all tables: entries that can't be picked may have come or gone, which makes a version too.
    fn remember_all(&mut self) {
        self.remember(|_, _| true);
    }

    fn remember(&mut self, wanted: impl Fn(Option<&TableVersion>, &BTreeMap<String, u32>) -> bool) {
        for (name, entries) in &self.tables {
            let pickable = entries.iter().filter(|(_, entry)| entry.can_be_picked());
            let weights: BTreeMap<String, u32> =
                pickable.map(|(endpoint, entry)| (endpoint.clone(), entry.weight)).collect();
            let last = self.history[self.incarnation_start..].iter().rev().find(|past| past.table == *name);
            if wanted(last, &weights) {
                self.history.push(TableVersion { table: name.clone(), version: self.version, weights });
            }
        }
    }

    /// The states that a table was in at this version, named as `t0@17`; a restarted proxy may repeat a version.
    fn states_at<'a>(&'a self, table_version: &str) -> impl Iterator<Item = &'a TableVersion> {
        let parts = table_version.split_once('@');
        let name_and_version = parts.and_then(|(name, version)| Some((name, version.parse::<u64>().ok()?)));
        self.history.iter().filter(move |past| {
            name_and_version.is_some_and(|(name, version)| past.table == name && past.version == version)
        })
    }

    /// Whether the table at this version, as `t0@17`, has an entry for the endpoint that can be picked.
    #[must_use]
    pub fn could_pick(&self, table_version: &str, endpoint: &str) -> bool {
        self.states_at(table_version).any(|state| state.weights.contains_key(endpoint))
    }

    /// The weights of a table's entries at this version, if it was in one such state only.
    #[must_use]
    pub fn weights(&self, table_version: &str) -> Option<&BTreeMap<String, u32>> {
        let mut states = self.states_at(table_version);
        let first = states.next()?;
        states.next().is_none().then_some(&first.weights)
    }

    /// Whether some class has no entry that can be picked.
    #[must_use]
    pub fn lacks_endpoint(&self) -> bool {
        self.class_tables.values().any(|table| {
            let entries = self.tables.get(table);
            !entries.is_some_and(|entries| entries.values().any(Entry::can_be_picked))
        })
    }

    fn apply_command(&mut self, command: &str) {
        let words: Vec<&str> = command.split(' ').collect();
        match words[..] {
            ["add", "server", path, _, "weight", weight] => {
                let entry = Entry { weight: weight.parse().unwrap_or(0), not_ready: true };
                let EntryPath { table, endpoint } = EntryPath::from(path);
                self.tables.entry(table).or_default().insert(endpoint, entry);
            }
            ["del", "server", path] => {
                let EntryPath { table, endpoint } = EntryPath::from(path);
                self.tables.entry(table).or_default().remove(&endpoint);
            }
            ["set", "server", path, "weight", weight] => {
                self.change_entry(path, |entry| entry.weight = weight.parse().unwrap_or(0));
            }
            ["set", "server", path, "state", state] => {
                self.change_entry(path, |entry| entry.not_ready = state != "ready");
            }
            ["set" | "add", "map", "classes", class, table] => {
                self.class_tables.insert(class.into(), table.into());
            }
            _ => {}
        }
    }

    fn change_entry(&mut self, path: &str, change: impl FnOnce(&mut Entry)) {
        let EntryPath { table, endpoint } = EntryPath::from(path);
        if let Some(entry) = self.tables.get_mut(&table).and_then(|entries| entries.get_mut(&endpoint)) {
            change(entry);
        }
    }
}

/// An entry as commands name it: `t0/e1`.
struct EntryPath {
    table: String,
    endpoint: String,
}

impl From<&str> for EntryPath {
    fn from(path: &str) -> Self {
        let (table, endpoint) = path.split_once('/').unwrap_or((path, ""));
        EntryPath { table: table.into(), endpoint: endpoint.into() }
    }
}

/// Whether an answer of the runtime API says that the command was carried out.
fn is_success(answer: &str) -> bool {
    let successes = ["New server registered", "Server deleted", "address changed", "nothing changed"];
    answer.is_empty() || successes.iter().any(|success| answer.starts_with(success))
}
