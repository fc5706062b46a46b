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
}

/// Weights as the runtime API has them: whole numbers up to 256, which stands for the greatest
/// weight that the terms let a list state.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub most: f64,
}

impl Scale {
    const UNITS: f64 = 256.0;

    /// At least 1 for any weight above 0: rounding takes nobody out of a table.
    pub fn units(&self, weight: f64) -> u32 {
        if weight <= 0.0 {
            0
        } else {
            (weight / self.most * Self::UNITS).round().clamp(1.0, Self::UNITS) as u32
        }
    }

    pub fn weight(&self, units: f64) -> f64 {
        units / Self::UNITS * self.most
    }
}
