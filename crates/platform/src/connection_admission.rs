//! Which connections may stay open. Anybody can connect, never attach, and say nothing, by hundreds. Such connections
//! are closed after a timeout, and sooner where descriptors run short, so that proxies always find a free one. Before
//! one is closed, what it has sent by then is read (the final read): an attachment that came in time still counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Names a connection; numbers rise in the order in which connections are accepted, and none is given out twice.
pub type ConnectionId = u64;

/// A connection that has not attached is closed after this time.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Where descriptors run short, the oldest unattached connection is closed once it is this old.
const ATTACH_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(300);
/// While a connection that is being closed still holds its descriptor, capacity is asked for again after this time.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How many collectors of one zone may be connected: one that comes again does not wait for its old connection to be
/// seen to end.
pub const MAX_COLLECTORS_PER_ZONE: usize = 3;
/// Descriptors that stay free of connections from outside, beside one for each endpoint's health check: standard
/// streams, the listener, signals, the runtime's own and discovery's.
const RESERVED_DESCRIPTORS: usize = 32;

/// Counts descriptors, and the age of connections that have not attached.
pub struct ConnectionAdmission {
    max_descriptors: usize,
    /// When each connection that has not attached was accepted.
    unattached: BTreeMap<ConnectionId, Duration>,
    /// Connections whose final read was asked for and which still hold a descriptor.
    closing: BTreeSet<ConnectionId>,
    /// How many connections hold a descriptor.
    open: usize,
}

/// What to do about the next connection in the listener's queue.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Accept it.
    Accept,
    /// Close this connection, which has not attached, before asking again.
    Evict(ConnectionId),
    /// Nothing can be closed yet: ask again after this time.
    Wait(Duration),
}

impl ConnectionAdmission {
    /// No connections yet, of a process that may hold so many descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        ConnectionAdmission {
            max_descriptors,
            unattached: BTreeMap::new(),
            closing: BTreeSet::new(),
            open: 0,
        }
    }

    /// Whether a descriptor is left for one more connection, with this many endpoints that may be checked at once.
    pub fn has_capacity(&self, endpoints: usize) -> bool {
        self.open < self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + endpoints).max(1)
    }

    /// What to do before a connection is accepted.
    pub fn accept_decision(&self, now: Duration, endpoints: usize) -> AcceptDecision {
        if self.has_capacity(endpoints) {
            return AcceptDecision::Accept;
        }
        if !self.closing.is_empty() {
            return AcceptDecision::Wait(CLOSING_POLL_INTERVAL);
        }
        let Some((connection, accepted_at)) = self.unattached.first_key_value() else {
            // All connections are attached: one descriptor too many is better than a proxy without a controller.
            return AcceptDecision::Accept;
        };
        let evictable_at = *accepted_at + ATTACH_TIMEOUT_WHEN_FULL;
        if evictable_at <= now {
            AcceptDecision::Evict(*connection)
        } else {
            AcceptDecision::Wait(evictable_at - now)
        }
    }

    /// A connection was accepted; it is unattached.
    pub fn accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.open += 1;
        self.unattached.insert(connection, now);
    }

    /// The connection said who it is; it may stay.
    pub fn attached(&mut self, connection: ConnectionId) {
        self.unattached.remove(&connection);
        self.closing.remove(&connection);
    }

    /// The connection is to be closed once what it has sent by now was read.
    pub fn closing(&mut self, connection: ConnectionId) {
        self.unattached.remove(&connection);
        self.closing.insert(connection);
    }

    /// The connection ended, and its descriptor is free again.
    pub fn closed(&mut self, connection: ConnectionId) {
        self.open = self.open.saturating_sub(1);
        self.attached(connection);
    }

    /// Connections that have not attached within the timeout.
    pub fn overdue(&self, now: Duration) -> Vec<ConnectionId> {
        // Connections are numbered in the order in which they are accepted, so the oldest come first.
        let overdue =
            self.unattached.iter().take_while(|(_, accepted_at)| **accepted_at + ATTACH_TIMEOUT <= now);
        overdue.map(|(connection, _)| *connection).collect()
    }

    /// When the next unattached connection becomes overdue.
    pub fn next_due(&self) -> Option<Duration> {
        self.unattached.first_key_value().map(|(_, accepted_at)| *accepted_at + ATTACH_TIMEOUT)
    }
}
