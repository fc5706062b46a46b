//! Admission and eviction of connections. Any client can open hundreds of connections and never attach. Such
//! connections are closed after a timeout, and earlier when file descriptors run short, so that proxies can always
//! connect. Before a connection is closed, the bytes that it has sent so far are read (the final read), so that an
//! attach message that arrived in time still counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifies a connection. Ids increase in the order in which connections are accepted and are never reused.
pub type ConnectionId = u64;

/// The time after which a connection that has not attached is closed.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(1500);
/// The age at which the oldest unattached connection may be closed when file descriptors run short.
const ATTACH_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(300);
/// The interval at which the listener checks for capacity while a connection that is being closed still has its
/// file descriptor.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The maximum number of connected collectors in a zone. It is above 1 because a collector may reconnect before the
/// end of its old connection is detected.
pub const MAX_COLLECTORS_PER_ZONE: usize = 3;
/// File descriptors that are not available to accepted connections, in addition to one per endpoint for its health
/// check: the standard streams, the listener, signals, the runtime's own and the connections to discovery.
const RESERVED_DESCRIPTORS: usize = 32;

/// Tracks the number of open connections and the age of those that have not attached.
pub struct ConnectionAdmission {
    max_descriptors: usize,
    /// When each connection that has not attached was accepted.
    unattached: BTreeMap<ConnectionId, Duration>,
    /// Connections that are being closed or whose final read was requested, and that still have a file descriptor.
    closing: BTreeSet<ConnectionId>,
    /// The number of connections that have a file descriptor.
    open: usize,
}

/// The decision about the next connection in the listener's queue.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Accept it.
    Accept,
    /// Close this unattached connection, then decide again.
    Evict(ConnectionId),
    /// No connection can be closed yet: decide again after this time.
    Wait(Duration),
}

impl ConnectionAdmission {
    /// Creates the state of a process without connections that may have `max_descriptors` file descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        ConnectionAdmission {
            max_descriptors,
            unattached: BTreeMap::new(),
            closing: BTreeSet::new(),
            open: 0,
        }
    }

    /// Returns true if a file descriptor is available for another connection, when health checks of this many endpoints
    /// may be in progress at the same time.
    pub fn has_capacity(&self, endpoints: usize) -> bool {
        self.open < self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + endpoints).max(1)
    }

    /// Returns what to do before the next connection is accepted.
    pub fn accept_decision(&self, now: Duration, endpoints: usize) -> AcceptDecision {
        if self.has_capacity(endpoints) {
            return AcceptDecision::Accept;
        }
        if !self.closing.is_empty() {
            return AcceptDecision::Wait(CLOSING_POLL_INTERVAL);
        }
        let Some((connection, accepted_at)) = self.unattached.first_key_value() else {
            // All connections are attached: exceeding the limit is better than a proxy without a controller.
            return AcceptDecision::Accept;
        };
        let evictable_at = *accepted_at + ATTACH_TIMEOUT_WHEN_FULL;
        if evictable_at <= now {
            AcceptDecision::Evict(*connection)
        } else {
            AcceptDecision::Wait(evictable_at - now)
        }
    }

    /// Records that a connection was accepted; it is unattached.
    pub fn record_accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.open += 1;
        self.unattached.insert(connection, now);
    }

    /// Records that a connection has attached; it has no timeout any more.
    pub fn record_attached(&mut self, connection: ConnectionId) {
        self.unattached.remove(&connection);
        self.closing.remove(&connection);
    }

    /// Records that a connection is about to be closed.
    pub fn record_closing(&mut self, connection: ConnectionId) {
        self.unattached.remove(&connection);
        self.closing.insert(connection);
    }

    /// Records that a connection was closed and its file descriptor is free.
    pub fn record_closed(&mut self, connection: ConnectionId) {
        self.open = self.open.saturating_sub(1);
        self.record_attached(connection);
    }

    /// Returns the connections that have not attached within the timeout.
    pub fn timed_out(&self, now: Duration) -> Vec<ConnectionId> {
        // Ids increase in the order of acceptance, so the oldest connections come first.
        let timed_out =
            self.unattached.iter().take_while(|(_, accepted_at)| **accepted_at + ATTACH_TIMEOUT <= now);
        timed_out.map(|(connection, _)| *connection).collect()
    }

    /// Returns the time at which the next unattached connection times out.
    pub fn next_due(&self) -> Option<Duration> {
        self.unattached.first_key_value().map(|(_, accepted_at)| *accepted_at + ATTACH_TIMEOUT)
    }
}
