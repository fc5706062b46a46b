//! One proxy's ledger: what it should hold against what it acknowledged, and the update on its way. Changes that
//! wait are named by what they concern and are not kept as text: a proxy that stalls for long gets each entry once,
//! as it is by then, and what waits is bounded by its tables.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft::{ClassId, EndpointId, TableId};
use lockcroft_host::PublishedTables;

use crate::applied_entry::Backend;
use crate::applied_state::AppliedState;
use crate::desired_changes::{ChangeSet, DesiredChanges, LedgerKey};
use crate::error::SessionError;
use crate::update_context::UpdateContext;
use crate::update_in_flight::{AcknowledgedUpdate, UpdateInFlight, UpdateMessage};

/// When a change was decided first, and in which update batch.
#[derive(Clone, Copy, Debug)]
pub struct DecidedAt {
    pub time: Duration,
    pub batch: u64,
}

/// A change that waits for the next message.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    /// Its position in the order of decisions.
    sequence: u64,
    decided: DecidedAt,
}

/// Desired against acknowledged state of one proxy.
#[derive(Default)]
pub struct ProxyLedger {
    applied: AppliedState,
    /// Tables that the decisions assigned to it on this connection.
    assigned: BTreeMap<ClassId, TableId>,
    pending: BTreeMap<LedgerKey, PendingChange>,
    last_sequence: u64,
    in_flight: Option<UpdateInFlight>,
}

/// A ledger for a connection that was just made, from what the proxy holds.
impl From<AppliedState> for ProxyLedger {
    fn from(applied: AppliedState) -> Self {
        ProxyLedger { applied, ..ProxyLedger::default() }
    }
}

impl ProxyLedger {
    /// What the proxy held when its connection ended; updates and assignments are of one connection.
    pub fn into_applied(self) -> AppliedState {
        self.applied
    }

    /// Whether the proxy holds no table of a controller.
    pub fn has_no_table(&self) -> bool {
        self.applied.has_no_table()
    }

    /// Changes that wait or are on their way.
    pub fn queued_entries(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, UpdateInFlight::entries)
    }

    /// The tables that are assigned to it.
    pub fn tables(&self) -> BTreeSet<TableId> {
        self.assigned.values().copied().collect()
    }

    fn is_assigned(&self, table: TableId) -> bool {
        self.assigned.values().any(|assigned| *assigned == table)
    }

    fn mark(&mut self, key: LedgerKey, decided: DecidedAt) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending.entry(key).or_insert(PendingChange { sequence, decided });
    }

    /// An entry of a table changed.
    pub fn mark_entry(&mut self, table: TableId, endpoint: EndpointId, decided: DecidedAt) {
        if self.is_assigned(table) {
            self.mark(LedgerKey::Entry(table, endpoint), decided);
        }
    }

    /// Assigns a table for these classes. What the proxy holds of it from before is brought in line: entries that
    /// are right already cost nothing, entries that are not published are deleted.
    pub fn assign_table(
        &mut self,
        table: TableId,
        classes: &[ClassId],
        published: &PublishedTables,
        decided: DecidedAt,
    ) {
        let desired =
            published.tables.get(&table).into_iter().flat_map(|table| table.entries.keys().copied());
        let backend = Backend::Table(table);
        let range = (backend, EndpointId::MIN)..=(backend, EndpointId::MAX);
        let applied_endpoints = self.applied.entries.range(range).map(|((_, endpoint), _)| *endpoint);
        let endpoints: BTreeSet<EndpointId> = desired.chain(applied_endpoints).collect();
        for endpoint in endpoints {
            self.mark(LedgerKey::Entry(table, endpoint), decided);
        }
        for class in classes {
            self.assigned.insert(*class, table);
            self.mark(LedgerKey::Admission(*class), decided);
            self.mark(LedgerKey::Assignment(*class), decided);
        }
    }

    /// Admission of a class changed in a table.
    pub fn mark_admission(&mut self, table: TableId, class: ClassId, decided: DecidedAt) {
        if self.assigned.get(&class) == Some(&table) {
            self.mark(LedgerKey::Admission(class), decided);
        }
    }

    /// An endpoint was ejected or restored: it concerns every backend that holds it.
    pub fn mark_ejection(&mut self, endpoint: EndpointId, decided: DecidedAt) {
        if self.applied.entries.keys().any(|(_, applied_endpoint)| *applied_endpoint == endpoint) {
            self.mark(LedgerKey::Ejection(endpoint), decided);
        }
    }

    /// The next message, unless one is on its way.
    pub fn next_message(&mut self, context: &UpdateContext) -> Option<UpdateMessage> {
        if let Some(in_flight) = &mut self.in_flight {
            return in_flight.take_commit();
        }
        let pending = std::mem::take(&mut self.pending);
        let since = pending.values().map(|pending| pending.decided.time).min()?;
        let batch = pending.values().map(|pending| pending.decided.batch).min()?;
        let desired = DesiredChanges { applied: &self.applied, assigned: &self.assigned, context };
        let mut set = ChangeSet::default();
        let mut entries = 0;
        for (key, PendingChange { sequence, .. }) in pending {
            let before = set.len();
            desired.add(key, sequence, &mut set);
            entries += usize::from(set.len() > before);
        }
        if set.is_empty() {
            return None;
        }
        let update = AcknowledgedUpdate { since, batch, entries };
        let in_flight = UpdateInFlight::new(set.into_ordered(), update, &self.applied, context);
        let message = in_flight.message();
        self.in_flight = Some(in_flight);
        Some(message)
    }

    /// The response to the oldest outstanding command of the update. Only now is held what it changes. Gives the
    /// update once all of it is acknowledged.
    ///
    /// # Errors
    /// The proxy did not carry the command out: what it holds has to be read again.
    pub fn acknowledge(&mut self, response: &str) -> Result<Option<AcknowledgedUpdate>, SessionError> {
        let in_flight = self.in_flight.as_mut().ok_or(SessionError::UnexpectedResponse)?;
        let changes = in_flight.acknowledge(response)?;
        let acknowledged = in_flight.acknowledged();
        for applied in changes {
            self.applied.apply(applied.change, &applied.response);
        }
        if acknowledged.is_some() {
            self.in_flight = None;
        }
        Ok(acknowledged)
    }

    /// Whether the proxy waits for the commit of what it prepared.
    pub fn is_commit_due(&self) -> bool {
        self.in_flight.as_ref().is_some_and(UpdateInFlight::is_commit_due)
    }
}
