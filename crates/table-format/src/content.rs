//! What a generation says, free of any form.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// All that a pilot has published for proxies that read files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotContent {
    pub tables: BTreeMap<u32, Table>,
    pub groups: BTreeMap<u32, ProxyGroup>,
    pub withdrawn: BTreeSet<String>,
}

/// Lines by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub lines: BTreeMap<String, TableEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableEntry {
    pub address: SocketAddr,
    /// From 1 to 256.
    pub weight: u32,
}

/// Proxies on the same tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyGroup {
    pub proxies: BTreeSet<String>,
    /// By class.
    pub bound: BTreeMap<String, ProxyAssignment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAssignment {
    pub table: u32,
    /// Thousandths of the visits let in.
    pub level: u32,
    pub again: bool,
}

impl SnapshotContent {
    /// The group that a proxy is in.
    pub fn group_of(&self, proxy: &str) -> Option<u32> {
        self.groups.iter().find(|(_, group)| group.proxies.contains(proxy)).map(|(number, _)| *number)
    }

    /// Lines that differ from another's, those of withdrawals and bindings among them: what a change amounts to.
    pub fn differs(&self, other: &SnapshotContent) -> usize {
        let none = Table::default();
        let tables: BTreeSet<&u32> = self.tables.keys().chain(other.tables.keys()).collect();
        let lines = |number: &&u32| {
            let (a, b) =
                (self.tables.get(*number).unwrap_or(&none), other.tables.get(*number).unwrap_or(&none));
            let names: BTreeSet<&String> = a.lines.keys().chain(b.lines.keys()).collect();
            names.into_iter().filter(|name| a.lines.get(*name) != b.lines.get(*name)).count()
        };
        let groups: BTreeSet<&u32> = self.groups.keys().chain(other.groups.keys()).collect();
        let changed =
            groups.into_iter().filter(|number| self.groups.get(*number) != other.groups.get(*number));
        let withdrawn = self.withdrawn.symmetric_difference(&other.withdrawn).count();
        tables.iter().map(lines).sum::<usize>() + changed.count() + withdrawn
    }
}
