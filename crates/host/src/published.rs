//! The tables as the controller last published them, independent of which proxies have applied them.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{ClassId, EndpointId, TableId};

/// The admission rate and retry policy of a class in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The fraction of requests that is admitted, from 0 to 1.
    pub fraction: f64,
    /// True if proxies may retry a request once after proof that the attempt was not executed.
    pub retry: bool,
}

/// The published state of one table, which several proxies may share.
#[derive(Clone, Debug, Default)]
pub struct PublishedTable {
    /// The weight of each endpoint in the table; all weights are above 0.
    pub entries: BTreeMap<EndpointId, f64>,
    /// The admission of each class that uses the table.
    pub admissions: BTreeMap<ClassId, Admission>,
}

/// All published tables, and the endpoints that no proxy may use even if its tables contain them.
#[derive(Clone, Debug, Default)]
pub struct PublishedTables {
    /// The tables by id.
    pub tables: BTreeMap<TableId, PublishedTable>,
    /// The endpoints that are ejected at every proxy.
    pub ejected: BTreeSet<EndpointId>,
}

impl PublishedTables {
    /// Returns the weight of an endpoint in a table, or 0 if it has no entry.
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

    /// Sets the admission of a class in a table.
    pub fn set_admission(&mut self, table: TableId, class: ClassId, admission: Admission) {
        self.tables.entry(table).or_default().admissions.insert(class, admission);
    }

    /// Ejects an endpoint at every proxy if `ejected` is true, else restores it.
    pub fn set_ejected(&mut self, endpoint: EndpointId, ejected: bool) {
        if ejected {
            self.ejected.insert(endpoint);
        } else {
            self.ejected.remove(&endpoint);
        }
    }
}
