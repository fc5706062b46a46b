//! What the decisions have published, whoever holds it by now.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{ClassId, EndpointId, TableId};

/// What of a class's requests a table admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The fraction of the requests that is let in, from 0 to 1.
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

/// All tables, and the servers that no proxy may use whatever its tables say.
#[derive(Clone, Debug, Default)]
pub struct PublishedTables {
    pub tables: BTreeMap<TableId, PublishedTable>,
    pub ejected: BTreeSet<EndpointId>,
}

impl PublishedTables {
    pub fn weight(&self, table: TableId, server: EndpointId) -> f64 {
        self.tables.get(&table).and_then(|sheet| sheet.entries.get(&server)).copied().unwrap_or(0.0)
    }

    /// Takes a line in, or out where the weight is 0.
    pub fn set_weight(&mut self, table: TableId, server: EndpointId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().entries;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }

    pub fn set_admission(&mut self, table: TableId, class: ClassId, admission: Admission) {
        self.tables.entry(table).or_default().admissions.insert(class, admission);
    }

    pub fn set_ejected(&mut self, server: EndpointId, withdrawn: bool) {
        if withdrawn {
            self.ejected.insert(server);
        } else {
            self.ejected.remove(&server);
        }
    }
}
