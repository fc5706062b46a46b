//! The tables of a proxy at each version, reconstructed from the commands and snapshots that were recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft_testbed::{AnsweredCommand, AppliedTable, ClassTable};

/// The name of the default table in commands.
const DEFAULT_TABLE: &str = "standing";
const FULL_WEIGHT: u32 = 256;

/// An entry of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Entry {
    weight: u32,
    /// True while the endpoint is draining or ejected. It gets no requests, regardless of its weight.
    not_ready: bool,
}

impl Entry {
    fn can_be_picked(&self) -> bool {
        self.weight > 0 && !self.not_ready
    }
}

/// The state of a table at a version of the proxy.
#[derive(Clone, Debug)]
struct TableVersion {
    table: String,
    version: u64,
    /// The weights of the entries that could be picked, by endpoint.
    weights: BTreeMap<String, u32>,
}

/// The state of a proxy, reconstructed from the recorded traffic of its sockets.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    tables: BTreeMap<String, BTreeMap<String, Entry>>,
    /// All states of all tables, each with the version that led to it. A proxy that restarts begins again at version 0.
    history: Vec<TableVersion>,
    /// The index in the history at which the proxy's current process begins.
    incarnation_start: usize,
    version: u64,
    class_tables: BTreeMap<String, String>,
    /// The endpoints ejected by the snapshot that last assigned the proxy's tables, if the proxy reads table files.
    ejected: BTreeSet<String>,
    open_streams: usize,
    stalled: bool,
    /// The time since which a control stream has been open and not stalled; `None` while there is none.
    pub attached_since: Option<Duration>,
}

impl ObservedState {
    /// Resets the state for a new process with this default table.
    pub fn start(&mut self, endpoints: &[String], classes: &[String]) {
        let entry = |name: &String| (name.clone(), Entry { weight: FULL_WEIGHT, not_ready: false });
        let default_table = endpoints.iter().map(entry).collect();
        self.tables = BTreeMap::from([(DEFAULT_TABLE.into(), default_table)]);
        self.version = 0;
        self.incarnation_start = self.history.len();
        self.ejected.clear();
        self.record_all();
        self.class_tables = classes.iter().map(|class| (class.clone(), DEFAULT_TABLE.into())).collect();
    }

    /// Counts a control stream that was opened or closed.
    pub fn control_stream(&mut self, at: Duration, open: bool) {
        self.open_streams = if open { self.open_streams + 1 } else { self.open_streams.saturating_sub(1) };
        self.update_attached(at);
    }

    /// Sets whether the control stream is stalled.
    pub fn set_stalled(&mut self, at: Duration, stalled: bool) {
        self.stalled = stalled;
        self.update_attached(at);
    }

    fn update_attached(&mut self, at: Duration) {
        let attached = self.open_streams > 0 && !self.stalled;
        self.attached_since = if attached { self.attached_since.or(Some(at)) } else { None };
    }

    /// Applies an answered update. It has an effect only if all of its commands succeeded.
    pub fn apply_update(&mut self, commands: &[AnsweredCommand]) {
        if commands.iter().all(|answered| is_success(&answered.answer)) {
            commands.iter().for_each(|answered| self.apply_command(&answered.command));
            self.version += 1;
            self.record_changed();
        }
    }

    /// Applies a snapshot of the table files. If it assigns no class, the proxy keeps its tables, and the ejections
    /// of the snapshot are added to those of the one that last assigned tables. At version 0 no new state is
    /// recorded.
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
            let assignments =
                class_tables.iter().map(|class_table| (class_table.class.clone(), class_table.table.clone()));
            self.class_tables.extend(assignments);
        }
        for (endpoint, entry) in self.tables.values_mut().flatten() {
            entry.not_ready = not_ready.contains(endpoint);
        }
        if version > 0 {
            self.version = version;
            self.record_all();
        }
    }

    fn replace_tables(&mut self, tables: &[AppliedTable]) {
        self.tables.retain(|name, _| name == DEFAULT_TABLE);
        for table in tables {
            let entries = table.entries.iter();
            let entries = entries
                .map(|entry| (entry.endpoint.clone(), Entry { weight: entry.weight, not_ready: false }));
            self.tables.insert(table.name.clone(), entries.collect());
        }
    }

    /// Adds the tables that differ from their last recorded state to the history.
    fn record_changed(&mut self) {
        self.record(|last, weights| last.is_none_or(|last| last.weights != *weights));
    }

    /// Adds all tables to the history: a change of entries that can't be picked leads to a new version as well.
    fn record_all(&mut self) {
        self.record(|_, _| true);
    }

    fn record(&mut self, is_recorded: impl Fn(Option<&TableVersion>, &BTreeMap<String, u32>) -> bool) {
        for (name, entries) in &self.tables {
            let pickable = entries.iter().filter(|(_, entry)| entry.can_be_picked());
            let weights: BTreeMap<String, u32> =
                pickable.map(|(endpoint, entry)| (endpoint.clone(), entry.weight)).collect();
            let last = self.history[self.incarnation_start..].iter().rev().find(|past| past.table == *name);
            if is_recorded(last, &weights) {
                self.history.push(TableVersion { table: name.clone(), version: self.version, weights });
            }
        }
    }

    /// Returns the states of a table at a version, such as `t0@17`. There may be several, as a restarted proxy repeats
    /// versions.
    fn states_at<'a>(&'a self, table_version: &str) -> impl Iterator<Item = &'a TableVersion> {
        let parts = table_version.split_once('@');
        let name_and_version = parts.and_then(|(name, version)| Some((name, version.parse::<u64>().ok()?)));
        self.history.iter().filter(move |past| {
            name_and_version.is_some_and(|(name, version)| past.table == name && past.version == version)
        })
    }

    /// Returns true if the table at a version, such as `t0@17`, had an entry for the endpoint that could be picked.
    #[must_use]
    pub fn could_pick(&self, table_version: &str, endpoint: &str) -> bool {
        self.states_at(table_version).any(|state| state.weights.contains_key(endpoint))
    }

    /// Returns the weights of the entries of a table at a version, if it had exactly one state at that version.
    #[must_use]
    pub fn weights(&self, table_version: &str) -> Option<&BTreeMap<String, u32>> {
        let mut states = self.states_at(table_version);
        let first = states.next()?;
        states.next().is_none().then_some(&first.weights)
    }

    /// Returns true if the table of some class has no entry that can be picked.
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
                self.update_entry(path, |entry| entry.weight = weight.parse().unwrap_or(0));
            }
            ["set", "server", path, "state", state] => {
                self.update_entry(path, |entry| entry.not_ready = state != "ready");
            }
            ["set" | "add", "map", "classes", class, table] => {
                self.class_tables.insert(class.into(), table.into());
            }
            _ => {}
        }
    }

    fn update_entry(&mut self, path: &str, change: impl FnOnce(&mut Entry)) {
        let EntryPath { table, endpoint } = EntryPath::from(path);
        if let Some(entry) = self.tables.get_mut(&table).and_then(|entries| entries.get_mut(&endpoint)) {
            change(entry);
        }
    }
}

/// The path of an entry in commands, such as `t0/e1`.
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

/// Returns true if an answer of the runtime API reports success.
fn is_success(answer: &str) -> bool {
    let successes = ["New server registered", "Server deleted", "address changed", "nothing changed"];
    answer.is_empty() || successes.iter().any(|success| answer.starts_with(success))
}
