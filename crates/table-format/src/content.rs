//! What a snapshot says, independent of its encoding.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Everything that a controller publishes for proxies that read files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotContent {
    /// Routing tables by number.
    pub tables: BTreeMap<u32, Table>,
    /// Proxy groups by number.
    pub groups: BTreeMap<u32, ProxyGroup>,
    /// Names of the endpoints that are ejected at all proxies, whatever their tables say.
    pub ejected: BTreeSet<String>,
}

/// A routing table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Entries by name of the endpoint.
    pub entries: BTreeMap<String, TableEntry>,
}

/// An endpoint's entry in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableEntry {
    /// Where the endpoint accepts requests.
    pub address: SocketAddr,
    /// From 1 to [`MAX_WEIGHT`](crate::MAX_WEIGHT); an endpoint without weight has no entry.
    pub weight: u32,
}

/// Proxies with the same assignments.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyGroup {
    /// Names of the proxies.
    pub proxies: BTreeSet<String>,
    /// Assignments by name of the class.
    pub assignments: BTreeMap<String, ProxyAssignment>,
}

/// What requests of one class may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAssignment {
    /// Number of the table.
    pub table: u32,
    /// Admission rate in thousandths.
    pub admission_per_mille: u32,
    /// Whether the proxies may retry after proof of non-execution.
    pub allows_retries: bool,
}

impl SnapshotContent {
    /// The number of the group that has a proxy.
    #[must_use]
    pub fn group_number_of(&self, proxy: &str) -> Option<u32> {
        self.groups.iter().find(|(_, group)| group.proxies.contains(proxy)).map(|(number, _)| *number)
    }

    /// How many table entries, groups and ejections differ from another snapshot's.
    #[must_use]
    pub fn changed_entry_count(&self, other: &SnapshotContent) -> usize {
        let empty = Table::default();
        let table_numbers: BTreeSet<u32> = self.tables.keys().chain(other.tables.keys()).copied().collect();
        let table_entries = table_numbers.iter().map(|number| {
            let own = self.tables.get(number).unwrap_or(&empty);
            own.count_changed_entries(other.tables.get(number).unwrap_or(&empty))
        });
        let group_numbers: BTreeSet<u32> = self.groups.keys().chain(other.groups.keys()).copied().collect();
        let groups =
            group_numbers.iter().filter(|number| self.groups.get(number) != other.groups.get(number)).count();
        let ejections = self.ejected.symmetric_difference(&other.ejected).count();
        table_entries.sum::<usize>() + groups + ejections
    }
}

impl Table {
    fn count_changed_entries(&self, other: &Table) -> usize {
        let endpoints: BTreeSet<&String> = self.entries.keys().chain(other.entries.keys()).collect();
        endpoints.into_iter().filter(|name| self.entries.get(*name) != other.entries.get(*name)).count()
    }
}
