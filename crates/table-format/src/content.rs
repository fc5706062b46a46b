//! Content of a snapshot, independent of its encoding.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Everything that a controller publishes to proxies that read table files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotContent {
    /// Routing tables by number.
    pub tables: BTreeMap<u32, Table>,
    /// Proxy groups by number.
    pub groups: BTreeMap<u32, ProxyGroup>,
    /// Names of the ejected endpoints. No proxy uses them, even if its tables list them.
    pub ejected: BTreeSet<String>,
}

/// A routing table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Entries by endpoint name.
    pub entries: BTreeMap<String, TableEntry>,
}

/// An endpoint's entry in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableEntry {
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Load-balancing weight from 1 to [`MAX_WEIGHT`](crate::MAX_WEIGHT). An endpoint of weight 0 has no entry.
    pub weight: u32,
}

/// Proxies that share the same assignments.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyGroup {
    /// Names of the proxies.
    pub proxies: BTreeSet<String>,
    /// Assignments by class name.
    pub assignments: BTreeMap<String, ProxyAssignment>,
}

/// Table, admission rate and retry permission for the requests of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAssignment {
    /// Number of the assigned table.
    pub table: u32,
    /// Admission rate in thousandths, at most [`MAX_ADMISSION_PER_MILLE`](crate::MAX_ADMISSION_PER_MILLE).
    pub admission_per_mille: u32,
    /// True if the proxies may retry a request after proof that the attempt was not executed.
    pub allows_retries: bool,
}

impl SnapshotContent {
    /// Returns the number of the first group that contains the proxy; `None` if no group does.
    #[must_use]
    pub fn group_number_of(&self, proxy: &str) -> Option<u32> {
        self.groups.iter().find(|(_, group)| group.proxies.contains(proxy)).map(|(number, _)| *number)
    }

    /// Returns the number of table entries, groups and ejections that differ from those of another snapshot.
    #[must_use]
    pub fn changed_entry_count(&self, other: &SnapshotContent) -> usize {
        let empty = Table::default();
        let table_numbers: BTreeSet<u32> = self.tables.keys().chain(other.tables.keys()).copied().collect();
        let table_entries = table_numbers.iter().map(|number| {
            let table = self.tables.get(number).unwrap_or(&empty);
            table.count_changed_entries(other.tables.get(number).unwrap_or(&empty))
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
