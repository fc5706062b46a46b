//! Content of a snapshot of table files, built from the published tables and the assignments of proxies.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{ClassId, TableId};
use lockcroft_host::Admission;
use lockcroft_table_format::{ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};

use crate::update_context::UpdateContext;

/// The admission of a class for which none is published: all requests are admitted, without retries.
const DEFAULT_ADMISSION: Admission = Admission { fraction: 1.0, retry: false };

/// The table assigned to each class of a proxy.
pub type Assignments = BTreeMap<ClassId, TableId>;

/// Returns the content for these proxies. Proxies with the same assignments form a group, which shares one file;
/// those without assignments are left out.
pub fn snapshot_content<'a>(
    proxies: impl Iterator<Item = (&'a str, &'a Assignments)>,
    context: &UpdateContext,
) -> SnapshotContent {
    let mut groups: BTreeMap<Vec<(ClassId, TableId)>, BTreeSet<String>> = BTreeMap::new();
    for (name, assigned) in proxies.filter(|(_, assigned)| !assigned.is_empty()) {
        let assigned = assigned.iter().map(|(class, table)| (*class, *table)).collect();
        groups.entry(assigned).or_default().insert(name.to_string());
    }
    let mut content = SnapshotContent::default();
    for (number, (assigned, proxies)) in (0..).zip(groups) {
        let mut assignments = BTreeMap::new();
        for (class, table) in assigned {
            content.tables.entry(table as u32).or_insert_with(|| table_entries(table, context));
            assignments.insert(context.classes[class].clone(), assignment(class, table, context));
        }
        content.groups.insert(number, ProxyGroup { proxies, assignments });
    }
    let ejected = context.published.ejected.iter();
    content.ejected = ejected.map(|endpoint| context.endpoints.name(*endpoint).into()).collect();
    content
}

fn table_entries(table: TableId, context: &UpdateContext) -> Table {
    let mut entries = BTreeMap::new();
    for (endpoint, weight) in
        context.published.tables.get(&table).into_iter().flat_map(|table| &table.entries)
    {
        // An endpoint that is off the list has no address, and gets no entry.
        let Some(address) = context.endpoints.address(*endpoint) else { continue };
        let weight = context.weight_scale.units(*weight);
        entries.insert(context.endpoints.name(*endpoint).to_string(), TableEntry { address, weight });
    }
    Table { entries }
}

fn assignment(class: ClassId, table: TableId, context: &UpdateContext) -> ProxyAssignment {
    let published = context.published.tables.get(&table);
    let admission =
        published.and_then(|table| table.admissions.get(&class)).copied().unwrap_or(DEFAULT_ADMISSION);
    ProxyAssignment {
        table: table as u32,
        admission_per_mille: (admission.fraction * 1000.0).round() as u32,
        allows_retries: admission.retry,
    }
}
