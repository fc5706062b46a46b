//! One proxy's stream: what was sent on it, what the proxy should hold, and the message between the two. A proxy that
//! is slow to read gets no second message while one is being written, and then only the latest state.

use std::collections::{BTreeMap, VecDeque};

use lockcroft::{ClassId, EndpointId, TableId};
use lockcroft_host::PublishedTable;

use crate::assigned_table::{AssignedTable, PublishedView};
use crate::connection_admission::ConnectionId;
use crate::ejections::{EjectionChanges, ProxyEjections};
use crate::outbound::UpdatePart;

/// How many nonces of one stream may wait for their acknowledgement; the oldest of a proxy that sends none is
/// forgotten.
const MAX_PENDING_NONCES: usize = 64;

/// A nonce that was sent, and the message that carries it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentNonce {
    pub nonce: u64,
    /// Where the decisions count this message in the platform's channel.
    pub channel_position: f64,
    /// How many entries the channel counts for this message.
    pub entries: usize,
}

/// The state of one proxy's stream.
#[derive(Debug)]
pub struct ProxyStream {
    pub connection: ConnectionId,
    tables: BTreeMap<TableId, AssignedTable>,
    ejections: ProxyEjections,
    /// A message is still being written.
    pub is_writing: bool,
    /// Nonces that were sent on this stream and are not acknowledged, in the order of sending.
    pending_nonces: VecDeque<SentNonce>,
}

impl ProxyStream {
    /// `without_table`: the proxy holds nothing that any controller assigned.
    pub fn new(connection: ConnectionId, without_table: bool) -> Self {
        ProxyStream {
            connection,
            tables: BTreeMap::new(),
            ejections: ProxyEjections::new(without_table),
            is_writing: false,
            pending_nonces: VecDeque::new(),
        }
    }

    /// A nonce was sent on this stream.
    pub fn record_nonce(&mut self, nonce: SentNonce) {
        self.pending_nonces.push_back(nonce);
        if self.pending_nonces.len() > MAX_PENDING_NONCES {
            self.pending_nonces.pop_front();
        }
    }

    /// The proxy has applied everything up to this nonce; `None` if it was not asked for on this stream.
    pub fn acknowledge(&mut self, nonce: u64) -> Option<SentNonce> {
        let position = self.pending_nonces.iter().position(|sent| sent.nonce == nonce)?;
        self.pending_nonces.drain(..=position).next_back()
    }

    /// Assigns a table for these classes; it is sent as a whole.
    pub fn assign(&mut self, table: TableId, classes: Vec<ClassId>) {
        self.tables.insert(table, AssignedTable::new(classes));
    }

    /// Whether the proxy is assigned to this table.
    pub fn has_table(&self, table: TableId) -> bool {
        self.tables.contains_key(&table)
    }

    /// Ejects an endpoint at this proxy. A proxy whose classes are all on assigned tables needs no message for that:
    /// the endpoint leaves those tables.
    pub fn eject(&mut self, endpoint: EndpointId, class_count: usize) {
        let assigned: usize = self.tables.values().map(|table| table.classes.len()).sum();
        if assigned < class_count {
            self.ejections.eject(endpoint);
        }
    }

    /// Ends the ejection of an endpoint.
    pub fn restore(&mut self, endpoint: EndpointId) {
        self.ejections.restore(endpoint);
    }

    /// The message that brings the proxy from what was sent to what is published; no part if nothing changed. What is
    /// returned counts as sent.
    pub fn next_message<'a>(&mut self, view: &PublishedView<'a>) -> Vec<UpdatePart<'a>> {
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
            let earlier = self.ejections.take_earlier(published.entries.keys(), view.endpoints);
            ejection_changes.restore.extend(earlier);
            assigned.record_sent(published.clone());
        }
        add_ejections(&mut parts, &ejection_changes, view);
        parts
    }
}

/// Puts changes of ejections into the first part, or into one of their own.
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
