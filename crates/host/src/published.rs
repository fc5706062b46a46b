//! What the decisions have published, independent of which proxy has applied it.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{ClassId, EndpointId, TableId};

/// How many of a class's requests a table admits, and whether proxies may retry them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The fraction of the requests that is admitted, from 0 to 1.
    pub fraction: f64,
    /// Whether proxies may retry once after proof that an attempt was not executed.
    pub retry: bool,
}

/// One shared table, as last decided.
#[derive(Clone, Debug, Default)]
pub struct PublishedTable {
    /// Weights above 0.
    pub entries: BTreeMap<EndpointId, f64>,
    /// What is admitted, by class.
    pub admissions: BTreeMap<ClassId, Admission>,
}

/// All tables, and the endpoints that no proxy may use whatever its tables say.
#[derive(Clone, Debug, Default)]
pub struct PublishedTables {
    /// The tables, by number.
    pub tables: BTreeMap<TableId, PublishedTable>,
    /// Endpoints that are ejected at every proxy.
    pub ejected: BTreeSet<EndpointId>,
}

impl PublishedTables {
    /// The weight of an endpoint in a table; 0 where it has no entry.
    #[must_use]
    pub fn weight(&self, table: TableId, endpoint: EndpointId) -> f64 {
        self.tables.get(&table).and_then(|table| table.entries.get(&endpoint)).copied().unwrap_or(0.0)
    }

    /// Sets the weight of an endpoint in a table; a weight of 0 removes the entry.
    pub fn set_weight(&mut self, table: TableId, endpoint: EndpointId, weight: f64) {
        let entries = &mut self.tables.entry(table).or_default().entries;
        if weight > 0.0 {
            entries.insert(endpoint, weight);
        } else {
            entries.remove(&endpoint);
        }
    }

    /// Sets what a table admits of a class.
    pub fn set_admission(&mut self, table: TableId, class: ClassId, admission: Admission) {
        self.tables.entry(table).or_default().admissions.insert(class, admission);
    }

    /// Ejects an endpoint at every proxy, or restores it.
    pub fn set_ejected(&mut self, endpoint: EndpointId, ejected: bool) {
        if ejected {
            self.ejected.insert(endpoint);
        } else {
            self.ejected.remove(&endpoint);
        }
    }
}
