//! The ledger of one proxy: its desired and its acknowledged state, and the update in flight. Pending changes are
//! kept as keys of the objects that they concern, not as commands: a proxy that stalls is later sent each entry once,
//! with its latest value, and the number of pending changes is bounded by the size of the proxy's tables.

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

/// The time of a decision and its update batch.
#[derive(Clone, Copy, Debug)]
pub struct DecidedAt {
    pub time: Duration,
    pub batch: u64,
}

/// A change that waits for the next message.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    /// The position in the order of decisions on this connection.
    sequence: u64,
    /// The first decision since the last message that concerns the key.
    decided: DecidedAt,
}

/// The desired and the acknowledged state of one proxy.
#[derive(Default)]
pub struct ProxyLedger {
    applied: AppliedState,
    /// The tables that the decisions assigned to the proxy on this connection.
    assigned: BTreeMap<ClassId, TableId>,
    pending: BTreeMap<LedgerKey, PendingChange>,
    last_sequence: u64,
    in_flight: Option<UpdateInFlight>,
}

/// Creates the ledger of a new connection from the state that the proxy reported.
impl From<AppliedState> for ProxyLedger {
    fn from(applied: AppliedState) -> Self {
        ProxyLedger { applied, ..ProxyLedger::default() }
    }
}

impl ProxyLedger {
    /// Returns the acknowledged state when the connection has ended, and drops the assignments and the update in
    /// flight, which are valid for one connection only.
    pub fn into_applied(self) -> AppliedState {
        self.applied
    }

    /// Returns true if the proxy maps no class to a table of a controller.
    pub fn has_no_table(&self) -> bool {
        self.applied.has_no_table()
    }

    /// Returns the number of changes that are pending or in flight.
    pub fn queued_entries(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, UpdateInFlight::entries)
    }

    /// Returns the tables that are assigned to the proxy.
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

    /// Marks an entry of a table as changed, if the table is assigned to the proxy.
    pub fn mark_entry(&mut self, table: TableId, endpoint: EndpointId, decided: DecidedAt) {
        if self.is_assigned(table) {
            self.mark(LedgerKey::Entry(table, endpoint), decided);
        }
    }

    /// Assigns a table for these classes. Entries that the proxy already has in the table are reconciled: those that
    /// match cost no command, those that are not published are deleted.
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

    /// Marks the admission of a class as changed, if the class is assigned to this table.
    pub fn mark_admission(&mut self, table: TableId, class: ClassId, decided: DecidedAt) {
        if self.assigned.get(&class) == Some(&table) {
            self.mark(LedgerKey::Admission(class), decided);
        }
    }

    /// Marks an endpoint as ejected or restored, if any backend of the proxy has an entry of it.
    pub fn mark_ejection(&mut self, endpoint: EndpointId, decided: DecidedAt) {
        if self.applied.entries.keys().any(|(_, applied_endpoint)| *applied_endpoint == endpoint) {
            self.mark(LedgerKey::Ejection(endpoint), decided);
        }
    }

    /// Returns the next message: the pending changes if no update is in flight, or the commit of the one in flight if
    /// it is due.
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
            desired.add_changes(key, sequence, &mut set);
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

    /// Handles the response to the oldest outstanding command of the update, and applies what it acknowledges to the
    /// state of the proxy. Returns the update with the last response to it.
    ///
    /// # Errors
    /// Returns an error if no update is in flight, or if the proxy did not carry the command out and its state has to
    /// be read again.
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

    /// Returns true if all changes of a transaction are prepared and its commit is still to be sent.
    pub fn is_commit_due(&self) -> bool {
        self.in_flight.as_ref().is_some_and(UpdateInFlight::is_commit_due)
    }
}
