//! The update stream of a proxy: its assigned tables, the state that was sent, and the changes between them. While a
//! message to a slow proxy is still being written, no further message is created; the next one has the latest state.

use std::collections::{BTreeMap, VecDeque};

use lockcroft::{ClassId, Controller, EndpointId, TableId};
use lockcroft_host::PublishedTable;

use crate::assigned_table::{AssignedTable, PublishedView};
use crate::connection_admission::ConnectionId;
use crate::ejections::{EjectionChanges, ProxyEjections};
use crate::outbound::UpdatePart;

/// The maximum number of unacknowledged nonces of a stream; beyond it, the oldest is discarded.
const MAX_PENDING_NONCES: usize = 64;

/// A nonce that was sent, and the message that carried it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentNonce {
    pub nonce: u64,
    /// The position of the message in the platform's channel, as returned by the controller.
    pub channel_position: f64,
    /// The number of entries that the channel counts for this message.
    pub entries: usize,
}

/// The state of one proxy's stream.
#[derive(Debug)]
pub struct ProxyStream {
    pub connection: ConnectionId,
    tables: BTreeMap<TableId, AssignedTable>,
    ejections: ProxyEjections,
    /// True while a message is being written.
    pub is_writing: bool,
    /// Unacknowledged nonces, in the order of sending.
    pending_nonces: VecDeque<SentNonce>,
}

impl ProxyStream {
    /// Creates a stream without tables.
    pub fn new(connection: ConnectionId) -> Self {
        ProxyStream {
            connection,
            tables: BTreeMap::new(),
            ejections: ProxyEjections::default(),
            is_writing: false,
            pending_nonces: VecDeque::new(),
        }
    }

    /// Records that a nonce was sent on this stream.
    pub fn record_nonce(&mut self, nonce: SentNonce) {
        self.pending_nonces.push_back(nonce);
        if self.pending_nonces.len() > MAX_PENDING_NONCES {
            self.pending_nonces.pop_front();
        }
    }

    /// Records that the proxy has applied all messages up to this nonce, and returns the nonce; `None` if it is not
    /// pending on this stream.
    pub fn acknowledge(&mut self, nonce: u64) -> Option<SentNonce> {
        let position = self.pending_nonces.iter().position(|sent| sent.nonce == nonce)?;
        self.pending_nonces.drain(..=position).next_back()
    }

    /// Assigns a table to these classes; its complete content is sent next.
    pub fn assign(&mut self, table: TableId, classes: Vec<ClassId>) {
        self.tables.insert(table, AssignedTable::new(classes));
    }

    /// Returns true if the table is assigned to the proxy.
    pub fn has_table(&self, table: TableId) -> bool {
        self.tables.contains_key(&table)
    }

    /// Ejects an endpoint at this proxy. If all classes of the proxy have an assigned table, no message is necessary:
    /// the endpoint is removed from those tables.
    pub fn eject(&mut self, endpoint: EndpointId, class_count: usize) {
        let assigned: usize = self.tables.values().map(|table| table.classes.len()).sum();
        if assigned < class_count {
            self.ejections.eject(endpoint);
        }
    }

    /// Restores an ejected endpoint.
    pub fn restore(&mut self, endpoint: EndpointId) {
        self.ejections.restore(endpoint);
    }

    /// Returns the parts of a message that brings the proxy from the last sent to the published state; none if nothing
    /// changed. The returned changes count as sent.
    pub fn next_message<'a>(
        &mut self,
        view: &PublishedView<'a>,
        controller: &Controller,
    ) -> Vec<UpdatePart<'a>> {
        let mut ejection_changes = self.ejections.take_changes();
        let mut parts = Vec::new();
        let empty = PublishedTable::default();
        for (table, assigned) in &mut self.tables {
            let published = view.published.tables.get(table).unwrap_or(&empty);
            let changes = assigned.changes(published, view);
            if changes.is_empty() {
                continue;
            }
            parts.extend(changes);
            let restored = self.ejections.take_earlier_ejections(published.entries.keys(), controller);
            ejection_changes.restore.extend(restored);
            assigned.record_sent(published.clone());
        }
        add_ejections(&mut parts, &ejection_changes, view);
        parts
    }
}

/// Adds changes of ejections to the first part, or as the only part if there is none.
fn add_ejections<'a>(parts: &mut Vec<UpdatePart<'a>>, changes: &EjectionChanges, view: &PublishedView<'a>) {
    if changes.is_empty() {
        return;
    }
    if parts.is_empty() {
        parts.push(UpdatePart::default());
    }
    let names =
        |endpoints: &[EndpointId]| endpoints.iter().map(|endpoint| view.endpoint_name(*endpoint)).collect();
    parts[0].eject = names(&changes.eject);
    parts[0].restore = names(&changes.restore);
}
