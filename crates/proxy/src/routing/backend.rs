//! The entries of one table, with the data structure of its load balancing policy.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use nanorand::WyRand;

use super::entry::TableEntry;
use crate::choose::{Chooser, LoadBalancingPolicy};

type Index = BTreeMap<Rc<str>, usize>;

/// A table, which the runtime API calls a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    entries: Vec<TableEntry>,
    /// The index of each entry by its name. Copies share it until an entry is added or removed, so copies with
    /// the same pointer have the same entries.
    index: Rc<Index>,
    chooser: Chooser,
    /// True if entries were added or removed since the chooser was built. It is rebuilt before the next choice,
    /// once for a whole batch of commands.
    chooser_outdated: bool,
    policy: LoadBalancingPolicy,
    /// The version of the last batch of commands that changed how the table distributes requests; 0 if none did.
    pub version: u64,
}

impl Backend {
    /// Returns a table of these entries, at version 0.
    #[must_use]
    pub fn new(policy: LoadBalancingPolicy, entries: Vec<TableEntry>) -> Self {
        Backend {
            chooser: Chooser::new(policy, &effective_weights(&entries)),
            chooser_outdated: false,
            index: index_by_name(&entries).into(),
            entries,
            policy,
            version: 0,
        }
    }

    /// Returns all entries, in the order in which they were added.
    #[must_use]
    pub fn entries(&self) -> &[TableEntry] {
        &self.entries
    }

    /// Returns the entry of an endpoint.
    #[must_use]
    pub fn entry(&self, endpoint: &str) -> Option<&TableEntry> {
        self.index.get(endpoint).map(|index| &self.entries[*index])
    }

    /// Returns all entries, ordered by name.
    pub fn entries_by_name(&self) -> impl Iterator<Item = &TableEntry> {
        self.index.values().map(|index| &self.entries[*index])
    }

    /// Changes the entry of an endpoint, if there is one, and updates its weight in the chooser.
    pub fn update(&mut self, endpoint: &str, change: impl FnOnce(&mut TableEntry)) {
        let Some(index) = self.index.get(endpoint).copied() else { return };
        change(&mut self.entries[index]);
        if !self.chooser_outdated {
            self.chooser.set_weight(index, self.entries[index].effective_weight());
        }
    }

    /// Adds an entry. The table must not have an entry of the same name.
    pub fn add(&mut self, entry: TableEntry) {
        Rc::make_mut(&mut self.index).insert(entry.name.clone(), self.entries.len());
        self.entries.push(entry);
        self.chooser_outdated = true;
    }

    /// Removes the entry of an endpoint, if there is one.
    pub fn remove(&mut self, endpoint: &str) {
        self.entries.retain(|entry| *entry.name != *endpoint);
        self.index = index_by_name(&self.entries).into();
        self.chooser_outdated = true;
    }

    /// Chooses an entry for an attempt and counts the attempt as in flight at it.
    pub(super) fn choose(&mut self, rng: &mut WyRand, filter: &EntryFilter) -> EntryChoice<'_> {
        self.rebuild_chooser();
        let entries = &self.entries;
        let is_open = |index: usize| {
            filter.allows(&entries[index]) && entries[index].in_flight() < filter.max_in_flight
        };
        match self.chooser.next(rng, is_open, |index| entries[index].in_flight()) {
            Some(index) => {
                let entry = &self.entries[index];
                entry.counter.begin();
                EntryChoice::Entry(entry)
            }
            None if entries.iter().any(|entry| filter.allows(entry)) => EntryChoice::Saturated,
            None => EntryChoice::NoEntry,
        }
    }

    /// Returns the entry of an endpoint, for changes that don't affect its weight in the chooser.
    pub(super) fn entry_mut(&mut self, endpoint: &str) -> Option<&mut TableEntry> {
        let index = self.index.get(endpoint).copied()?;
        Some(&mut self.entries[index])
    }

    /// Adopts the changes that commands made to a copy of this table. The effects that requests had on this table
    /// in the meantime are kept: counters, attempts in flight and local ejections, and the state of the chooser
    /// if no entry was added or removed.
    pub(super) fn adopt(&mut self, staged: &Backend) {
        self.version = staged.version;
        if Rc::ptr_eq(&self.index, &staged.index) {
            self.adopt_configuration(staged);
        } else {
            self.adopt_entries(staged);
        }
    }

    /// Implements [`Backend::adopt`] for a copy with the same entries; the chooser keeps its state.
    fn adopt_configuration(&mut self, staged: &Backend) {
        for (index, (entry, staged)) in self.entries.iter_mut().zip(&staged.entries).enumerate() {
            let previous = entry.effective_weight();
            entry.copy_configuration(staged);
            if entry.effective_weight() != previous && !self.chooser_outdated {
                self.chooser.set_weight(index, entry.effective_weight());
            }
        }
    }

    /// Implements [`Backend::adopt`] for a copy to which entries were added or from which they were removed.
    fn adopt_entries(&mut self, staged: &Backend) {
        let mut entries = staged.entries.clone();
        for entry in &mut entries {
            if let Some(current) = self.entry(&entry.name) {
                let configured = std::mem::replace(entry, current.clone());
                entry.copy_configuration(&configured);
            }
        }
        *self = Backend { entries, ..staged.clone() };
        self.rebuild_chooser();
    }

    /// Rebuilds the chooser if entries were added or removed since it was built.
    pub(super) fn rebuild_chooser(&mut self) {
        if std::mem::take(&mut self.chooser_outdated) {
            self.chooser = Chooser::new(self.policy, &effective_weights(&self.entries));
        }
    }

    /// Returns true if both tables distribute requests in the same way.
    pub(super) fn routes_like(&self, other: &Backend) -> bool {
        let same_entry = |(a, b): (&TableEntry, &TableEntry)| {
            a.name == b.name && a.address == b.address && a.effective_weight() == b.effective_weight()
        };
        self.entries.len() == other.entries.len() && self.entries.iter().zip(&other.entries).all(same_entry)
    }
}

/// The conditions for the entry of an attempt.
pub(super) struct EntryFilter<'a> {
    /// The time since the start of the proxy.
    pub now: Duration,
    /// The endpoint of the previous attempt.
    pub excluded: Option<&'a str>,
    /// The maximum number of attempts in flight at an entry.
    pub max_in_flight: usize,
}

impl EntryFilter<'_> {
    /// Returns true if the entry is open, not ejected by the proxy and not excluded, whatever its capacity.
    fn allows(&self, entry: &TableEntry) -> bool {
        entry.is_open() && !entry.is_ejected(self.now) && Some(&*entry.name) != self.excluded
    }
}

/// The result of [`Backend::choose`].
pub(super) enum EntryChoice<'a> {
    Entry(&'a TableEntry),
    /// There are allowed entries, but each of them has the maximum number of attempts in flight.
    Saturated,
    NoEntry,
}

fn effective_weights(entries: &[TableEntry]) -> Vec<u32> {
    entries.iter().map(TableEntry::effective_weight).collect()
}

fn index_by_name(entries: &[TableEntry]) -> Index {
    entries.iter().enumerate().map(|(index, entry)| (entry.name.clone(), index)).collect()
}
