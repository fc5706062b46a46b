//! The changes that take a proxy from its acknowledged state to the published state.

use std::collections::BTreeMap;

use lockcroft::{ClassId, EndpointId, TableId};

use crate::applied_entry::{AppliedEntry, Backend};
use crate::applied_state::AppliedState;
use crate::ledger_change::{Change, ChangePhase};
use crate::update_context::UpdateContext;

/// The object that a pending change concerns. The commands are derived when the message is built, from the published
/// state of that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LedgerKey {
    Entry(TableId, EndpointId),
    Admission(ClassId),
    Assignment(ClassId),
    Ejection(EndpointId),
}

/// The changes of one message, each with its phase and the sequence number of its decision.
#[derive(Default)]
pub struct ChangeSet(Vec<(ChangePhase, u64, Change)>);

impl ChangeSet {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the changes by phase and then by sequence number. The sort is stable: the commands of one entry stay
    /// in the order in which they were added.
    pub fn into_ordered(mut self) -> impl Iterator<Item = Change> {
        self.0.sort_by_key(|(phase, sequence, _)| (*phase, *sequence));
        self.0.into_iter().map(|(_, _, change)| change)
    }
}

/// Adds the changes of one pending key to a set, with the sequence number of the key.
struct ChangeWriter<'a> {
    sequence: u64,
    set: &'a mut ChangeSet,
}

impl ChangeWriter<'_> {
    fn push(&mut self, phase: ChangePhase, change: Change) {
        self.set.0.push((phase, self.sequence, change));
    }
}

/// The desired state of one proxy compared with its acknowledged state.
pub struct DesiredChanges<'a> {
    /// The acknowledged state.
    pub applied: &'a AppliedState,
    /// The tables that are assigned to the proxy.
    pub assigned: &'a BTreeMap<ClassId, TableId>,
    pub context: &'a UpdateContext<'a>,
}

impl DesiredChanges<'_> {
    /// Adds the changes that take the object of a key from its acknowledged to its published state; none if they are
    /// equal.
    pub fn add_changes(&self, key: LedgerKey, sequence: u64, set: &mut ChangeSet) {
        let changes = &mut ChangeWriter { sequence, set };
        match key {
            LedgerKey::Entry(table, endpoint) => self.add_entry_changes(table, endpoint, changes),
            LedgerKey::Admission(class) => self.add_admission_changes(class, changes),
            LedgerKey::Assignment(class) => {
                let applied = self.applied.class_map.get(&class);
                let Some(table) = self.assigned.get(&class).copied() else { return };
                if applied != Some(&Backend::Table(table)) {
                    let is_mapped = applied.is_some();
                    changes.push(ChangePhase::ClassMap, Change::MapClass { class, table, is_mapped });
                }
            }
            LedgerKey::Ejection(endpoint) => {
                let in_maintenance = self.context.published.ejected.contains(&endpoint);
                for ((backend, applied_endpoint), entry) in &self.applied.entries {
                    if *applied_endpoint == endpoint && entry.in_maintenance != in_maintenance {
                        let backend = *backend;
                        let change = Change::SetMaintenance { backend, endpoint, in_maintenance };
                        changes.push(ChangePhase::Ejection, change);
                    }
                }
            }
        }
    }

    fn add_entry_changes(&self, table: TableId, endpoint: EndpointId, changes: &mut ChangeWriter) {
        let backend = Backend::Table(table);
        let weight = self.context.weight_scale.units(self.context.published.weight(table, endpoint));
        let in_maintenance = self.context.published.ejected.contains(&endpoint);
        let address = self.context.endpoints.address(endpoint);
        let Some(applied) = self.applied.entries.get(&(backend, endpoint)) else {
            if weight > 0 && address.is_some() {
                // An entry added by `add server` is in maintenance, as in HAProxy's Management Guide.
                let entry = AppliedEntry { weight, in_maintenance: true, address };
                changes.push(ChangePhase::AddCapacity, Change::AddEntry { backend, endpoint, entry });
                if !in_maintenance {
                    let change = Change::SetMaintenance { backend, endpoint, in_maintenance };
                    changes.push(ChangePhase::AddCapacity, change);
                }
            }
            return;
        };
        let Some(address) = address else {
            // The endpoint is off the list: its entry is deleted, for which it has to be in maintenance.
            let change = Change::SetMaintenance { backend, endpoint, in_maintenance: true };
            changes.push(ChangePhase::RemoveCapacity, change);
            changes.push(ChangePhase::RemoveCapacity, Change::DeleteEntry { backend, endpoint });
            return;
        };
        let adds_capacity = weight >= applied.weight && !in_maintenance;
        let phase = if adds_capacity { ChangePhase::AddCapacity } else { ChangePhase::RemoveCapacity };
        if applied.address != Some(address) {
            changes.push(phase, Change::SetAddress { backend, endpoint, address });
        }
        if applied.weight != weight {
            changes.push(phase, Change::SetWeight { backend, endpoint, weight });
        }
        if applied.in_maintenance != in_maintenance {
            changes.push(phase, Change::SetMaintenance { backend, endpoint, in_maintenance });
        }
    }

    fn add_admission_changes(&self, class: ClassId, changes: &mut ChangeWriter) {
        let table = self.assigned.get(&class).and_then(|table| self.context.published.tables.get(table));
        let Some(admission) = table.and_then(|table| table.admissions.get(&class)) else { return };
        let applied = self.applied.admissions.get(&class).copied().unwrap_or_default();
        let thousandths = (admission.fraction * 1000.0).round() as u32;
        if applied.thousandths != Some(thousandths) {
            changes.push(ChangePhase::Admission, Change::SetAdmission { class, thousandths });
        }
        let retry = admission.retry;
        if applied.retry != Some(retry) {
            changes.push(ChangePhase::Admission, Change::SetRetry { class, retry });
        }
    }
}
