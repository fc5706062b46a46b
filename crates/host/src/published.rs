//! What the decisions have published, whoever holds it by now.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{ClassId, EndpointId, TableId};

/// One shared table, as last decided.
#[derive(Clone, Debug, Default)]
pub struct PublishedTable {
    /// Weights above 0.
    pub lines: BTreeMap<EndpointId, f64>,
    /// By class: the share let in, and whether proxies try once more after proof.
    pub levels: BTreeMap<ClassId, (f64, bool)>,
}

/// All tables, and the servers that no proxy may use whatever its tables say.
#[derive(Clone, Debug, Default)]
pub struct PublishedTables {
    pub tables: BTreeMap<TableId, PublishedTable>,
    pub withdrawn: BTreeSet<EndpointId>,
}

impl PublishedTables {
    pub fn weight(&self, table: TableId, server: EndpointId) -> f64 {
        self.tables.get(&table).and_then(|sheet| sheet.lines.get(&server)).copied().unwrap_or(0.0)
    }

    /// Takes a line in, or out where the weight is 0.
    pub fn weigh(&mut self, table: TableId, server: EndpointId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }

    pub fn admit(&mut self, table: TableId, class: ClassId, share: f64, second_try: bool) {
        self.tables.entry(table).or_default().levels.insert(class, (share, second_try));
    }

    pub fn withdraw(&mut self, server: EndpointId, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }
}
