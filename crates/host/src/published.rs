//! What the decisions have published, whoever holds it by now.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{Class, Server, TableNumber};

/// One shared table, as last decided.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    /// Weights above 0.
    pub lines: BTreeMap<Server, f64>,
    /// By class: the share let in, and whether proxies try once more after proof.
    pub levels: BTreeMap<Class, (f64, bool)>,
}

/// All tables, and the servers that no proxy may use whatever its tables say.
#[derive(Clone, Debug, Default)]
pub struct Published {
    pub tables: BTreeMap<TableNumber, Sheet>,
    pub withdrawn: BTreeSet<Server>,
}

impl Published {
    pub fn weight(&self, table: TableNumber, server: Server) -> f64 {
        self.tables.get(&table).and_then(|sheet| sheet.lines.get(&server)).copied().unwrap_or(0.0)
    }

    /// Takes a line in, or out where the weight is 0.
    pub fn weigh(&mut self, table: TableNumber, server: Server, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }

    pub fn admit(&mut self, table: TableNumber, class: Class, share: f64, second_try: bool) {
        self.tables.entry(table).or_default().levels.insert(class, (share, second_try));
    }

    pub fn withdraw(&mut self, server: Server, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }
}
